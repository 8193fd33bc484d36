package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Fault is a kind of fault. Begin injects it on something that it draws, and returns what it did and how to end it.
type Fault struct {
	Name   string
	Weight int
	// MaxDuration bounds the time from Begin to the end.
	MaxDuration time.Duration
	Begin       func(r *rand.Rand) (what string, end func())
}

// Step is a fault of a series at its time.
type Step struct {
	At, For time.Duration
	Fault   Fault
	seed    uint64
}

// leastFault is the shortest time that a fault lasts.
const leastFault = 50 * time.Millisecond

// NewSeries draws n faults within a time. Faults come in bunches, so that they overlap.
func NewSeries(seed uint64, faults []Fault, n int, within time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a seeded series
	var drawn []Fault
	for _, f := range faults {
		for range f.Weight {
			drawn = append(drawn, f)
		}
	}
	steps := make([]Step, 0, n)
	at := time.Duration(0)
	for range n {
		// Every second fault comes close behind the one before.
		if r.IntN(2) == 0 {
			at = time.Duration(r.Int64N(int64(within)))
		} else {
			at = min(at+time.Duration(r.Int64N(int64(time.Second))), within)
		}
		f := drawn[r.IntN(len(drawn))]
		steps = append(steps, Step{At: at, For: leastFault + time.Duration(r.Int64N(int64(f.MaxDuration))), Fault: f, seed: r.Uint64()})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// Play injects a series and returns when all its faults have ended. Each line of what happened goes to log.
func Play(ctx context.Context, steps []Step, log func(line string)) {
	began := time.Now()
	var running sync.WaitGroup
	for _, s := range steps {
		if !sleep(ctx, s.At-time.Since(began)) {
			break
		}
		what, end := s.Fault.Begin(rand.New(rand.NewPCG(s.seed, 2))) //nolint:gosec // a seeded series
		log(fmt.Sprintf("%6.2f s %s %s for %s", time.Since(began).Seconds(), s.Fault.Name, what, s.For.Round(time.Millisecond)))
		running.Go(func() {
			sleep(ctx, s.For)
			end()
			log(fmt.Sprintf("%6.2f s %s %s is over", time.Since(began).Seconds(), s.Fault.Name, what))
		})
	}
	running.Wait()
}

// sleep waits and reports whether the context still holds.
func sleep(ctx context.Context, d time.Duration) bool {
	over := time.NewTimer(max(d, 0))
	defer over.Stop()
	select {
	case <-over.C:
		return true
	case <-ctx.Done():
		return false
	}
}
