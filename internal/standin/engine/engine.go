// Package engine is the stand-in for a model engine. It serves the /generate protocol with server-sent events. A token
// depends only on the first word of the prompt and on its position, so that a test can check the text of a resumed answer.
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

// maxRequestBytes limits the body of a request.
const maxRequestBytes = 4 << 20

// DefaultTokenTime is the time that an engine takes for one token.
const DefaultTokenTime = 2 * time.Millisecond

// Engine generates tokens at a fixed rate.
type Engine struct {
	// Switches are the failures that the engine injects.
	Switches switcher.Switcher

	clock           timer.Service
	tokenTime       time.Duration
	version         atomic.Uint64
	cancels         sync.Map // from RID to the context.CancelFunc of its answer
	running         atomic.Int64
	started         atomic.Int64
	cache           *prefixCache
	maxFence        atomic.Uint64
	startsByRequest sync.Map // from request ID to *atomic.Int64
	startsByPrompt  sync.Map // from prompt to *atomic.Int64
	unfenced        bool
	ordered         orderedState

	mu sync.Mutex
	// crashed is closed at the next crash; nil if no answer has started since the last one.
	crashed chan struct{}
}

// Option sets a property of an Engine.
type Option func(*Engine)

// WithTokenTime sets the time that the engine takes for one token.
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

// Runs returns the number of answers that the engine has started.
func (e *Engine) Runs() int64 { return e.started.Load() }

// Running returns the number of answers that the engine is generating.
func (e *Engine) Running() int64 { return e.running.Load() }

// RunsOfRequest returns the number of answers that the engine has started for one request.
func (e *Engine) RunsOfRequest(request string) int64 {
	if n, ok := e.startsByRequest.Load(request); ok {
		if c, ok := n.(*atomic.Int64); ok {
			return c.Load()
		}
	}
	return 0
}

// RunsOfPrompt returns the number of answers that the engine has started for prompts that begin with text.
func (e *Engine) RunsOfPrompt(text string) int64 {
	var n int64
	e.startsByPrompt.Range(func(prompt, count any) bool {
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

// Handler returns a handler of the engine protocol, and of the failure switches under /switches.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", e.generate)
	mux.HandleFunc("POST /abort_request", e.abortRequest)
	mux.HandleFunc("POST /update_weights_from_disk", e.updateWeights)
	mux.HandleFunc("POST /load_lora_adapter", e.applyOrder)
	mux.HandleFunc("POST /set_role", e.applyOrder)
	mux.HandleFunc("GET /get_weight_version", e.showVersion)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	outer := http.NewServeMux()
	outer.Handle("/switches", e.Switches.Handler())
	outer.Handle("/", e.Switches.Wrap(mux))
	return outer
}

// generateRequest is the body of /generate.
type generateRequest struct {
	RID      string `json:"rid"`
	Text     string `json:"text"`
	Stream   bool   `json:"stream"`
	Adapter  string `json:"lora_path"`
	Sampling struct {
		MaxNewTokens int `json:"max_new_tokens"`
	} `json:"sampling_params"`
}

// metaInfo describes the answer so far.
type metaInfo struct {
	ID               string  `json:"id"`
	WeightVersion    string  `json:"weight_version"`
	Adapter          string  `json:"lora_path,omitempty"`
	PromptTokens     int     `json:"prompt_tokens"`
	CachedTokens     int     `json:"cached_tokens"`
	CompletionTokens int     `json:"completion_tokens"`
	FinishReason     *finish `json:"finish_reason"`
}

// finish is the reason why an answer ended: length or abort.
type finish struct {
	Type string `json:"type"`
}

// generateEvent is one event of an answer. It carries one token.
type generateEvent struct {
	Text string   `json:"text"`
	IDs  []int    `json:"output_ids"`
	Meta metaInfo `json:"meta_info"`
}

// generate streams an answer of one token per event until its length is reached, the request is aborted or the engine
// crashes.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var q generateRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	e.cancels.Store(q.RID, cancel)
	defer e.cancels.Delete(q.RID)
	request, _, _ := strings.Cut(q.RID, "/")
	e.started.Add(1)
	increment(&e.startsByRequest, request)
	increment(&e.startsByPrompt, q.Text)
	e.running.Add(1)
	defer e.running.Add(-1)

	words := strings.Fields(q.Text)
	meta := metaInfo{ID: q.RID, Adapter: q.Adapter, PromptTokens: len(words), CachedTokens: e.cache.matchAndAdd(words)}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	tick := e.clock.Every(e.tokenTime)
	defer tick.Stop()
	crashed := e.crashSignal()
	for i := range max(q.Sampling.MaxNewTokens, 1) {
		select {
		case <-ctx.Done():
			meta.FinishReason = &finish{Type: "abort"}
			writeEvent(w, generateEvent{Meta: meta})
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		case <-crashed:
			panic(http.ErrAbortHandler)
		case <-tick.C():
		}
		if crash := e.Switches.Get().Crash; crash != "" && strings.Contains(q.Text, crash) {
			e.Crash()
			panic(http.ErrAbortHandler)
		}
		meta.CompletionTokens = i + 1
		meta.WeightVersion = strconv.FormatUint(e.version.Load(), 10)
		if i+1 >= q.Sampling.MaxNewTokens {
			meta.FinishReason = &finish{Type: "length"}
		}
		writeEvent(w, generateEvent{Text: " " + Token(words, len(words)+i), IDs: []int{len(words) + i}, Meta: meta})
		if flush.Flush() != nil {
			return
		}
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// Crash aborts the connection of every running answer, as a crash and restart of the engine process does.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed != nil {
		close(e.crashed)
		e.crashed = nil
	}
}

// crashSignal returns a channel that is closed at the next crash.
func (e *Engine) crashSignal() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed == nil {
		e.crashed = make(chan struct{})
	}
	return e.crashed
}

