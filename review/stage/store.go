// Package stage holds small stand-ins for the users' platform, and starts the processes of the deploy file as separate processes on
// loopback addresses.
package stage

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/standin/keyvalue"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Limits of the platform's store.
const (
	maxPageItems   = 500
	maxPageBytes   = 1 << 20
	maxTransaction = 32
	storeTime      = 4 * time.Millisecond
)

// Call is a call of a process to the store.
type Call struct {
	Node   string
	Method string
	Path   string
	Query  url.Values
	// Puts holds the values that a transaction writes, by key.
	Puts map[string][]byte
}

// Fate is what becomes of a call.
type Fate int

const (
	// Serve answers the call.
	Serve Fate = iota
	// Late executes the call some seconds later and does not answer it.
	Late
)

// lateTime is the time after which a call is executed that is late. The pages say 1 to 6 s.
const lateTime = 4 * time.Second

// Hook decides what becomes of a call. It is called before the call is executed.
type Hook func(c Call) Fate

// Store is the platform's store.
type Store struct {
	Service *keyvalue.Service
	clock   timer.Service
	hook    atomic.Pointer[Hook]
	after   atomic.Pointer[func(Call)]
}

// NewStore returns an empty store.
func NewStore(clock timer.Service) *Store {
	return &Store{Service: keyvalue.NewService(clock), clock: clock}
}

// SetHook sets what decides of each call.
func (s *Store) SetHook(h Hook) { s.hook.Store(&h) }

// SetAfter sets what is called after a call was executed and before it is answered.
func (s *Store) SetAfter(f func(Call)) { s.after.Store(&f) }

// WriteJSON writes a value of another client of the store.
func (s *Store) WriteJSON(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.Service.Write(key, data)
}

// door is the store as one process reaches it.
type door struct {
	*Store

	stage *Stage
	node  string
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	AsOf     int64  `json:"as-of,omitempty"`
}

type removal struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Removed  bool   `json:"removed"`
}

type transaction struct {
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

// item returns the message of an entry. The addresses of processes are replaced by those of the links that lead to them.
func (d door) item(e storer.Entry) item {
	if strings.HasPrefix(e.Key, "nodes/") {
		e.Value = d.stage.linked(d.node, e.Value)
	}
	return item{Key: e.Key, Value: e.Value, Revision: e.Changed, Created: e.Changed}
}

// ServeHTTP answers a call.
func (d door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c := Call{Node: d.node, Method: r.Method, Path: r.URL.Path, Query: r.URL.Query(), Puts: map[string][]byte{}}
	var t transaction
	if r.URL.Path == Wire.Transaction && json.Unmarshal(body, &t) == nil {
		for _, p := range t.Puts {
			c.Puts[p.Key] = p.Value
		}
	}
	fate := Serve
	if h := d.hook.Load(); h != nil {
		fate = (*h)(c)
	}
	if r.URL.Path != Wire.Watch && !timer.Wait(r.Context(), d.clock, storeTime) {
		panic(http.ErrAbortHandler)
	}
	if fate == Late {
		late := context.WithoutCancel(r.Context())
		go func() {
			timer.Wait(late, d.clock, lateTime)
			d.execute(r.WithContext(late), body, t)
		}()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, answer := d.execute(r, body, t)
	if f := d.after.Load(); f != nil {
		(*f)(c)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // the caller has gone
}

func (d door) execute(r *http.Request, body []byte, t transaction) (int, any) {
	ctx, q, nothing := r.Context(), r.URL.Query(), struct{}{}
	switch path := r.URL.Path; {
	case path == Wire.ReadKey:
		e, _ := d.Service.Get(ctx, q.Get("key"))
		if e.Changed == 0 {
			return http.StatusNotFound, nothing
		}
		return http.StatusOK, d.item(e)
	case path == Wire.ReadRange:
		return d.readRange(r)
	case path == Wire.Watch:
		return d.watch(r)
	case path == Wire.Transaction:
		return d.commit(r, t)
	case path == Wire.Grant:
		var m struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.NewDecoder(bytes.NewReader(body)).Decode(&m) != nil {
			return http.StatusBadRequest, nothing
		}
		l, _ := d.Service.Grant(ctx, time.Duration(m.TTL)*time.Millisecond)
		return http.StatusOK, map[string]int64{"lease": int64(l), "ttl-ms": m.TTL}
	case strings.HasPrefix(path, Wire.Renew):
		if d.Service.KeepAlive(ctx, leaseOf(path)) == storer.Conflict {
			return http.StatusNotFound, nothing
		}
		return http.StatusOK, nothing
	case strings.HasPrefix(path, Wire.Revoke):
		d.Service.Revoke(ctx, leaseOf(path))
		return http.StatusOK, nothing
	}
	return http.StatusBadRequest, nothing
}

func leaseOf(path string) storer.Lease {
	n, _ := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64) // zero is no lease
	return storer.Lease(n)
}

func (d door) readRange(r *http.Request) (int, any) {
	q := r.URL.Query()
	entries, revision, _ := d.Service.Snapshot(r.Context(), q.Get("path-prefix"))
	items, size, more := []item{}, 0, false
	for _, e := range entries {
		if e.Key <= q.Get("after") {
			continue
		}
		if len(items) == maxPageItems || len(items) > 0 && size+len(e.Value) > maxPageBytes {
			more = true
			break
		}
		size += len(e.Value)
		items = append(items, d.item(e))
	}
	return http.StatusOK, map[string]any{"items": items, "has-more": more, "as-of": revision}
}

func (d door) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	changes, revision, out := d.Service.Changes(r.Context(), q.Get("path-prefix"), after, time.Duration(wait)*time.Millisecond)
	if out == storer.Conflict {
		return http.StatusGone, struct{}{}
	}
	events := []any{}
	for _, c := range changes {
		if c.Removed {
			events = append(events, removal{Key: c.Key, Revision: c.Changed, Removed: true})
			continue
		}
		events = append(events, d.item(c.Entry))
	}
	return http.StatusOK, map[string]any{"events": events, "as-of": revision}
}

func (d door) commit(r *http.Request, m transaction) (int, any) {
	if len(m.Expected)+len(m.Puts)+len(m.Remove) > maxTransaction {
		return http.StatusBadRequest, struct{}{}
	}
	var t storer.Transaction
	for _, e := range m.Expected {
		t = t.WithGuard(e.Key, e.Revision)
	}
	for _, p := range m.Puts {
		t = t.WithPut(p.Key, p.Value, storer.Lease(p.Lease))
	}
	for _, key := range m.Remove {
		t = t.WithDelete(key)
	}
	if d.Service.Commit(r.Context(), t) == storer.Conflict {
		return http.StatusPreconditionFailed, map[string]any{"items": []item{}}
	}
	return http.StatusOK, map[string]int64{"revision": 1}
}
