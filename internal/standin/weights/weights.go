// Package weights is the stand-in for the platform's weight store. It serves the chunks of each version over HTTP at a
// limited rate.
package weights

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/standin/switcher"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Store serves the weights of each version in chunks.
type Store struct {
	// Switches are the failures that the store injects.
	Switches switcher.Switcher

	clock    timer.Service
	rate     float64 // bytes per second
	mu       sync.Mutex
	versions map[uint64][]byte
	freeAt   time.Duration // when all answers so far are sent at the limited rate
	sent     atomic.Int64
}

// NewStore returns an empty store that sends at most rate bytes per second in total. Zero means no limit.
func NewStore(clock timer.Service, rate float64) *Store {
	return &Store{clock: clock, rate: rate, versions: make(map[uint64][]byte)}
}

// Put stores the weights of a version.
func (s *Store) Put(version uint64, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[version] = data
}

// Sent returns the number of bytes that the store has sent.
func (s *Store) Sent() int64 { return s.sent.Load() }

// Handler returns a handler of GET /weights/{version}/{chunk}?size=BYTES, and of the failure switches under /switches.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{version}/{chunk}", s.serve)
	outer := http.NewServeMux()
	outer.Handle("/switches", s.Switches.Handler())
	outer.Handle("/", s.Switches.Wrap(mux))
	return outer
}

// serve sends one chunk of a version when the rate limit allows it.
func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	version, errVersion := strconv.ParseUint(r.PathValue("version"), 10, 64)
	chunk, errChunk := strconv.Atoi(r.PathValue("chunk"))
	size, errSize := strconv.Atoi(r.URL.Query().Get("size"))
	if errVersion != nil || errChunk != nil || errSize != nil || chunk < 0 || size < 1 {
		http.Error(w, "want /weights/VERSION/CHUNK?size=BYTES", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	data := s.versions[version]
	s.mu.Unlock()
	if chunk > len(data)/size || chunk*size >= len(data) {
		http.NotFound(w, r)
		return
	}
	part := data[chunk*size : min((chunk+1)*size, len(data))]
	wait := s.clock.After(s.reserve(len(part)))
	defer wait.Stop()
	select {
	case <-wait.C():
	case <-r.Context().Done():
		return
	}
	n, _ := w.Write(part)
	s.sent.Add(int64(n))
}

// reserve adds n bytes to the rate limit and returns how long their answer has to wait.
func (s *Store) reserve(n int) time.Duration {
	if s.rate <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Monotonic()
	s.freeAt = max(s.freeAt, now) + time.Duration(float64(n)/s.rate*float64(time.Second))
	return s.freeAt - now
}
