package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Fault is a kind of fault. Weight is its share among the kinds that NewSeries chooses from. Begin injects the fault
// at a place that it chooses with r, and returns a description and a function that ends the fault.
type Fault struct {
	Name   string
	Weight int
	// MaxDuration bounds the time from Begin to the end, on top of minFaultDuration.
	MaxDuration time.Duration
	Begin       func(r *rand.Rand) (what string, end func())
}

// ScheduledFault is one fault of a series: it begins at StartsAt, counted from the start of the series, and lasts
// for Duration.
type ScheduledFault struct {
	StartsAt, Duration time.Duration
	Fault              Fault
	seed               uint64
}

// minFaultDuration is the shortest time that a fault lasts.
const minFaultDuration = 50 * time.Millisecond

// NewSeries chooses n faults that begin within the given time. Their times are clustered, so that faults overlap.
func NewSeries(seed uint64, faults []Fault, n int, within time.Duration) []ScheduledFault {
	r := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a seeded series
	var weighted []Fault
	for _, f := range faults {
		for range f.Weight {
			weighted = append(weighted, f)
		}
	}
	series := make([]ScheduledFault, 0, n)
	at := time.Duration(0)
	for range n {
		// Half of the faults on average follow the previous one within a second.
		if r.IntN(2) == 0 {
			at = time.Duration(r.Int64N(int64(within)))
		} else {
			at = min(at+time.Duration(r.Int64N(int64(time.Second))), within)
		}
		f := weighted[r.IntN(len(weighted))]
		series = append(series, ScheduledFault{
			StartsAt: at, Duration: minFaultDuration + time.Duration(r.Int64N(int64(f.MaxDuration))), Fault: f, seed: r.Uint64(),
		})
	}
	slices.SortStableFunc(series, func(a, b ScheduledFault) int { return int(a.StartsAt - b.StartsAt) })
	return series
}

// RunSeries injects the faults of a series and returns when all of them have ended. It calls log when a fault begins and
// when it ends.
func RunSeries(ctx context.Context, series []ScheduledFault, log func(line string)) {
	started := time.Now()
	var running sync.WaitGroup
	for _, s := range series {
		if !sleep(ctx, s.StartsAt-time.Since(started)) {
			break
		}
		description, end := s.Fault.Begin(rand.New(rand.NewPCG(s.seed, 2))) //nolint:gosec // a seeded series
		log(fmt.Sprintf("%6.2f s %s %s for %s", time.Since(started).Seconds(), s.Fault.Name, description, s.Duration.Round(time.Millisecond)))
		running.Go(func() {
			sleep(ctx, s.Duration)
			end()
			log(fmt.Sprintf("%6.2f s %s %s has ended", time.Since(started).Seconds(), s.Fault.Name, description))
		})
	}
	running.Wait()
}

// sleep waits for d and reports whether it passed before the context was done.
func sleep(ctx context.Context, d time.Duration) bool {
	timeout := time.NewTimer(max(d, 0))
	defer timeout.Stop()
	select {
	case <-timeout.C:
		return true
	case <-ctx.Done():
		return false
	}
}
