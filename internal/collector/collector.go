package collector

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/scheduler"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/worker"
)

const (
	// DefaultWorkers is the number of rollouts that one entry runs at the same time.
	DefaultWorkers = 1024
	// maxRuns bounds the runs that one entry keeps in memory. It is eight times the number of trainers on the design page.
	maxRuns = 64
	// ownerCacheAge is how long a cached owner record is used before it is read again.
	ownerCacheAge = time.Second
	// claimRetryDelay is the wait after a failed claim of a run before its duty is given back.
	claimRetryDelay = 500 * time.Millisecond
	// tickPeriod is the interval between checks for stragglers and weight changes.
	tickPeriod = 100 * time.Millisecond
)

// Campaigner campaigns for duties and returns the terms that this entry holds.
type Campaigner interface {
	Campaign(ctx context.Context, d identifier.Duty, lead func(ctx context.Context, t leaser.Term))
	Term(d identifier.Duty) (leaser.Term, bool)
}

// Submitter runs requests on the targets.
type Submitter interface {
	Submit(ctx context.Context, r dispatcher.Request) (*dispatcher.Answer, dispatcher.Refusal)
}

// Peers forwards calls to the entry that owns a run. Forward returns false when no answer arrived.
type Peers interface {
	Forward(ctx context.Context, address string, c Call) (Reply, bool)
}

// Fleet provides the model services and the weight versions of their engines.
type Fleet interface {
	// Request returns the dispatcher's request for a task of a run; false when the run's model service does not exist.
	Request(s Spec, t Task) (dispatcher.Request, bool)
	// Regions returns where the requests of a run may be served by the present configuration; false while there is none.
	Regions(s Spec) (confiner.Regions, bool)
	// Serves reports whether a target of a service is in one of the regions.
	Serves(s identifier.Service, r confiner.Regions) bool
	// Versions returns the oldest and the newest weight version among the serving engines of a service, and the
	// version that the service is due to change to. A version that is not known is zero.
	Versions(s identifier.Service) (oldest, newest, due identifier.Version)
}

// Settings hold the entry's address and its number of workers.
type Settings struct {
	// Address is the address that other entries forward calls to.
	Address string
	// Region is the region of the entry.
	Region identifier.Region
	// Workers bounds the rollouts that run at the same time; zero means DefaultWorkers.
	Workers int
}

// Collector serves the training runs at one entry: it owns some of them and forwards calls for the others to their
// owners.
type Collector struct {
	settings   Settings
	store      Store
	codec      Codec
	clock      timer.Service
	campaigner Campaigner
	submitter  Submitter
	peers      Peers
	fleet      Fleet
	ctx        context.Context //nolint:containedctx // the lifetime of the collector, which Close ends
	cancel     context.CancelFunc
	campaigns  sync.WaitGroup
	runs       container.Table[container.Collector, RunID, *knownRun]
	cancels    container.Table[container.Collector, attemptKey, context.CancelFunc]
	queue      *scheduler.Scheduler[workItem]
	pool       *worker.Pool[workItem]
}

// knownRun is a run that this entry campaigns for because it opened the run or received a call for it.
type knownRun struct {
	spec   Spec
	owner  atomic.Pointer[Owner]
	cached atomic.Pointer[cachedOwner]
}

// cachedOwner is the owner record of a run with the time of the read.
type cachedOwner struct {
	record OwnerRecord
	readAt time.Duration
}

// attemptKey identifies an attempt across runs and owner terms.
type attemptKey struct {
	run     RunID
	fence   identifier.Fence
	attempt AttemptID
}

