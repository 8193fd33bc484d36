package rig

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/standin/keyvalue"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// maxPageItems is the largest number of items in a page of a range.
const maxPageItems = 500

// Call is a call of one node to the key-value service.
type Call struct {
	Node, Path string
	// Prefix is the prefix of a watch or a range, or the key of a read.
	Prefix string
	At     time.Duration
}

// Commit is a transaction that was applied for a node.
type Commit struct {
	Node string
	Keys []string
	// Values holds what was written, by key.
	Values map[string][]byte
	At     time.Duration
}

// Store is a stand-in of the platform's key-value service. Each node calls it at a server of its own, so that it knows
// which node calls.
type Store struct {
	KV    *keyvalue.Service
	clock timer.Service

	mutex   sync.Mutex
	refused map[string]bool
	// silentFrom holds, by node and watched prefix, the time before which watches began whose connections are silent.
	silentFrom map[string]time.Duration
	watches    map[string]time.Duration
	calls      []Call
	commits    []Commit
	// onCommit is called after each applied transaction.
	onCommit func(Commit)
}

// NewStore returns an empty service.
func NewStore(clock timer.Service) *Store {
	return &Store{
		KV: keyvalue.NewService(clock), clock: clock, refused: make(map[string]bool),
		silentFrom: make(map[string]time.Duration), watches: make(map[string]time.Duration),
	}
}

// OnCommit sets the function that is called after each applied transaction.
func (s *Store) OnCommit(f func(Commit)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.onCommit = f
}

// Refuse makes the service answer 503 to a node, or serve it again.
func (s *Store) Refuse(node string, refused bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refused[node] = refused
}

// Silence makes the connection on which a node's watch of a prefix waits silent for good. It returns how long that watch has
// waited. New connections work.
func (s *Store) Silence(node, prefix string) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Monotonic()
	s.silentFrom[node+" "+prefix] = now
	return now - s.watches[node+" "+prefix]
}

// WatchBegan returns when a node's last watch of a prefix began; zero if there was none.
func (s *Store) WatchBegan(node, prefix string) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.watches[node+" "+prefix]
}

// Watchers returns the nodes that have begun a watch of a prefix after a time.
func (s *Store) Watchers(prefix string, after time.Duration) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var nodes []string
	for _, c := range s.calls {
		if c.Path == wire.Watch && c.Prefix == prefix && c.At >= after && !slices.Contains(nodes, c.Node) {
			nodes = append(nodes, c.Node)
		}
	}
	return nodes
}

// Calls returns all calls so far.
func (s *Store) Calls() []Call {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.calls)
}

// Writer returns the node that first wrote a key, or an empty name.
func (s *Store) Writer(key string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.commits {
		if slices.Contains(c.Keys, key) {
			return c.Node
		}
	}
	return ""
}

// Handler returns the handler for the calls of a node.
func (s *Store) Handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		c := Call{Node: node, Path: r.URL.Path, Prefix: q.Get("path-prefix") + q.Get("key"), At: s.clock.Monotonic()}
		s.mutex.Lock()
		refused := s.refused[node]
		s.calls = append(s.calls, c)
		if c.Path == wire.Watch {
			s.watches[node+" "+c.Prefix] = c.At
		}
		s.mutex.Unlock()
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.serve(w, r, c)
	})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request, c Call) {
	switch {
	case c.Path == wire.ReadKey:
		e, out := s.KV.Get(r.Context(), c.Prefix)
		if out == storer.Applied && e.Changed == 0 {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeOutcome(w, out, encodeEntry(e))
	case c.Path == wire.ReadRange:
		s.serveRange(w, r, c)
	case c.Path == wire.Watch:
		s.serveWatch(w, r, c)
	case c.Path == wire.Transaction:
		s.serveTransaction(w, r, c)
	case c.Path == wire.Grant:
		var m struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.NewDecoder(r.Body).Decode(&m) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		l, out := s.KV.Grant(r.Context(), time.Duration(m.TTL)*time.Millisecond)
		writeOutcome(w, out, map[string]int64{"lease": int64(l), "ttl-ms": m.TTL})
	case strings.HasPrefix(c.Path, wire.Renew):
		writeOutcome(w, s.KV.KeepAlive(r.Context(), leaseOf(c.Path)), struct{}{})
	case strings.HasPrefix(c.Path, wire.Revoke):
		writeOutcome(w, s.KV.Revoke(r.Context(), leaseOf(c.Path)), struct{}{})
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// leaseOf returns the lease number in the last segment of a path, or zero, which is no valid lease.
func leaseOf(path string) storer.Lease {
	n, err := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return storer.Lease(n)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request, c Call) {
	after := r.URL.Query().Get("after")
	entries, revision, out := s.KV.Snapshot(r.Context(), c.Prefix)
	items, more := []any{}, false
	for _, e := range entries {
		if after != "" && e.Key <= after {
			continue
		}
		if len(items) == maxPageItems {
			more = true
			break
		}
		items = append(items, encodeEntry(e))
	}
	writeOutcome(w, out, map[string]any{"items": items, "has-more": more, "as-of": revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, c Call) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	changes, revision, out := s.KV.Changes(r.Context(), c.Prefix, after, time.Duration(wait)*time.Millisecond)
	s.mutex.Lock()
	silent := c.At < s.silentFrom[c.Node+" "+c.Prefix]
	s.mutex.Unlock()
	if silent {
		// Nothing comes on this connection any more.
		<-r.Context().Done()
		return
	}
	if out == storer.Conflict {
		w.WriteHeader(http.StatusGone)
		return
	}
	events := []any{}
	for _, change := range changes {
		if change.Removed {
			events = append(events, map[string]any{"key": change.Key, "revision": change.Changed, "removed": true})
			continue
		}
		events = append(events, encodeEntry(change.Entry))
	}
	writeOutcome(w, out, map[string]any{"events": events, "as-of": revision})
}

// transactionMessage is the body of a transaction.
type transactionMessage struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request, c Call) {
	var m transactionMessage
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var t storer.Transaction
	commit := Commit{Node: c.Node, Values: make(map[string][]byte, len(m.Puts))}
	for _, e := range m.Expected {
		t = t.WithGuard(e.Key, e.Revision)
	}
	for _, p := range m.Puts {
		t = t.WithPut(p.Key, p.Value, storer.Lease(p.Lease))
		commit.Keys = append(commit.Keys, p.Key)
		commit.Values[p.Key] = p.Value
	}
	for _, key := range m.Remove {
		t = t.WithDelete(key)
	}
	out := s.KV.Commit(r.Context(), t)
	if out == storer.Conflict {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = w.Write([]byte(`{"items":[]}`)) // an error means that the node has gone
		return
	}
	if out == storer.Applied {
		commit.At = s.clock.Monotonic()
		s.mutex.Lock()
		s.commits = append(s.commits, commit)
		notify := s.onCommit
		s.mutex.Unlock()
		if notify != nil {
			notify(commit)
		}
	}
	writeOutcome(w, out, map[string]int64{"revision": 1})
}

func writeOutcome(w http.ResponseWriter, out storer.Outcome, message any) {
	switch out {
	case storer.Applied:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(message) // an error means that the node has gone
	case storer.Conflict:
		w.WriteHeader(http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func encodeEntry(e storer.Entry) map[string]any {
	return map[string]any{"key": e.Key, "value": e.Value, "revision": e.Changed, "created": e.Changed, "lease": 0}
}
