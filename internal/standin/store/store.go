// Package store is the stand-in for the platform's key-value service. It serves the part of the etcd v3 JSON protocol
// that the system uses: range, txn, leases and watch.
package store

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/standin/switcher"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// maxValueBytes limits the value of a key.
const maxValueBytes = 1 << 20

// maxRequestBytes limits the body of a request. A transaction can hold several values, in base64.
const maxRequestBytes = 8 << 20

// Store holds keys, leases and watchers in memory.
type Store struct {
	// Switches are the failures that the store injects.
	Switches switcher.Switcher

	clock    timer.Service
	mu       sync.Mutex
	revision int64
	keys     map[string]record
	leases   map[int64]*lease
	watchers map[chan event]string // the watched key by channel
	reads    atomic.Int64
	writes   atomic.Int64
}

// record is the value of a key, with the revision of its last change and the ID of its lease.
type record struct {
	value       []byte
	modRevision int64
	lease       int64
}

// lease expires at a time of the monotonic clock.
type lease struct {
	ttl     time.Duration
	expires time.Duration
}

// event is a change of a key. The record of a removed key is zero.
type event struct {
	key    string
	record record
}

// NewStore returns an empty store.
func NewStore(clock timer.Service) *Store {
	return &Store{clock: clock, keys: map[string]record{}, leases: map[int64]*lease{}, watchers: map[chan event]string{}}
}

// Calls returns the number of reads and writes that the store has served.
func (s *Store) Calls() (reads, writes int64) { return s.reads.Load(), s.writes.Load() }

// Handler returns a handler of the protocol, and of the failure switches under /switches.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v3/kv/range", handle(&s.reads, s.rangeKeys))
	mux.Handle("POST /v3/kv/txn", handle(&s.writes, s.commit))
	mux.Handle("POST /v3/lease/grant", handle(&s.writes, s.grant))
	mux.Handle("POST /v3/lease/keepalive", handle(&s.writes, s.keepAlive))
	mux.Handle("POST /v3/lease/revoke", handle(&s.writes, s.revoke))
	mux.HandleFunc("POST /v3/watch", s.watch)
	outer := http.NewServeMux()
	outer.Handle("/switches", s.Switches.Handler())
	outer.Handle("/", s.Switches.Wrap(mux))
	return outer
}

// handle returns a handler that counts a request, decodes it and encodes the reply of f. If the second result of f is
// false, the response is etcd's error for a lease that does not exist.
func handle[Q, R any](count *atomic.Int64, f func(Q) (R, bool)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		var q Q
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		reply, ok := f(q)
		if !ok {
			http.Error(w, "etcdserver: requested lease not found", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(reply)
	})
}

// rangeKeys returns the key, or the keys from Key up to and excluding RangeEnd.
func (s *Store) rangeKeys(q rangeRequest) (rangeReply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	var reply rangeReply
	for k, r := range s.keys {
		if r.modRevision < q.MinModRevision {
			continue
		}
		if k == string(q.Key) || len(q.RangeEnd) > 0 && k >= string(q.Key) && k < string(q.RangeEnd) {
			reply.KVs = append(reply.KVs, keyValue{Key: []byte(k), Value: r.value, ModRevision: r.modRevision})
		}
	}
	slices.SortFunc(reply.KVs, func(a, b keyValue) int { return cmp.Compare(string(a.Key), string(b.Key)) })
	return reply, true
}

// commit applies a transaction if every key still has the revision that the transaction compares it with.
func (s *Store) commit(q txnRequest) (txnReply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	for _, c := range q.Compare {
		if s.keys[string(c.Key)].modRevision != c.ModRevision {
			return txnReply{}, true
		}
	}
	for _, op := range q.Success {
		if op.Put != nil && (len(op.Put.Value) > maxValueBytes || op.Put.Lease != 0 && s.leases[op.Put.Lease] == nil) {
			return txnReply{}, false
		}
	}
	s.revision++
	for _, op := range q.Success {
		if op.Put != nil {
			s.set(string(op.Put.Key), record{value: op.Put.Value, modRevision: s.revision, lease: op.Put.Lease})
		}
		if op.Delete != nil {
			s.remove(string(op.Delete.Key))
		}
	}
	return txnReply{Succeeded: true}, true
}

func (s *Store) set(key string, r record) {
	s.keys[key] = r
	s.publish(event{key: key, record: r})
}

func (s *Store) remove(key string) {
	if _, ok := s.keys[key]; ok {
		delete(s.keys, key)
		s.publish(event{key: key})
	}
}

// publish sends an event to the watchers of its key. It closes the channel of a watcher whose buffer is full, so that the
// client has to watch again.
func (s *Store) publish(e event) {
	for c, key := range s.watchers {
		if key != e.key {
			continue
		}
		select {
		case c <- e:
		default:
			delete(s.watchers, c)
			close(c)
		}
	}
}