// NewCollector starts a Collector. Close stops it.
func NewCollector(
	s Settings, store Store, codec Codec, clock timer.Service, campaigner Campaigner, submitter Submitter, peers Peers, fleet Fleet,
) *Collector {
	if s.Workers <= 0 {
		s.Workers = DefaultWorkers
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Collector{
		settings: s, store: store, codec: codec, clock: clock, campaigner: campaigner, submitter: submitter, peers: peers,
		fleet: fleet, ctx: ctx, cancel: cancel,
		queue: &scheduler.Scheduler[workItem]{Capacity: maxRuns * s.Workers},
	}
	c.pool = worker.NewPool(s.Workers, c.queue, c.runItem)
	return c
}

// Close ends the campaigns, gives up the owned runs, cancels their rollouts and waits until all of them have ended.
func (c *Collector) Close() {
	c.cancel()
	c.pool.Close()
	c.campaigns.Wait()
}

// Open creates a run. It succeeds as well if the run exists with an equal spec.
func (c *Collector) Open(ctx context.Context, s Spec) Receipt {
	if s.Problem() != "" {
		return Receipt{Outcome: Refused, Reason: ReasonField}
	}
	regions, _ := c.fleet.Regions(s)
	s = s.WithScope(confiner.NewScope(c.settings.Region, regions))
	stored, out := CreateSpec(ctx, c.store, c.codec, s)
	switch {
	case out != storer.Applied:
		return Receipt{Outcome: OutcomeUnknown}
	case stored.Team != s.Team:
		return Receipt{Outcome: Refused, Reason: ReasonTeam}
	case stored.WithScope(s.Scope) != s:
		return Receipt{Outcome: Refused, Reason: ReasonSpec}
	}
	if _, ok := c.addRun(stored); !ok {
		return Receipt{Outcome: Moved}
	}
	return Receipt{Outcome: Done}
}

// Handle answers a trainer's call if this entry owns the run, and forwards it to the owner otherwise.
func (c *Collector) Handle(ctx context.Context, call Call) Reply {
	k, reply, ok := c.findRun(ctx, call.Run)
	if !ok {
		return reply
	}
	if k.spec.Team != call.Team {
		return refusedReply(ReasonTeam)
	}
	if o := k.owner.Load(); o != nil && o.Valid() {
		return c.serve(ctx, o, call)
	}
	if call.Forwarded {
		return movedReply()
	}
	owner := c.ownerRecord(ctx, k)
	if owner.Address == "" || owner.Address == c.settings.Address {
		return movedReply()
	}
	if call.Kind == KindSubmit && !c.mayHold(k.spec, owner.Region) {
		return movedReply()
	}
	reply, ok = c.peers.Forward(ctx, owner.Address, call.WithForwarded())
	if !ok {
		k.cached.Store(nil)
		return movedReply()
	}
	return reply
}

// serve answers a call to a run that this entry owns.
func (c *Collector) serve(ctx context.Context, o *Owner, call Call) Reply {
	var r Reply
	switch call.Kind {
	case KindSubmit:
		if !c.mayHold(o.run.Spec(), c.settings.Region) {
			return movedReply()
		}
		if refusal, refused := c.refuseUnserved(o, call.Submission); refused {
			return refusal
		}
		r.Receipt = o.Submit(ctx, call.Submission)
	case KindPull:
		r.Delivery = o.Pull(ctx, call.Pull)
	case KindAcknowledge:
		r.Receipt = o.Acknowledge(ctx, call.Pull.Statement)
	default:
		r.Receipt, r.Status = o.receipt(Done, ""), o.run.Status()
	}
	return r
}

// findRun returns a run from memory or, if it is not there, from the store. The reply is for the trainer when the
// result is false.
func (c *Collector) findRun(ctx context.Context, id RunID) (*knownRun, Reply, bool) {
	if k, ok := c.runs.Get(id); ok {
		return k, Reply{}, true
	}
	if !runName.MatchString(string(id)) {
		return nil, refusedReply(ReasonNoRun), false
	}
	spec, found, out := FindSpec(ctx, c.store, c.codec, id)
	if out != storer.Applied {
		return nil, movedReply(), false
	}
	if !found {
		return nil, refusedReply(ReasonNoRun), false
	}
	k, ok := c.addRun(spec)
	return k, movedReply(), ok
}

// addRun starts to campaign for a run. It returns false when the entry has maxRuns runs already.
func (c *Collector) addRun(s Spec) (*knownRun, bool) {
	if k, ok := c.runs.Get(s.Run); ok {
		return k, true
	}
	if c.runs.Len() >= maxRuns {
		return nil, false
	}
	k, added := c.runs.PutAbsent(s.Run, &knownRun{spec: s})
	if added {
		c.campaigns.Go(func() {
			c.campaigner.Campaign(c.ctx, s.Run.Duty(), func(ctx context.Context, t leaser.Term) { c.lead(ctx, k, t) })
		})
	}
	return k, true
}

// ownerRecord returns the record of the run's owner, read at most ownerCacheAge ago. If the store does not answer, it
// returns the last record that was read.
func (c *Collector) ownerRecord(ctx context.Context, k *knownRun) OwnerRecord {
	now := c.clock.Monotonic()
	if cached := k.cached.Load(); cached != nil && now-cached.readAt < ownerCacheAge {
		return cached.record
	}
	record, out := FindOwner(ctx, c.store, k.spec.Run)
	if out != storer.Applied {
		if cached := k.cached.Load(); cached != nil {
			return cached.record
		}
		return OwnerRecord{}
	}
	k.cached.Store(&cachedOwner{record: record, readAt: now})
	return record
}

// Statuses returns the state of the runs that this entry owns.
func (c *Collector) Statuses() []Status {
	var all []Status
	for _, k := range c.runs.Values() {
		if o := k.owner.Load(); o != nil {
			all = append(all, o.run.Status())
		}
	}
	return all
}
