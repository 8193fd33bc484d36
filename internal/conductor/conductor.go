// Package conductor leads the batch jobs of one process: it takes jobs over, runs their items on targets, has them
// scored, makes the results durable and answers readers.
package conductor

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/worker"
)

// Peers reaches the other processes that lead jobs.
type Peers interface {
	// Results asks the process at an address for readable results. A false second result means that it does not lead
	// the job or could not be asked.
	Results(ctx context.Context, address string, id identifier.Job, after int, wait time.Duration) ([]batcher.Result, bool)
	// Submit lets the process at an address accept a job. A false second result means that it is not known what became of
	// the submission.
	Submit(ctx context.Context, address string, s batcher.Spec) (Acceptance, bool)
	// Notify tells the process at an address that the record of a job has changed, and reports whether it was told.
	Notify(ctx context.Context, address string, id identifier.Job) bool
}

// Dependencies are what a Conductor works with.
type Dependencies struct {
	Self      recorder.Owner
	Recorder  *recorder.Recorder
	Navigator *navigator.Navigator
	Registrar *registrar.Registrar
	Router    *router.Router
	Forwarder *forwarder.Forwarder
	Caller    forwarder.Caller
	Opener    forwarder.Opener
	Peers     Peers
	Clock     timer.Service
	Log       *logger.Logger
	Zone      identifier.Zone
	Region    identifier.Region
	// Retention is how long results stay readable after the submission of their job.
	Retention time.Duration
	// ObserveAttempt is told of each attempt of an item, and Sampler chooses which ordinary ones are logged; both may be nil.
	ObserveAttempt func(end string, took time.Duration)
	Sampler        *logger.Sampler
}

// workers bounds the items that one process runs or has scored at a time.
const workers = 320

// Conductor leads the jobs of one process.
//
// Invariants: results are shown only once they are durable; a job whose record names another owner is led no more. Lock
// rank: container.RankConductor.
type Conductor struct {
	Dependencies
	lock container.Lock[container.Conductor]
	// records are those that this process has read; those of other owners may be out of date in their owner and end.
	records map[identifier.Job]recorder.Record
	nodes   map[identifier.Node]recorder.Presence
	led     map[identifier.Job]*led
	// fresh holds the jobs that were submitted here and whose record has not been seen yet, and looked is when they were
	// last looked for.
	fresh  map[identifier.Job]batcher.Spec
	looked time.Duration
	// trusted is false while the table of processes may be out of date, and since tells from when it has been as it is.
	trusted bool
	since   time.Duration
	// moved is when a process last came or went, swept when this process last looked through all jobs, and nextSweep
	// when it does so next in any case.
	moved, swept, nextSweep time.Duration
	// closing is set when no further job may be led.
	closing bool

	queue   *worker.Queue[assignment]
	pool    *worker.Pool[assignment]
	wake    chan struct{}
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// NewConductor returns a Conductor that leads nothing yet.
func NewConductor(p Dependencies) *Conductor {
	return &Conductor{
		Dependencies: p, records: make(map[identifier.Job]recorder.Record), nodes: make(map[identifier.Node]recorder.Presence),
		led:   make(map[identifier.Job]*led),
		fresh: make(map[identifier.Job]batcher.Spec), queue: worker.NewQueue[assignment](workers), wake: make(chan struct{}, 1),
	}
}

// Start begins to run items and to take jobs over.
func (c *Conductor) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.pool = worker.NewPool(workers, worker.Source[assignment](c.queue), c.run)
	c.running.Go(func() { c.dispatch(ctx) })
	c.running.Go(func() { c.tend(ctx) })
}

// Close hands the jobs to other processes and stops.
func (c *Conductor) Close(ctx context.Context) {
	c.lock.Lock()
	c.closing = true
	c.lock.Unlock()
	for _, l := range c.leading() {
		c.handOver(ctx, l)
		l.job.Finish()
		l.stop()
	}
	if c.cancel != nil {
		c.cancel()
		c.pool.Close()
		c.running.Wait()
	}
}

// leading returns the jobs that this process leads, the oldest first.
func (c *Conductor) leading() []*led {
	c.lock.Lock()
	defer c.lock.Unlock()
	all := make([]*led, 0, len(c.led))
	for _, l := range c.led {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b *led) int { return a.submitted.Compare(b.submitted) })
	return all
}

// JobCount returns the number of jobs that this process leads or keeps for readers.
func (c *Conductor) JobCount() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return len(c.led)
}

// WakeDispatcher makes the dispatcher look for work again.
func (c *Conductor) WakeDispatcher() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
