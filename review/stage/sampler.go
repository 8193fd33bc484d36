package stage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/timer"
)

// slots is the number of requests that a sampler runs at once.
const slots = 8

// Request is a request that a sampler began to run.
type Request struct {
	Sampler string
	ID      string
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	At      time.Duration
	// Run is the number of the run at its sampler, and After the Last-Event-Id of the request.
	Run   int
	After int
}

// Order is an order that reached a sampler.
type Order struct {
	Sampler string
	Owner   string
	Fence   uint64
	Model   string
	Version int
	Status  int
	At      time.Duration
}

// Sampler is a sampler of the platform.
type Sampler struct {
	ID      string
	Service string
	Zone    string
	// Events is the number of events of each text, and EventTime the time that each takes. LoadTime is that of a change of version.
	Events    int
	EventTime time.Duration
	LoadTime  time.Duration
	// Crashes reports whether a request crashes the sampler when it begins to run. It may be nil.
	Crashes func(q Request) bool
	// Endless reports whether a request of a model gets events without end, until the caller closes. It may be nil.
	Endless func(model string) bool

	release  string
	state    string
	stop     func()
	stage    *Stage
	address  string
	mutex    sync.Mutex
	versions map[string]int
	models   []string
	born     int64
	busy     bool
	seq      int
	fence    uint64
	requests []Request
	orders   []Order
}

// AddSampler starts a sampler of the first release and lists it.
func (s *Stage) AddSampler(id, service, zone string, models ...string) (*Sampler, error) {
	return s.AddRelease("v1", id, service, zone, models...)
}

// AddRelease starts a sampler of a release and lists it.
func (s *Stage) AddRelease(release, id, service, zone string, models ...string) (*Sampler, error) {
	p := &Sampler{
		ID: id, Service: service, Zone: zone, stage: s, versions: map[string]int{}, models: models, born: s.Clock.Now().UnixMilli(),
		release: release, state: "ready",
		Events: 10, EventTime: 20 * time.Millisecond, LoadTime: 900 * time.Millisecond,
	}
	for _, m := range models {
		p.versions[m] = 1
	}
	var err error
	if p.address, p.stop, err = s.serve("127.0.0.1", p); err != nil {
		return nil, err
	}
	p.list()
	return p, nil
}

func (p *Sampler) modelList() []map[string]any {
	all := make([]map[string]any, 0, len(p.models))
	for _, m := range p.models {
		all = append(all, map[string]any{"name": m, "version": p.versions[m], "adapters": []any{}})
	}
	return all
}

// list writes the entry in the store. The caller holds the mutex, or the sampler is not started yet.
func (p *Sampler) list() {
	p.stage.Store.WriteJSON("servers/"+p.ID, map[string]any{
		"service": p.Service, "address": p.address, "zone": p.Zone, "version": p.release, "slots": slots, "state": p.state, "cold-left-ms": 0,
		"models": p.modelList(), "seq": p.seq + 1, "born": p.born,
	})
}

// Drain reports that the sampler drains.
func (p *Sampler) Drain() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.state = "draining"
	p.list()
	p.stage.Log("sampler=%s drains", p.ID)
}

// Exit ends the sampler: its connections are reset and its entry is removed.
func (p *Sampler) Exit() {
	p.stop()
	p.stage.Store.Service.Remove("servers/" + p.ID)
	p.stage.Log("sampler=%s has left", p.ID)
}

// downTime is the time after which a sampler that crashed is back.
const downTime = 3 * time.Second

// crash ends all connections. The sampler starts again some seconds later, with the same identity and address.
func (p *Sampler) crash() {
	p.stage.Log("sampler=%s crashes", p.ID)
	address, stop := p.address, p.stop
	go func() {
		stop()
		p.stage.Wait(downTime)
		_, next, err := p.stage.serveAt(address, p)
		if err != nil {
			p.stage.Log("sampler=%s is not back: %v", p.ID, err)
			return
		}
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.stop, p.born, p.seq = next, p.stage.Clock.Now().UnixMilli(), 0
		p.list()
		p.stage.Log("sampler=%s is back", p.ID)
	}()
}

// Requests returns the requests that the sampler began to run.
func (p *Sampler) Requests() []Request {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]Request(nil), p.requests...)
}

// Orders returns the orders that reached the sampler.
func (p *Sampler) Orders() []Order {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]Order(nil), p.orders...)
}

