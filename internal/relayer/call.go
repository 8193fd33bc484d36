package relayer

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// Kind is the kind of a call to the key-value service.
type Kind int

// The kinds of calls.
const (
	Get Kind = iota + 1
	GetStale
	GetIfChanged
	List
	Snapshot
	Changes
	Commit
	Grant
	KeepAlive
	Revoke
)

// repeatable reports whether a call may be executed twice: a read, and a renewal or an end of a lease, has the same effect and
// the same outcome the second time.
func (k Kind) repeatable() bool { return k != Commit && k != Grant }

// ranged reports whether a call reads all entries below a prefix.
func (k Kind) ranged() bool { return k == List || k == Snapshot }

// purpose returns the purpose with which a process executes a call of another one. Calls for jobs come after its own.
func (k Kind) purpose() storer.Purpose {
	switch k {
	case Grant, KeepAlive, Revoke:
		return storer.PurposeLease
	case Snapshot, Changes:
		return storer.PurposeConfig
	default:
		return storer.PurposeClaim
	}
}

// Question is a call to the key-value service that another process is asked to make. It is immutable.
type Question struct {
	Kind Kind
	// Key is the key or the prefix that is read.
	Key         string
	After       int64
	Wait        time.Duration
	TTL         time.Duration
	Lease       storer.Lease
	Transaction storer.Transaction
	// Patience is the time after which the asking process no longer waits for the answer.
	Patience time.Duration
	// Ticket names the memory that was reserved for a large call.
	Ticket int64
}

// WithPatience returns a copy of q with the given patience.
func (q Question) WithPatience(d time.Duration) Question {
	q.Patience = d
	return q
}

// WithTicket returns a copy of q with the given ticket.
func (q Question) WithTicket(ticket int64) Question {
	q.Ticket = ticket
	return q
}

// WithWait returns a copy of q with the given wait.
func (q Question) WithWait(d time.Duration) Question {
	q.Wait = d
	return q
}

// Size returns the size of the keys and values that a call carries.
func (q Question) Size() identifier.Bytes {
	n := len(q.Key)
	for _, p := range q.Transaction.Puts {
		n += len(p.Key) + len(p.Value)
	}
	for _, key := range q.Transaction.Deletes {
		n += len(key)
	}
	return identifier.Bytes(n)
}

// Answer is the result of a call.
type Answer struct {
	// Executed is false if the call was not made: the process does not reach the service either, or has no room for it.
	Executed bool
	Outcome  storer.Outcome
	Entry    storer.Entry
	Entries  []storer.Entry
	Changes  []storer.Change
	Revision int64
	Lease    storer.Lease
}

// answered reports whether the service answered the call.
func (a Answer) answered() bool {
	return a.Executed && (a.Outcome == storer.Applied || a.Outcome == storer.Conflict)
}

// size returns the size of the keys and values of an answer.
func (a Answer) size() identifier.Bytes {
	n := len(a.Entry.Key) + len(a.Entry.Value)
	for _, e := range a.Entries {
		n += len(e.Key) + len(e.Value)
	}
	for _, c := range a.Changes {
		n += len(c.Key) + len(c.Value)
	}
	return identifier.Bytes(n)
}

// Delivery is what is known of a question once its call has ended.
type Delivery int

const (
	// Undelivered means that the other process has not received the question.
	Undelivered Delivery = iota + 1
	// Lost means that the other process may have executed it, and that there is no answer.
	Lost
	// Delivered means that there is an answer.
	Delivered
)

// execute makes a call to the service.
func execute(ctx context.Context, s storer.Service, q Question) Answer {
	a := Answer{Executed: true}
	switch q.Kind {
	case Get:
		a.Entry, a.Outcome = s.Get(ctx, q.Key)
	case GetStale:
		if reader, ok := s.(storer.StaleReader); ok {
			a.Entry, a.Outcome = reader.GetStale(ctx, q.Key)
		} else {
			a.Entry, a.Outcome = s.Get(ctx, q.Key)
		}
	case GetIfChanged:
		a.Entry, a.Outcome = s.GetIfChanged(ctx, q.Key, q.After)
	case List:
		a.Entries, a.Outcome = s.List(ctx, q.Key)
	case Snapshot:
		a.Entries, a.Revision, a.Outcome = s.Snapshot(ctx, q.Key)
	case Changes:
		a.Changes, a.Revision, a.Outcome = s.Changes(ctx, q.Key, q.After, q.Wait)
	case Commit:
		a.Outcome = s.Commit(ctx, q.Transaction)
	case Grant:
		a.Lease, a.Outcome = s.Grant(ctx, q.TTL)
	case KeepAlive:
		a.Outcome = s.KeepAlive(ctx, q.Lease)
	case Revoke:
		a.Outcome = s.Revoke(ctx, q.Lease)
	default:
		return Answer{Outcome: storer.Unavailable}
	}
	return a
}