// Token returns the token at a position of the text that begins with the given words, the prompt's.
func Token(words []string, position int) string {
	h := fnv.New32a()
	if len(words) > 0 {
		_, _ = h.Write([]byte(words[0]))
	}
	_, _ = fmt.Fprintf(h, "/%d", position)
	return fmt.Sprintf("w%04x", h.Sum32()&0xffff)
}

// increment adds one to the counter of a key.
func increment(counts *sync.Map, key string) {
	n, _ := counts.LoadOrStore(key, &atomic.Int64{})
	if c, ok := n.(*atomic.Int64); ok {
		c.Add(1)
	}
}

// abortRequest cancels a running answer.
func (e *Engine) abortRequest(w http.ResponseWriter, r *http.Request) {
	var q struct {
		RID string `json:"rid"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c, ok := e.cancels.Load(q.RID); ok {
		if cancel, ok := c.(context.CancelFunc); ok {
			cancel()
		}
	}
}

// updateWeights changes the weight version, unless the fence is lower than an earlier one or the Swap switch fails the
// change.
func (e *Engine) updateWeights(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Version string `json:"weight_version"`
		Fence   uint64 `json:"fence"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, err := strconv.ParseUint(q.Version, 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("weight_version %q: want a decimal number", q.Version), http.StatusBadRequest)
		return
	}
	if !e.unfenced && q.Fence < e.maxFence.Load() {
		http.Error(w, fmt.Sprintf("fence %d: want at least %d", q.Fence, e.maxFence.Load()), http.StatusConflict)
		return
	}
	e.maxFence.Store(max(q.Fence, e.maxFence.Load()))
	ok := !e.Switches.ConsumeSwap()
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

func writeEvent(w http.ResponseWriter, e generateEvent) {
	data, err := json.Marshal(e)
	if err != nil {
		panic("invariant engine-event: every event can be encoded: " + err.Error())
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}
