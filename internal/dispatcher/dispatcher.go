// Package dispatcher leads a request through the entry: limits, fair queue, choice of target, attempts and answer.
package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/admitter"
	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/claimer"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/retrier"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/scheduler"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/worker"
)

// ErrKeyWithdrawn is the cause with which a request's context ends when its key is withdrawn.
var ErrKeyWithdrawn = errors.New("key withdrawn")

// Request is one call as the front end accepted it. It is immutable.
type Request struct {
	ID       identifier.Request
	Identity authenticator.Identity
	Service  configurator.Service
	Call     executor.Call
	// Key is the caller's idempotency key. It counts for calls that may not be repeated.
	Key string
	// Class orders the request in the queue; lower classes go first.
	Class scheduler.Class
	// Rollout marks work for a trainer.
	Rollout bool
	// Expected is the expected engine work, for limits and fairness.
	Expected identifier.Tokens
}

// Settings are the entry's own place and size.
type Settings struct {
	Zone   identifier.Zone
	Region identifier.Region
	// Workers bounds the requests that run at a time; zero means DefaultWorkers.
	Workers int
}

// DefaultWorkers is the number of workers when the settings give none.
const DefaultWorkers = 256

// Dispatcher runs requests. Front ends submit to it; it knows nothing of their encoding.
type Dispatcher struct {
	settings Settings
	clock    timer.Service
	agents   Agents
	config   *configurator.Configurator
	admitter *admitter.Admitter
	router   *router.Router
	budget   *retrier.Budget
	resumes  *retrier.Budget
	pace     *retrier.LatencyTracker
	isolator *isolator.Isolator
	claims   ClaimStore
	shares   container.Table[container.Claimer, claimer.Key, *share]
	views    sync.WaitGroup
	open     activity
	queue    *scheduler.Scheduler[*job]
	pool     *worker.Pool[*job]
	ended    []func(EndedRequest)
	held     func(context.Context)
}

// Option sets a property of a Dispatcher.
type Option func(*Dispatcher)

// WithEndHandler adds a function that is called after each request that was queued.
func WithEndHandler(f func(EndedRequest)) Option {
	return func(d *Dispatcher) { d.ended = append(d.ended, f) }
}

// WithClaims sets where calls with an idempotency key are claimed. Without it such calls are refused.
func WithClaims(c ClaimStore) Option { return func(d *Dispatcher) { d.claims = c } }

// WithIsolator sets the crash evidence that the entry shares with others.
func WithIsolator(i *isolator.Isolator) Option { return func(d *Dispatcher) { d.isolator = i } }

// WithHeldHandler sets a function that tells the other entries about a request that is held back from now on. It is called
// before the caller is told, so that a resubmission finds every entry that answers warned.
func WithHeldHandler(f func(context.Context)) Option { return func(d *Dispatcher) { d.held = f } }

// EndedRequest describes a request that has ended.
type EndedRequest struct {
	Request Request
	Result  Result
	// Targets holds the target of each attempt by its number.
	Targets []router.Target
}

// NewDispatcher starts a Dispatcher that reaches targets through agents and chooses them with r.
func NewDispatcher(s Settings, clock timer.Service, agents Agents, config *configurator.Configurator, r *router.Router, opts ...Option) *Dispatcher {
	if s.Workers <= 0 {
		s.Workers = DefaultWorkers
	}
	d := &Dispatcher{
		settings: s,
		clock:    clock,
		agents:   agents,
		config:   config,
		admitter: &admitter.Admitter{},
		router:   r,
		budget:   &retrier.Budget{},
		resumes:  &retrier.Budget{Ratio: retrier.ResumeRatio, Reserve: retrier.ResumeReserve},
		pace:     &retrier.LatencyTracker{},
		isolator: &isolator.Isolator{},
		claims:   noClaims{},
		held:     func(context.Context) {},
		queue:    &scheduler.Scheduler[*job]{},
	}
	for _, o := range opts {
		o(d)
	}
	d.pool = worker.NewPool(s.Workers, d.queue, d.run)
	return d
}

// Close cancels what runs, ends what is queued and waits for the workers.
func (d *Dispatcher) Close() {
	d.open.stop()
	d.pool.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for {
		j, ok := d.queue.Next(ctx)
		if !ok {
			break
		}
		d.finish(j, failure(NotRun, ReasonStopping))
	}
	d.views.Wait()
}

// Drain refuses new requests and waits until the accepted ones have ended or ctx ends.
func (d *Dispatcher) Drain(ctx context.Context) {
	select {
	case <-d.open.stop():
	case <-ctx.Done():
	}
}

// Waiting returns the number of queued requests.
func (d *Dispatcher) Waiting() int { return d.queue.Len() }

// Submit queues a request. ctx ends when the caller goes away or its key is withdrawn. A refusal is final: the request
// did not run and will not.
func (d *Dispatcher) Submit(ctx context.Context, r Request) (*Answer, Refusal) {
	r.Call = r.Call.WithIdentity(r.Service.Once)
	if r.key() != "" {
		// A call that is held back may have run under this key, so that its claim is looked at first.
		return d.submitClaimed(ctx, r)
	}
	if wait, held := d.isolator.Held(r.Call.Fingerprint, d.clock.Now()); held {
		return nil, Refusal{Reason: ReasonCrashesTargets, RetryAfter: wait}
	}
	j := &job{ctx: ctx, caller: ctx, request: r, answer: newAnswer()}
	if refusal := d.enqueue(j); refusal.Refused() {
		return nil, refusal
	}
	return j.answer, Refusal{}
}

// enqueue admits and queues a job.
func (d *Dispatcher) enqueue(j *job) Refusal {
	if !d.open.begin() {
		return Refusal{Reason: ReasonStopping, RetryAfter: queueRetry}
	}
	r := j.request
	team, _ := d.config.Current().Team(r.Identity.Team)
	j.ask = admitter.Request{Team: team, Service: r.Service, Tokens: r.Expected}
	if a := d.admitter.Admit(j.ask, d.clock.Boot()); a.Refused {
		d.open.end()
		return Refusal{Reason: a.Reason, RetryAfter: a.RetryAfter}
	}
	timeout := r.Service.Timeout
	if timeout <= 0 {
		timeout = configurator.DefaultTimeout
	}
	j.ctx, j.cancel = timer.WithTimeout(j.ctx, d.clock, timeout)
	j.queued = d.clock.Boot()
	j.latest = j.queued + timeout
	j.prefix = router.NewPrefix(r.Call.Prompt)
	_, j.waiting = tracer.Start(j.ctx, "queue")
	j.item = scheduler.Item[*job]{
		Class:        r.Class,
		Rollout:      r.Rollout,
		RolloutShare: d.config.Current().Rule().Share(),
		Team:         r.Identity.Team,
		Caller:       r.Identity.Caller,
		Weight:       team.Weight,
		Cost:         r.Expected,
		Deadline:     j.latest,
		Work:         j,
	}
	if v := d.queue.Offer(j.item, j.queued); v.Refused {
		d.admitter.Release(j.ask, 0)
		j.waiting.End()
		j.cancel()
		d.open.end()
		return Refusal{Reason: v.Reason, RetryAfter: max(v.RetryAfter, queueRetry)}
	}
	return Refusal{}
}

// queueRetry is the least retry hint when the queue refuses or the entry stops.
const queueRetry = time.Second
