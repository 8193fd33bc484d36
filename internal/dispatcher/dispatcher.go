// Package dispatcher runs a request through the stages of an entry: limits, fair queue, choice of target, attempts and
// answer.
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
	"github.com/mimosalb/mimosalb/internal/confiner"
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

// Request is one call that a front end accepted. It is immutable.
type Request struct {
	ID       identifier.Request
	Identity authenticator.Identity
	Service  configurator.Service
	Call     executor.Call
	// Key is the caller's idempotency key. It is used only for calls that may not be repeated.
	Key string
	// Regions are those in which the request may be served by the configuration at its acceptance. Submit adds those that the configuration
	// of the submission allows.
	Regions confiner.Regions
	// Class orders the request in the queue; lower classes go first.
	Class scheduler.Class
	// Rollout marks work for a trainer.
	Rollout bool
	// Expected is the expected engine work, for limits and fairness.
	Expected identifier.Tokens
}

// Settings are the location of the entry and its number of workers.
type Settings struct {
	Zone   identifier.Zone
	Region identifier.Region
	// Workers bounds the requests that run concurrently; zero means DefaultWorkers.
	Workers int
}

// DefaultWorkers is the number of workers when the settings give none.
const DefaultWorkers = 256

// Dispatcher runs the requests that front ends submit. It does not depend on the encoding of their messages.
type Dispatcher struct {
	settings     Settings
	clock        timer.Service
	agents       Agents
	config       *configurator.Configurator
	admitter     *admitter.Admitter
	router       *router.Router
	retryBudget  *retrier.Budget
	resumeBudget *retrier.Budget
	latencies    *retrier.LatencyTracker
	isolator     *isolator.Isolator
	claims       ClaimStore
	sharedCalls  container.Table[container.Claimer, claimer.Key, *sharedCall]
	copyTasks    sync.WaitGroup
	openRequests requestCounter
	queue        *scheduler.Scheduler[*job]
	pool         *worker.Pool[*job]
	endHandlers  []func(EndedRequest)
	// evidenceHandler sends the evidence of this entry to the other entries.
	evidenceHandler func(context.Context)
}

// Option sets a property of a Dispatcher.
type Option func(*Dispatcher)

// WithEndHandler adds a function that is called at the end of each request that was queued.
func WithEndHandler(f func(EndedRequest)) Option {
	return func(d *Dispatcher) { d.endHandlers = append(d.endHandlers, f) }
}

// WithClaims sets the store for the claims of calls with an idempotency key. Without it such calls are refused.
func WithClaims(c ClaimStore) Option { return func(d *Dispatcher) { d.claims = c } }

// WithIsolator sets the crash evidence that the entry shares with others.
func WithIsolator(i *isolator.Isolator) Option { return func(d *Dispatcher) { d.isolator = i } }

// WithEvidenceHandler sets a function that sends the evidence against requests to the other entries. It is called before the
// caller of a request that a crash ended or that is held back gets its answer, so that every entry knows of the crash when
// the caller submits the request again.
func WithEvidenceHandler(f func(context.Context)) Option {
	return func(d *Dispatcher) { d.evidenceHandler = f }
}

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
		settings:        s,
		clock:           clock,
		agents:          agents,
		config:          config,
		admitter:        &admitter.Admitter{},
		router:          r,
		retryBudget:     &retrier.Budget{},
		resumeBudget:    &retrier.Budget{Ratio: retrier.ResumeRatio, Reserve: retrier.ResumeReserve},
		latencies:       &retrier.LatencyTracker{},
		isolator:        &isolator.Isolator{},
		claims:          noClaimStore{},
		evidenceHandler: func(context.Context) {},
		queue:           &scheduler.Scheduler[*job]{},
	}
	for _, o := range opts {
		o(d)
	}
	d.pool = worker.NewPool(s.Workers, d.queue, d.run)
	return d
}

// Close cancels the running requests, ends the queued ones and waits for the workers.
func (d *Dispatcher) Close() {
	d.openRequests.stop()
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
	d.copyTasks.Wait()
}

// Drain refuses new requests and waits until the accepted ones have ended or ctx ends.
func (d *Dispatcher) Drain(ctx context.Context) {
	select {
	case <-d.openRequests.stop():
	case <-ctx.Done():
	}
}

// Waiting returns the number of queued requests.
func (d *Dispatcher) Waiting() int { return d.queue.Len() }

// Submit queues a request. ctx ends when the caller goes away or its key is withdrawn. A refusal is final: the request
// did not run and will not.
func (d *Dispatcher) Submit(ctx context.Context, r Request) (*Answer, Refusal) {
	r.Call = r.Call.WithFingerprint(r.Service.Once)
	if r.Rollout {
		// A rollout is owed whatever became of the targets that ran it.
		r.Call = r.Call.WithoutFingerprint()
	}
	r.Regions = d.scope(r).Regions
	if r.claimKey() != "" {
		// A call that is held back may have run under this key before, so its claim is checked first.
		return d.submitClaimed(ctx, r)
	}
	if wait, held := d.isolator.HeldBack(r.Call.Fingerprint, d.clock.Now()); held {
		return nil, Refusal{Reason: ReasonCrashesTargets, RetryAfter: wait}
	}
	if refusal := d.refuseUnserved(r); refusal.Refused() {
		return nil, refusal
	}
	j := &job{ctx: ctx, caller: ctx, request: r, answer: newAnswer()}
	if refusal := d.enqueue(j); refusal.Refused() {
		return nil, refusal
	}
	return j.answer, Refusal{}
}

// enqueue checks the limits of a job and queues it.
func (d *Dispatcher) enqueue(j *job) Refusal {
	if !d.openRequests.begin() {
		return Refusal{Reason: ReasonStopping, RetryAfter: queueRetryAfter}
	}
	r := j.request
	team, _ := d.config.Current().Team(r.Identity.Team)
	j.admission = admitter.Request{Team: team, Service: r.Service, Tokens: r.Expected}
	if decision := d.admitter.Admit(j.admission, d.clock.Monotonic()); decision.Refused {
		d.openRequests.end()
		return Refusal{Reason: decision.Reason, RetryAfter: decision.RetryAfter}
	}
	timeout := r.Service.Timeout
	if timeout <= 0 {
		timeout = configurator.DefaultTimeout
	}
	j.ctx, j.cancel = timer.WithTimeout(j.ctx, d.clock, timeout)
	j.queuedAt = d.clock.Monotonic()
	j.deadline = j.queuedAt + timeout
	j.prefix = router.NewPrefix(r.Call.Prompt)
	_, j.queueSpan = tracer.Start(j.ctx, "queue")
	j.item = scheduler.Item[*job]{
		Class:        r.Class,
		Rollout:      r.Rollout,
		RolloutShare: d.config.Current().Rule().Share(),
		Team:         r.Identity.Team,
		Caller:       r.Identity.Caller,
		Weight:       team.Weight,
		Cost:         r.Expected,
		Deadline:     j.deadline,
		Work:         j,
	}
	if decision := d.queue.Offer(j.item, j.queuedAt); decision.Refused {
		d.admitter.Release(j.admission, 0)
		j.queueSpan.End()
		j.cancel()
		d.openRequests.end()
		return Refusal{Reason: decision.Reason, RetryAfter: max(decision.RetryAfter, queueRetryAfter)}
	}
	return Refusal{}
}

// queueRetryAfter is the smallest retry hint when the queue refuses a request or the entry stops.
const queueRetryAfter = time.Second
