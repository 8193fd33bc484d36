package collector

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

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
	// DefaultWorkers is the number of rollouts that one entry runs at a time.
	DefaultWorkers = 1024
	// maxRuns bounds the runs that one entry knows; eight times the trainers that the design page names.
	maxRuns = 64
	// placeAge is how long the place of a run's owner is believed without reading it again.
	placeAge = time.Second
	// claimPause is the wait before a duty whose claim failed is given back.
	claimPause = 500 * time.Millisecond
	// tickPeriod is the time between two looks for stragglers and weight changes.
	tickPeriod = 100 * time.Millisecond
)

// Campaigner campaigns for duties.
type Campaigner interface {
	Campaign(ctx context.Context, d identifier.Duty, lead func(ctx context.Context, t leaser.Term))
	Term(d identifier.Duty) (leaser.Term, bool)
}

// Submitter runs requests on the targets.
type Submitter interface {
	Submit(ctx context.Context, r dispatcher.Request) (*dispatcher.Answer, dispatcher.Refusal)
}

// Peers passes calls to the owner of a run at another entry. A false second result means that no answer came.
type Peers interface {
	Forward(ctx context.Context, address string, c Call) (Reply, bool)
}

// Fleet knows the engines.
type Fleet interface {
	// Request returns the request of a rollout of a service; false when there is no such model service.
	Request(s Spec, t Task) (dispatcher.Request, bool)
	// Versions returns the oldest and the newest weight version among the serving engines of a service, and the one
	// that is on its way; zero when not known.
	Versions(s identifier.Service) (oldest, newest, due identifier.Version)
}

// Settings are the entry's own place and size.
type Settings struct {
	// Address is where other entries forward calls to.
	Address string
	// Workers bounds the rollouts that run at a time; zero means DefaultWorkers.
	Workers int
}

// Collector serves the training runs at one entry: it owns some of them and passes calls to the owners of the others.
type Collector struct {
	settings Settings
	store    Store
	form     Codec
	clock    timer.Service
	duties   Campaigner
	submit   Submitter
	peers    Peers
	fleet    Fleet
	ctx      context.Context //nolint:containedctx // the life of the collector, which Close ends
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	known    container.Table[container.Collector, RunID, *known]
	cancels  container.Table[container.Collector, running, context.CancelFunc]
	queue    *scheduler.Scheduler[ticket]
	pool     *worker.Pool[ticket]
}

// known is a run that this entry has been asked about.
type known struct {
	spec  Spec
	owner atomic.Pointer[Owner]
	place atomic.Pointer[seen]
}

// seen is the place of a run's owner as it was last read.
type seen struct {
	place OwnerRecord
	at    time.Duration
}

// running identifies a rollout among those of all runs and terms.
type running struct {
	run     RunID
	fence   identifier.Fence
	rollout Rollout
}

// NewCollector starts a Collector. Close ends it.
func NewCollector(s Settings, st Store, f Codec, clock timer.Service, d Campaigner, sub Submitter, p Peers, fl Fleet) *Collector {
	if s.Workers <= 0 {
		s.Workers = DefaultWorkers
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Collector{
		settings: s, store: st, form: f, clock: clock, duties: d, submit: sub, peers: p, fleet: fl, ctx: ctx, cancel: cancel,
		queue: &scheduler.Scheduler[ticket]{Capacity: maxRuns * s.Workers},
	}
	c.pool = worker.NewPool(s.Workers, c.queue, c.work)
	return c
}

// Close gives up the owned runs, cancels their rollouts and waits for both.
func (c *Collector) Close() {
	c.cancel()
	c.pool.Close()
	c.tasks.Wait()
}

// Open stores the spec of a run, or finds the run of the same spec.
func (c *Collector) Open(ctx context.Context, s Spec) Receipt {
	if s.Problem() != "" {
		return Receipt{Outcome: Refused, Reason: ReasonField}
	}
	stored, out := CreateSpec(ctx, c.store, c.form, s)
	switch {
	case out != storer.Applied:
		return Receipt{Outcome: OutcomeUnknown}
	case stored.Team != s.Team:
		return Receipt{Outcome: Refused, Reason: ReasonTeam}
	case stored != s:
		return Receipt{Outcome: Refused, Reason: ReasonSpec}
	}
	if _, ok := c.learn(stored); !ok {
		return Receipt{Outcome: Moved}
	}
	return Receipt{Outcome: Done}
}

// Handle answers a trainer's call if this entry owns the run, and passes it to the owner otherwise.
func (c *Collector) Handle(ctx context.Context, call Call) Reply {
	k, reply, ok := c.find(ctx, call.Run)
	if !ok {
		return reply
	}
	if k.spec.Team != call.Team {
		return refuse(ReasonTeam)
	}
	if o := k.owner.Load(); o != nil && o.Valid() {
		return serve(ctx, o, call)
	}
	if call.Forwarded {
		return moved()
	}
	place := c.place(ctx, k)
	if place.Address == "" || place.Address == c.settings.Address {
		return moved()
	}
	reply, ok = c.peers.Forward(ctx, place.Address, call.WithForwarded())
	if !ok {
		k.place.Store(nil)
		return moved()
	}
	return reply
}

// serve answers a call from the owned run.
func serve(ctx context.Context, o *Owner, call Call) Reply {
	var r Reply
	switch call.Kind {
	case KindSubmit:
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

// find returns a run that the entry knows or the store has.
func (c *Collector) find(ctx context.Context, id RunID) (*known, Reply, bool) {
	if k, ok := c.known.Get(id); ok {
		return k, Reply{}, true
	}
	if !name.MatchString(string(id)) {
		return nil, refuse(ReasonNoRun), false
	}
	spec, found, out := FindSpec(ctx, c.store, c.form, id)
	if out != storer.Applied {
		return nil, moved(), false
	}
	if !found {
		return nil, refuse(ReasonNoRun), false
	}
	k, ok := c.learn(spec)
	return k, moved(), ok
}

// learn begins to campaign for a run. It reports false when the entry knows too many.
func (c *Collector) learn(s Spec) (*known, bool) {
	if k, ok := c.known.Get(s.Run); ok {
		return k, true
	}
	if c.known.Len() >= maxRuns {
		return nil, false
	}
	k, added := c.known.PutAbsent(s.Run, &known{spec: s})
	if added {
		c.tasks.Go(func() {
			c.duties.Campaign(c.ctx, s.Run.Duty(), func(ctx context.Context, t leaser.Term) { c.lead(ctx, k, t) })
		})
	}
	return k, true
}

// place returns where the run's owner takes calls, by a read that is at most placeAge old.
func (c *Collector) place(ctx context.Context, k *known) OwnerRecord {
	now := c.clock.Boot()
	if s := k.place.Load(); s != nil && now-s.at < placeAge {
		return s.place
	}
	p, out := FindOwner(ctx, c.store, k.spec.Run)
	if out != storer.Applied {
		if s := k.place.Load(); s != nil {
			return s.place
		}
		return OwnerRecord{}
	}
	k.place.Store(&seen{place: p, at: now})
	return p
}

// Statuses returns the state of the runs that this entry owns.
func (c *Collector) Statuses() []Status {
	var all []Status
	for _, k := range c.known.Values() {
		if o := k.owner.Load(); o != nil {
			all = append(all, o.run.Status())
		}
	}
	return all
}
