package logger

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/timer"
)

// DefaultLinesPerSecond is the number of ordinary lines a second that a process writes before it begins to leave requests out.
const DefaultLinesPerSecond = 50

// Sampler decides which requests that went as they should are logged. Failures, refusals and retries are logged always.
// A request is kept or left out as a whole, by the hash of its identity, so that every process keeps the same ones.
type Sampler struct {
	clock timer.Service
	lines int

	mutex   sync.Mutex
	second  time.Duration
	seen    int
	shift   uint
	omitted int64
}

// NewSampler returns a Sampler for the given number of lines a second.
func NewSampler(clock timer.Service, lines int) *Sampler { return &Sampler{clock: clock, lines: lines} }

// Keep reports whether the line of an identity is written. One of 2^n identities is kept, with n as the rate of the last
// second asks for.
func (s *Sampler) Keep(id string) bool {
	if s == nil {
		return true
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash takes every write
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Boot()
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

// Omitted returns the number of lines that were left out so far.
func (s *Sampler) Omitted() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.omitted
}
