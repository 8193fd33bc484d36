// Package engine is the stand-in for a model engine. It serves the /generate protocol with server-sent events; the
// tokens depend only on the first word of the prompt and the position, so that a resumed answer can be checked.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/standin/switcher"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// requestLimit bounds a request in bytes.
const requestLimit = 4 << 20

// DefaultTokenTime is the time that an engine takes for one token.
const DefaultTokenTime = 2 * time.Millisecond

// Engine generates tokens at a fixed pace.
type Engine struct {
	// Switches are the failures that the engine shows.
	Switches switcher.Switcher

	clock     timer.Service
	tokenTime time.Duration
	version   atomic.Uint64
	runs      sync.Map
	running   atomic.Int64
	total     atomic.Int64
	cache     *prefixCache
	fence     atomic.Uint64
	counts    sync.Map
	prompts   sync.Map
	unfenced  bool
	changes   changes

	mu      sync.Mutex
	crashed chan struct{}
}

// Option sets a property of an Engine.
type Option func(*Engine)

// WithTokenTime sets the time for one token.
func WithTokenTime(d time.Duration) Option { return func(e *Engine) { e.tokenTime = d } }

// NewEngine returns an engine with weight version 1.
func NewEngine(clock timer.Service, opts ...Option) *Engine {
	e := &Engine{clock: clock, tokenTime: DefaultTokenTime, cache: newPrefixCache()}
	e.version.Store(1)
	for _, o := range opts {
		o(e)
	}
	return e
}

// Runs returns how many answers the engine has started in all.
func (e *Engine) Runs() int64 { return e.total.Load() }

// Running returns how many answers the engine is making.
func (e *Engine) Running() int64 { return e.running.Load() }

// RunsOf returns how many answers the engine has started for one request.
func (e *Engine) RunsOf(request string) int64 {
	if n, ok := e.counts.Load(request); ok {
		if c, ok := n.(*atomic.Int64); ok {
			return c.Load()
		}
	}
	return 0
}

// RunsOfPrompt returns how many answers the engine has started for prompts that begin with this text.
func (e *Engine) RunsOfPrompt(text string) int64 {
	var n int64
	e.prompts.Range(func(prompt, count any) bool {
		p, isText := prompt.(string)
		if c, ok := count.(*atomic.Int64); ok && isText && strings.HasPrefix(p, text) {
			n += c.Load()
		}
		return true
	})
	return n
}

// Version returns the weight version in use.
func (e *Engine) Version() uint64 { return e.version.Load() }

// Handler serves the protocol, and the switches under /switches.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", e.generate)
	mux.HandleFunc("POST /abort_request", e.abort)
	mux.HandleFunc("POST /update_weights_from_disk", e.update)
	mux.HandleFunc("POST /load_lora_adapter", e.order)
	mux.HandleFunc("POST /set_role", e.order)
	mux.HandleFunc("GET /get_weight_version", e.showVersion)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	outer := http.NewServeMux()
	outer.Handle("/switches", e.Switches.Handler())
	outer.Handle("/", e.Switches.Wrap(mux))
	return outer
}

type generateRequest struct {
	RID      string `json:"rid"`
	Text     string `json:"text"`
	Stream   bool   `json:"stream"`
	Adapter  string `json:"lora_path"`
	Sampling struct {
		MaxNewTokens int `json:"max_new_tokens"`
	} `json:"sampling_params"`
}

type metaInfo struct {
	ID            string  `json:"id"`
	WeightVersion string  `json:"weight_version"`
	Adapter       string  `json:"lora_path,omitempty"`
	Prompt        int     `json:"prompt_tokens"`
	Cached        int     `json:"cached_tokens"`
	Completion    int     `json:"completion_tokens"`
	Finish        *finish `json:"finish_reason"`
}

type finish struct {
	Type string `json:"type"`
}

type generateEvent struct {
	Text string   `json:"text"`
	IDs  []int    `json:"output_ids"`
	Meta metaInfo `json:"meta_info"`
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var q generateRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, requestLimit)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	e.runs.Store(q.RID, cancel)
	defer e.runs.Delete(q.RID)
	request, _, _ := strings.Cut(q.RID, "/")
	e.total.Add(1)
	count(&e.counts, request)
	count(&e.prompts, q.Text)
	e.running.Add(1)
	defer e.running.Add(-1)

	words := strings.Fields(q.Text)
	meta := metaInfo{ID: q.RID, Adapter: q.Adapter, Prompt: len(words), Cached: e.cache.hit(words)}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	tick := e.clock.Every(e.tokenTime)
	defer tick.Stop()
	life := e.life()
	for i := range max(q.Sampling.MaxNewTokens, 1) {
		select {
		case <-ctx.Done():
			meta.Finish = &finish{Type: "abort"}
			write(w, generateEvent{Meta: meta})
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		case <-life:
			panic(http.ErrAbortHandler)
		case <-tick.C():
		}
		if crash := e.Switches.Get().Crash; crash != "" && strings.Contains(q.Text, crash) {
			e.Crash()
			panic(http.ErrAbortHandler)
		}
		meta.Completion = i + 1
		meta.WeightVersion = strconv.FormatUint(e.version.Load(), 10)
		if i+1 >= q.Sampling.MaxNewTokens {
			meta.Finish = &finish{Type: "length"}
		}
		write(w, generateEvent{Text: " " + Token(words, len(words)+i), IDs: []int{len(words) + i}, Meta: meta})
		if flush.Flush() != nil {
			return
		}
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// Crash breaks off every running answer, like the death and restart of the engine's process.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed != nil {
		close(e.crashed)
		e.crashed = nil
	}
}

// life returns a channel that is closed when the engine crashes.
func (e *Engine) life() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed == nil {
		e.crashed = make(chan struct{})
	}
	return e.crashed
}

// Token returns the token at a position of the text that begins with the given words.
func Token(words []string, position int) string {
	h := fnv.New32a()
	if len(words) > 0 {
		_, _ = h.Write([]byte(words[0]))
	}
	_, _ = fmt.Fprintf(h, "/%d", position)
	return fmt.Sprintf("w%04x", h.Sum32()&0xffff)
}

func count(counts *sync.Map, key string) {
	n, _ := counts.LoadOrStore(key, &atomic.Int64{})
	if c, ok := n.(*atomic.Int64); ok {
		c.Add(1)
	}
}

func (e *Engine) abort(w http.ResponseWriter, r *http.Request) {
	var q struct {
		RID string `json:"rid"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, requestLimit)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c, ok := e.runs.Load(q.RID); ok {
		if cancel, ok := c.(context.CancelFunc); ok {
			cancel()
		}
	}
}

func (e *Engine) update(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Version string `json:"weight_version"`
		Fence   uint64 `json:"fence"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, requestLimit)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, err := strconv.ParseUint(q.Version, 10, 64)
	if err != nil {
		http.Error(w, "weight_version: a number is expected", http.StatusBadRequest)
		return
	}
	if !e.unfenced && q.Fence < e.fence.Load() {
		http.Error(w, "fence: an old number", http.StatusConflict)
		return
	}
	e.fence.Store(max(q.Fence, e.fence.Load()))
	ok := !e.Switches.TakeSwap()
	if ok {
		e.version.Store(version)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"success": ok})
}

func (e *Engine) showVersion(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{"weight_version": strconv.FormatUint(e.version.Load(), 10)})
}

func write(w http.ResponseWriter, e generateEvent) {
	data, err := json.Marshal(e)
	if err != nil {
		panic("invariant engine-event: an event can be encoded")
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}