// ServeHTTP answers a request.
func (p *Sampler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(Wire.Expected); expected != "" && expected != p.ID {
		w.Header().Set("Instance-Id", p.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case Wire.Report:
		p.mutex.Lock()
		defer p.mutex.Unlock()
		writeJSON(w, map[string]any{
			"phase": "dual", "models": p.modelList(), "busy": p.busy, "seq": p.seq, "queued-count": 0, "running-count": 0, "kv-used": 0,
			"kv-total": 50000, "handles": 0, "born": p.born,
		})
	case Wire.Order:
		p.order(w, r)
	default:
		p.run(w, r)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller has gone
}

func (p *Sampler) order(w http.ResponseWriter, r *http.Request) {
	var m struct {
		Owner    string `json:"owner"`
		Fence    uint64 `json:"fence-token"`
		Model    string `json:"model"`
		Version  int    `json:"version"`
		Expected *int   `json:"expected"`
	}
	err := json.NewDecoder(r.Body).Decode(&m)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	status := http.StatusAccepted
	switch {
	case err != nil || m.Owner == "" || m.Fence == 0:
		status = http.StatusBadRequest
	case p.versions[m.Model] == m.Version:
		status = http.StatusOK
	case p.busy || m.Expected != nil && *m.Expected != p.seq:
		status = http.StatusConflict
	default:
		p.busy = true
		p.seq++
		p.fence = max(p.fence, m.Fence)
		go p.load(m.Model, m.Version)
	}
	p.orders = append(p.orders, Order{
		Sampler: p.ID, Owner: m.Owner, Fence: m.Fence, Model: m.Model, Version: m.Version, Status: status, At: p.stage.Clock.Monotonic(),
	})
	p.stage.Log("order sampler=%s owner=%s fence=%d model=%s version=%d status=%d", p.ID, m.Owner, m.Fence, m.Model, m.Version, status)
	w.WriteHeader(status)
}

func (p *Sampler) load(model string, version int) {
	p.stage.Wait(p.LoadTime)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.versions[model], p.busy = version, false
	p.list()
}

// EventData is the data of an event of a run. Two runs generate different texts.
func EventData(sampler string, run, n int) string { return fmt.Sprintf("%s/%d/%d", sampler, run, n) }

func (p *Sampler) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // from the start
	q := Request{
		Sampler: p.ID, ID: id, Method: r.Method, Path: r.URL.Path, Header: r.Header.Clone(), Body: body, At: p.stage.Clock.Monotonic(), After: after,
	}
	p.mutex.Lock()
	q.Run = len(p.requests) + 1
	p.requests = append(p.requests, q)
	version := p.versions[r.Header.Get("Model")]
	p.mutex.Unlock()
	p.stage.Log("run sampler=%s id=%q method=%s path=%s tenant=%q bytes=%d after=%s", p.ID, id, r.Method, r.URL.Path,
		strings.Join(r.Header.Values("Tenant"), ","), len(body), r.Header.Get("Last-Event-Id"))
	if p.Crashes != nil && p.Crashes(q) {
		p.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set(Wire.Stamp, "stamp-"+p.ID+"-"+id)
	if len(p.models) == 0 {
		_, _ = fmt.Fprintf(w, "ran %s", body)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.Itoa(version))
	if p.Endless != nil && p.Endless(r.Header.Get("Model")) {
		p.endless(w, r, q)
		return
	}
	for n := after + 1; n <= p.Events; n++ {
		if !timer.Wait(r.Context(), p.stage.Clock, p.EventTime) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, EventData(p.ID, q.Run, n)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // the caller has gone
	}
}

// Pace of events without end: 40 MB a second, less than half of what the link of a machine carries.
const (
	endlessPeriod = 5 * time.Millisecond
	endlessEvents = 100
	endlessBytes  = 2000
)

// endless sends events until the caller closes. They are more than the request allows tokens.
func (p *Sampler) endless(w http.ResponseWriter, r *http.Request, q Request) {
	p.stage.Log("sampler=%s sends events without end to %s", p.ID, q.ID)
	data := strings.Repeat("x", endlessBytes)
	n := q.After
	for timer.Wait(r.Context(), p.stage.Clock, endlessPeriod) {
		var b bytes.Buffer
		for range endlessEvents {
			n++
			fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, data)
		}
		if _, err := w.Write(b.Bytes()); err != nil {
			break
		}
		_ = http.NewResponseController(w).Flush() // the caller has gone
	}
	p.stage.Log("the caller of %s at %s has closed after %d events", q.ID, p.ID, n-q.After)
}
