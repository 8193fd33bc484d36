package logger

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/timer"
)

// DefaultLinesPerSecond is the rate of lines about successful requests above which a process logs only some of them.
const DefaultLinesPerSecond = 50

// Sampler decides which successful requests are logged. Failures, refusals and retries are always logged.
// All lines of a request are kept or omitted together, by the hash of its ID, so that every process keeps the same
// requests.
type Sampler struct {
	clock timer.Service
	lines int // per second

	mutex   sync.Mutex
	second  time.Duration // start of the current second
	seen    int           // lines in the current second, kept or not
	shift   uint          // one of 2^shift IDs is kept
	omitted int64
}

// NewSampler returns a Sampler that keeps about the given number of lines a second.
func NewSampler(clock timer.Service, lines int) *Sampler { return &Sampler{clock: clock, lines: lines} }

// Keep reports whether a line about the request with the given ID is written. One of 2^n IDs is kept; n follows
// from the number of lines in the previous second.
func (s *Sampler) Keep(id string) bool {
	if s == nil {
		return true
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // hash.Hash never returns an error
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Monotonic()
	if now-s.second >= time.Second {
		s.shift = 0
		for s.seen>>s.shift > s.lines {
			s.shift++
		}
		s.second, s.seen = now, 0
	}
	s.seen++
	if h.Sum32()&(1<<s.shift-1) != 0 {
		s.omitted++
		return false
	}
	return true
}

// Omitted returns the number of lines omitted so far.
func (s *Sampler) Omitted() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.omitted
}
