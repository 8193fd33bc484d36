package relayer

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// MaxCallBytes bounds one call or answer through another process, and with it what a process buffers for others: large calls take
	// memory only after it was reserved.
	MaxCallBytes identifier.Bytes = 8 << 20
	// smallBytes is the size up to which a call takes no reservation. 32 such calls are 2 MB.
	smallBytes identifier.Bytes = 64 << 10
	// maxExecuting bounds the calls that a process makes for others at a time.
	maxExecuting = 32
	// maxRanges bounds those of them that read ranges, as their answers may be large.
	maxRanges = 2
	// reservationTTL is the time after which a reservation ends whose call has not come.
	reservationTTL = 2 * time.Second
	// maxPatience bounds the time of one call.
	maxPatience = 2 * time.Second
)

// reservation is memory that was reserved for a call.
type reservation struct {
	size  identifier.Bytes
	until time.Duration
	// taken is set while the call is executed.
	taken bool
}

// Executor makes calls for other processes.
//
// Invariants: no call is made while this process does not reach the service itself, and none is passed on further; the sizes of
// reservations sum to at most MaxCallBytes. Lock rank: container.RankStorer.
type Executor struct {
	lock    container.Lock[container.Storer]
	clock   timer.Service
	path    *Path
	service storer.Service
	// store holds the budget and the back-off of the calls.
	store        *storer.Storer
	executing    int
	ranges       int
	reservations map[int64]reservation
	lastTicket   int64
	observe      func(outcome string)
}

// NewExecutor returns an Executor that calls the service within the budget of a Storer. observe is called with the outcome of each call
// and may be nil.
func NewExecutor(service storer.Service, path *Path, store *storer.Storer, clock timer.Service, observe func(string)) *Executor {
	return &Executor{clock: clock, path: path, service: service, store: store, reservations: make(map[int64]reservation), observe: observe}
}

// Reserve reserves memory for a call. The ticket is zero if there is none or this process does not reach the service.
func (e *Executor) Reserve(size identifier.Bytes) (ticket int64) {
	if e.path.Lost() {
		return 0
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	now, held := e.clock.Monotonic(), size
	for ticket, r := range e.reservations {
		if !r.taken && now >= r.until {
			delete(e.reservations, ticket)
			continue
		}
		held += r.size
	}
	if held > MaxCallBytes {
		return 0
	}
	e.lastTicket++
	e.reservations[e.lastTicket] = reservation{size: size, until: now + reservationTTL}
	return e.lastTicket
}

// Execute makes a call for another process. It returns at once if this process does not reach the service or has no room.
func (e *Executor) Execute(ctx context.Context, q Question) Answer {
	if e.path.Lost() || !e.enter(q) {
		return Answer{}
	}
	defer e.leave(q)
	ctx, cancel := timer.WithTimeout(ctx, e.clock, min(q.Patience, maxPatience))
	defer cancel()
	q = q.WithWait(min(q.Wait, maxWait))
	a := Answer{Executed: true, Outcome: storer.Unavailable}
	out := e.store.WithPurpose(q.Kind.purpose()).Once(ctx, func(ctx context.Context) storer.Outcome {
		began := e.clock.Monotonic()
		a = execute(ctx, e.service, q)
		e.path.recordForPeer(began, a)
		return a.Outcome
	})
	if a.size() > MaxCallBytes {
		a = Answer{Executed: true, Outcome: storer.Unavailable}
	}
	if e.observe != nil {
		e.observe(out.String())
	}
	return a
}

// enter takes the room for a call and reports whether there is any.
func (e *Executor) enter(q Question) bool {
	e.lock.Lock()
	defer e.lock.Unlock()
	if q.Size() > smallBytes {
		r, ok := e.reservations[q.Ticket]
		if !ok || r.taken || r.size < q.Size() {
			return false
		}
		r.taken = true
		e.reservations[q.Ticket] = r
	}
	if e.executing >= maxExecuting || q.Kind.ranged() && e.ranges >= maxRanges {
		delete(e.reservations, q.Ticket)
		return false
	}
	e.executing++
	if q.Kind.ranged() {
		e.ranges++
	}
	return true
}

// leave returns the room that a call has taken.
func (e *Executor) leave(q Question) {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.executing--
	if q.Kind.ranged() {
		e.ranges--
	}
	delete(e.reservations, q.Ticket)
}
