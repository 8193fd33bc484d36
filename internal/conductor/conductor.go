// Package conductor leads the batch jobs that one process owns: it takes over jobs, runs their items on targets, sends
// the texts to scoring services, writes the results to the store and serves them to readers.
package conductor

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/estimator"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/reserver"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/worker"
)

// Peers calls the other processes that lead jobs.
type Peers interface {
	// Results reads results from the process at an address. The second result is false if that process does not lead
	// the job or the call failed.
	Results(ctx context.Context, address string, id identifier.Job, after int, wait time.Duration) ([]batcher.Result, bool)
	// Submit forwards a job to the process at an address. The second result is false if the call failed, so that the
	// outcome of the submission is unknown.
	Submit(ctx context.Context, address string, s batcher.Spec) (Acceptance, bool)
	// Find returns the record of a job as the process at an address knows it. The second result is false if that process
	// does not know the job or the call failed.
	Find(ctx context.Context, address string, id identifier.Job) (recorder.Record, bool)
	// Notify tells the process at an address that the record of a job has changed, and reports whether that process has
	// read and applied it.
	Notify(ctx context.Context, address string, id identifier.Job) bool
}

// Dependencies holds the collaborators and settings of a Conductor.
type Dependencies struct {
	Self      recorder.Owner
	Recorder  *recorder.Recorder
	Navigator *navigator.Navigator
	Registrar *registrar.Registrar
	Router    *router.Router
	Forwarder *forwarder.Forwarder
	Caller    forwarder.TargetClient
	Opener    forwarder.Opener
	Peers     Peers
	Clock     timer.Service
	Log       *logger.Logger
	Zone      identifier.Zone
	Region    identifier.Region
	// Retention is how long results stay readable after their job was submitted.
	Retention time.Duration
	// StoreReached reports whether the key-value service was reached a moment ago. While it is false, callers are served
	// through other processes or refused at once. It may be nil.
	StoreReached func() bool
	// ObserveAttempt is called after each attempt of an item. Sampler selects which successful attempts and scoring
	// calls are logged. Both may be nil.
	ObserveAttempt func(end string, took time.Duration)
	Sampler        *logger.Sampler
	// Estimator predicts the work of items, and Shape reads what the headers of an item say about its size. Items are placed without regard
	// to their work if one of them is nil.
	Estimator *estimator.Estimator
	Shape     func(header func(name string) string) estimator.Shape
	// BySlack orders items by the time that their jobs have left compared with the time still needed, cuts and moves attempts by measured
	// speeds, and keeps jobs from processes that lead much. Without it the items of the job that was submitted first come first, stalls have
	// fixed limits, and attempts move to any faster target.
	BySlack bool
	// JobMemory bounds the bodies of the large jobs that this process accepts; zero if they are not bounded.
	JobMemory identifier.Bytes
	// Bodies is the memory in which large jobs are read; nil if it is not bounded.
	Bodies *reserver.Reserver
	// Stranded reports whether all targets of a service are in evacuated availability zones. It may be nil.
	Stranded func(identifier.Service) bool
}

// workerCount limits how many items one process runs or scores concurrently.
const workerCount = 320

// Conductor leads the jobs of one process.
//
// Invariants: results are readable only once they are durable; a process stops leading a job when the job's record
// names another owner. Lock rank: container.RankConductor.
type Conductor struct {
	Dependencies
	lock container.Lock[container.Conductor]
	// records caches the records that this process has read. Owner and Ended of jobs with another owner may be out of
	// date.
	records map[identifier.Job]recorder.Record
	members map[identifier.Node]recorder.Registration
	led     map[identifier.Job]*ledJob
	// unconfirmed holds the jobs that were submitted to this process and whose record it has not read yet;
	// unconfirmedCheckedAt is when it last tried to read those records.
	unconfirmed          map[identifier.Job]batcher.Spec
	unconfirmedCheckedAt time.Duration
	// submitting counts the submissions of a job that are being stored. Its record is not looked for meanwhile.
	submitting map[identifier.Job]int
	// unread holds the jobs of which a read failed, and unnotified the owners that were not notified of a change.
	unread     retries[struct{}]
	unnotified retries[recorder.Owner]
	// loading holds the jobs that this process reads in order to lead them.
	loading map[identifier.Job]bool
	// membershipCurrent is false while members may be out of date; membershipStateSince is when members was last
	// replaced or membershipCurrent last changed.
	membershipCurrent    bool
	membershipStateSince time.Duration
	// membershipChangedAt is when members last changed, sweptAt when this process last swept all jobs, and nextSweepAt
	// when it sweeps next even if no member changes.
	membershipChangedAt, sweptAt, nextSweepAt time.Duration
	// closing is set by Close; no further job is led from then on.
	closing bool
	outage  outage
	loads   loads
	order   order

	queue      *worker.Queue[assignment]
	pool       *worker.Pool[assignment]
	wake       chan struct{}
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// NewConductor returns a Conductor that leads no jobs yet.
func NewConductor(deps Dependencies) *Conductor {
	return &Conductor{
		Dependencies: deps, records: make(map[identifier.Job]recorder.Record), members: make(map[identifier.Node]recorder.Registration),
		led: make(map[identifier.Job]*ledJob), loading: make(map[identifier.Job]bool),
		unconfirmed: make(map[identifier.Job]batcher.Spec), submitting: make(map[identifier.Job]int),
		queue: worker.NewQueue[assignment](workerCount), wake: make(chan struct{}, 1),
	}
}

// Start starts the workers, the assignment of items and the periodic maintenance.
func (c *Conductor) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.pool = worker.NewPool(workerCount, worker.Source[assignment](c.queue), c.runItem)
	c.background.Go(func() { c.assignItems(ctx) })
	c.background.Go(func() { c.maintain(ctx) })
}

// Close hands over the led jobs to other processes and stops all work.
func (c *Conductor) Close(ctx context.Context) {
	c.lock.Lock()
	c.closing = true
	c.lock.Unlock()
	for _, l := range c.ledJobs() {
		if !c.handOver(ctx, l) {
			c.leaveWaiting(ctx, l)
		}
		// Readers that still ask this process must get the results of the next owner, not the last ones from here.
		c.stopLeading(l, "the process is stopping")
	}
	c.finishNotices(ctx)
	if c.cancel != nil {
		c.cancel()
		c.pool.Close()
		c.background.Wait()
	}
}

// ledJobs returns the jobs that this process leads, ordered by submission time, oldest first.
func (c *Conductor) ledJobs() []*ledJob {
	c.lock.Lock()
	defer c.lock.Unlock()
	all := make([]*ledJob, 0, len(c.led))
	for _, l := range c.led {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b *ledJob) int { return a.submitted.Compare(b.submitted) })
	return all
}

// JobCount returns the number of jobs that this process leads, including finished ones that it keeps for readers.
func (c *Conductor) JobCount() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return len(c.led)
}

// TriggerAssignment starts the search for a due item and a free target at once.
func (c *Conductor) TriggerAssignment() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
