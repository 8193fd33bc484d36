// Package dispatcher leads a request through the entry: limits, fair queue, choice of target, attempts and answer.
package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/mimosalb/mimosalb/internal/admitter"
	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/retrier"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/scheduler"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/worker"
)

// ErrWithdrawn is the cause with which a request's context ends when its key is withdrawn.
var ErrWithdrawn = errors.New("key withdrawn")

// Request is one call as the front end accepted it. It is immutable.
type Request struct {
	ID       identifier.Request
	Identity authenticator.Identity
	Service  configurator.Service
	Call     executor.Call
	// Class orders the request in the queue; lower classes go first.
	Class int
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
	queue    *scheduler.Scheduler[*job]
	pool     *worker.Pool[*job]
	ended    []func(Ended)
}

// Option sets a property of a Dispatcher.
type Option func(*Dispatcher)

// WithEnded adds a function that is called after each request that was queued.
func WithEnded(f func(Ended)) Option {
	return func(d *Dispatcher) { d.ended = append(d.ended, f) }
}

// Ended describes a request that has ended.
type Ended struct {
	Request Request
	Result  Result
	// Tried holds the target of each attempt by its number.
	Tried []router.Target
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
		queue:    &scheduler.Scheduler[*job]{},
	}
	for _, o := range opts {
		o(d)
	}
	d.pool = worker.NewPool(s.Workers, d.queue, d.run)
	return d
}

// Close cancels what runs and waits for the workers.
func (d *Dispatcher) Close() { d.pool.Close() }

// Waiting returns the number of queued requests.
func (d *Dispatcher) Waiting() int { return d.queue.Len() }

// Submit queues a request. ctx ends when the caller goes away or its key is withdrawn. A refusal is final: the request
// did not run and will not.
func (d *Dispatcher) Submit(ctx context.Context, r Request) (*Answer, Refusal) {
	team, _ := d.config.Current().Team(r.Identity.Team)
	ask := admitter.Ask{Team: team, Service: r.Service, Tokens: r.Expected}
	if a := d.admitter.Admit(ask, d.clock.Boot()); a.Refused {
		return nil, Refusal{Reason: a.Reason, RetryAfter: a.RetryAfter}
	}
	timeout := r.Service.Timeout
	if timeout <= 0 {
		timeout = configurator.DefaultTimeout
	}
	ctx, cancel := timer.WithTimeout(ctx, d.clock, timeout)
	j := &job{
		ctx:     ctx,
		cancel:  cancel,
		request: r,
		ask:     ask,
		answer:  newAnswer(),
		latest:  d.clock.Boot() + timeout,
	}
	item := scheduler.Item[*job]{
		Team:   r.Identity.Team,
		Weight: team.Weight,
		Cost:   r.Expected,
		Class:  r.Class,
		Work:   j,
	}
	if !d.queue.Offer(item) {
		d.admitter.Release(ask, 0)
		cancel()
		return nil, Refusal{Reason: ReasonQueueFull, RetryAfter: queueRetry}
	}
	return j.answer, Refusal{}
}

// queueRetry is the retry hint when the queue is full.
const queueRetry = time.Second
