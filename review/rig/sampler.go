package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/timer"
)

// Run is a request that a sampler began to run.
type Run struct {
	Sampler, Request, Path, Team string
	At, Ended                    time.Duration
	// Status is that of the answer that was sent whole; zero if there was none.
	Status int
}

// Sampler is a stand-in of a sampler of the platform. It serves one request at a time on a connection and never refuses one.
type Sampler struct {
	ID, Service, Zone string
	// Work is the time of a plain request and of each event of a text; Events is the number of events of a text.
	Work   time.Duration
	Events int
	// Lose reports whether the answer of a run is lost: the request runs and its connection is then reset. It may be nil.
	Lose func(r Run) bool

	clock    timer.Service
	record   *Record
	server   *http.Server
	listener net.Listener
	born     time.Time

	mutex   sync.Mutex
	runs    []*Run
	version uint64
	orders  int
}

// NewSampler starts a sampler on a free loopback port.
func NewSampler(id, service, zone string, clock timer.Service, record *Record) (*Sampler, error) {
	l, err := listenLocal("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Sampler{
		ID: id, Service: service, Zone: zone, Work: defaultWork, Events: defaultEvents, clock: clock, record: record, listener: l, born: clock.Now(),
		version: 1,
	}
	s.server = newServer(s)
	go func() { _ = s.server.Serve(l) }() // returns when the sampler ends
	return s, nil
}

const (
	defaultWork   = 25 * time.Millisecond
	defaultEvents = 4
)

// Close ends the sampler as the end of its process does: its connections break.
func (s *Sampler) Close() { _ = s.server.Close() }

// Address returns the address at which it serves.
func (s *Sampler) Address() string { return s.listener.Addr().String() }

// Runs returns what it has begun to run.
func (s *Sampler) Runs() []Run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := make([]Run, 0, len(s.runs))
	for _, r := range s.runs {
		all = append(all, *r)
	}
	return all
}

// Listing returns its entry in the key-value service. coldLeft is how much longer it remains slow after its start, in milliseconds.
func (s *Sampler) Listing(coldLeft int) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return encode(map[string]any{
		"service": s.Service, "address": s.Address(), "zone": s.Zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": coldLeft,
		"phase": "dual", "models": s.models(), "seq": 1, "born": s.born.UnixMilli(),
	})
}

// models returns the models that it serves. The caller holds the mutex.
func (s *Sampler) models() []map[string]any {
	all := []map[string]any{}
	if s.Service == EngineService {
		for _, m := range Models {
			all = append(all, map[string]any{fieldName: m, fieldVersion: s.version, "adapters": []any{}})
		}
	}
	return all
}

// ServeHTTP answers a call.
func (s *Sampler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(wire.Expected); expected != "" && expected != s.ID {
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case wire.Report:
		s.mutex.Lock()
		report := encode(map[string]any{
			"phase": "dual", "models": s.models(), "busy": false, "seq": s.orders, "queued-count": 0, "running-count": 0, "kv-used": 0,
			"kv-total": 75867, "handles": 0, "born": s.born.UnixMilli(),
		})
		s.mutex.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(report) // an error means that the caller has gone
	case wire.Order:
		s.order(w, r)
	default:
		s.run(w, r)
	}
}

func (s *Sampler) order(w http.ResponseWriter, r *http.Request) {
	var m struct {
		Version uint64 `json:"version"`
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if m.Version == s.version {
		w.WriteHeader(http.StatusOK)
		return
	}
	s.orders++
	s.version = m.Version
	w.WriteHeader(http.StatusAccepted)
}

// run runs a request: a text for one with a Model header, else a plain answer.
func (s *Sampler) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	run := &Run{Sampler: s.ID, Request: r.Header.Get("Request-Id"), Path: r.URL.Path, Team: r.Header.Get("Tenant"), At: s.clock.Monotonic()}
	s.mutex.Lock()
	s.runs = append(s.runs, run)
	s.mutex.Unlock()
	s.record.Line("run   %s %s begins at %s from %s", run.Request, run.Path, s.ID, r.RemoteAddr)
	w.Header().Set("Request-Id", run.Request)
	w.Header().Set(wire.Stamp, "stamp."+s.ID+"."+run.Request)
	if r.Header.Get("Model") != "" {
		s.text(w, r, run)
	} else {
		s.plain(w, r, run, body)
	}
}

func (s *Sampler) plain(w http.ResponseWriter, r *http.Request, run *Run, body []byte) {
	if !timer.Wait(r.Context(), s.clock, s.Work) {
		s.finish(run, 0, "is dropped, its connection has closed")
		return
	}
	if s.Lose != nil && s.Lose(*run) {
		s.finish(run, 0, "has run, its answer is lost (connection reset)")
		resetConnection(w)
		return
	}
	s.finish(run, http.StatusOK, "has run, 200")
	answer := "answer to " + string(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer) // an error means that the caller has gone
}

func (s *Sampler) text(w http.ResponseWriter, r *http.Request, run *Run) {
	s.mutex.Lock()
	version := s.version
	s.mutex.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatUint(version, 10))
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	stream := http.NewResponseController(w)
	for n := last + 1; n <= s.Events; n++ {
		if !timer.Wait(r.Context(), s.clock, s.Work) {
			s.finish(run, 0, fmt.Sprintf("is dropped before event %d, its connection has closed", n))
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: text %s event %d\n\n", n, run.Request, n); err != nil || stream.Flush() != nil {
			s.finish(run, 0, fmt.Sprintf("is dropped at event %d", n))
			return
		}
	}
	s.finish(run, http.StatusOK, "has run, 200")
}

func (s *Sampler) finish(run *Run, status int, how string) {
	s.mutex.Lock()
	run.Status, run.Ended = status, s.clock.Monotonic()
	s.mutex.Unlock()
	s.record.Line("run   %s %s at %s", run.Request, how, s.ID)
}

// resetConnection resets the connection of a request.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // otherwise Close ends the connection with a FIN
	}
	_ = conn.Close()
}

func encode(message any) []byte {
	data, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	return data
}

// Text returns the whole text of an item whose texts have n events.
func Text(id string, n int) string {
	lines := make([]string, 0, n)
	for i := 1; i <= n; i++ {
		lines = append(lines, fmt.Sprintf("text %s event %d", id, i))
	}
	return strings.Join(lines, "\n")
}
