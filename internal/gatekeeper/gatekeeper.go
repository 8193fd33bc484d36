// Package gatekeeper is the admission control of an agent: it admits each attempt at most once and can rule out an
// attempt permanently.
package gatekeeper

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

const (
	// DefaultRetention is how long the ledger keeps the record of an attempt after it ended or was ruled out.
	DefaultRetention = 15 * time.Minute
	// DefaultCapacity bounds the attempts in the ledger.
	DefaultCapacity = 65536
	// admissionDivisor divides the retention to give the time from its issue within which an attempt may be admitted.
	admissionDivisor = 2
)

// Offer is an attempt that an entry offers to the agent.
type Offer struct {
	Attempt     identifier.Attempt
	Incarnation identifier.Incarnation
	// Issued is the entry's wall clock when it made the attempt. If it differs from the agent's clock by more than half
	// the retention, the offer is refused, because the record of the attempt may have been dropped.
	Issued time.Time
	// Once marks a call that may not be repeated. Its answer is kept for the whole retention, because another entry may
	// ask for the outcome.
	Once bool
}

// expiry is the time after which the record of an attempt may be dropped.
type expiry struct {
	attempt   identifier.Attempt
	expiresAt time.Time
}

// record is the ledger's record of an attempt. A nil stream marks an attempt that was ruled out.
type record struct {
	stream *streamer.Stream
	once   bool
	ended  bool
	read   bool
	// freed is set when the attempt no longer counts against the concurrency.
	freed bool
}

// releaseAnswer drops the answer of a read attempt that may be repeated: an entry that did not get the final record
// resumes it on another target. Kept for the whole retention, the answers of an engine that generates 3,500 tokens a
// second would take some 200 MB.
func (r *record) releaseAnswer() {
	if !r.once {
		r.stream.DiscardPieces()
	}
}

// Gatekeeper is the admission ledger of one incarnation of an agent. Use NewGatekeeper: the zero value refuses every
// offer, since no offer names incarnation zero.
//
// Invariants: each attempt is admitted at most once, and never after it was ruled out; offers for another incarnation
// are never admitted. Lock rank: container.RankGatekeeper.
type Gatekeeper struct {
	lock        container.Lock[container.Gatekeeper]
	incarnation identifier.Incarnation
	retention   time.Duration
	capacity    int
	concurrency int
	running     int
	// occupied counts the admitted attempts that count against the concurrency.
	occupied int
	draining bool
	records  map[identifier.Attempt]*record
	// expiries holds the expiry of each attempt that ended or was ruled out, earliest first.
	expiries container.Queue[expiry]
	idle     chan struct{}
	// unread counts the ended attempts that were not marked as read.
	unread  int
	allRead chan struct{}
}

// Option sets a property of a Gatekeeper.
type Option func(*Gatekeeper)

// WithRetention sets how long the record of an attempt is kept after it ended or was ruled out.
func WithRetention(d time.Duration) Option { return func(g *Gatekeeper) { g.retention = d } }

// WithCapacity bounds the number of attempts in the ledger.
func WithCapacity(n int) Option { return func(g *Gatekeeper) { g.capacity = n } }

// WithConcurrency bounds the attempts that run concurrently; zero means no bound.
func WithConcurrency(n int) Option { return func(g *Gatekeeper) { g.concurrency = n } }

// NewGatekeeper returns an empty ledger of the given incarnation.
func NewGatekeeper(incarnation identifier.Incarnation, opts ...Option) *Gatekeeper {
	g := &Gatekeeper{
		incarnation: incarnation,
		retention:   DefaultRetention,
		capacity:    DefaultCapacity,
		records:     make(map[identifier.Attempt]*record),
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Incarnation returns the incarnation of the agent. Only offers that name it are admitted.
func (g *Gatekeeper) Incarnation() identifier.Incarnation { return g.incarnation }

// Admit decides on an offer. On Admitted the caller runs the attempt, writes its answer to the returned stream and
// calls End. On Repeated it gets the stream of the first admission.
func (g *Gatekeeper) Admit(o Offer, now time.Time) (Verdict, *streamer.Stream) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if o.Incarnation != g.incarnation {
		return OtherIncarnation, nil
	}
	g.dropExpired(now)
	if r, ok := g.records[o.Attempt]; ok {
		if r.stream == nil {
			return RuledOut, nil
		}
		return Repeated, r.stream
	}
	if now.Sub(o.Issued).Abs() > g.retention/admissionDivisor {
		return Expired, nil
	}
	if g.draining {
		g.ruleOut(o.Attempt, now)
		return Draining, nil
	}
	if g.full() {
		g.ruleOut(o.Attempt, now)
		return Full, nil
	}
	r := &record{stream: &streamer.Stream{}, once: o.Once}
	g.records[o.Attempt] = r
	g.running++
	g.occupied++
	return Admitted, r.stream
}

// Free makes room for another attempt in place of one whose target has ended. It is called before the final record can
// be read, because the entry that reads the record may send its next attempt at once.
func (g *Gatekeeper) Free(a identifier.Attempt) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if r, ok := g.records[a]; ok && r.stream != nil {
		g.free(r)
	}
}

// free is Free with the lock held.
func (g *Gatekeeper) free(r *record) {
	if !r.freed {
		r.freed = true
		g.occupied--
	}
}

// End records that an admitted attempt has ended. The caller must finish its stream before.
func (g *Gatekeeper) End(a identifier.Attempt, now time.Time) {
	g.lock.Lock()
	defer g.lock.Unlock()
	r, ok := g.records[a]
	if !ok || r.stream == nil || r.ended {
		panic("invariant at-most-once: only a running attempt ends: " + a.String())
	}
	r.ended = true
	g.free(r)
	g.expiries.Push(expiry{attempt: a, expiresAt: now.Add(g.retention)})
	g.running--
	if !r.read {
		g.unread++
	} else {
		r.releaseAnswer()
	}
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Settle returns the state of an attempt and rules it out if it was not admitted. An attempt without a record is ruled
// out only while a record of it would still be kept: an attempt is admitted only within half the retention of its
// issue, and its record is kept for the whole retention.
func (g *Gatekeeper) Settle(o Offer, now time.Time) Settlement {
	g.lock.Lock()
	defer g.lock.Unlock()
	if o.Incarnation != g.incarnation {
		return Unknown
	}
	r, ok := g.records[o.Attempt]
	switch {
	case !ok && now.Sub(o.Issued).Abs() > g.retention/admissionDivisor:
		return Unknown
	case !ok:
		g.ruleOut(o.Attempt, now)
		return NeverRuns
	case r.stream == nil:
		return NeverRuns
	case r.ended:
		return Ran
	default:
		return Running
	}
}

// MarkRead records that an entry has read the final record of an attempt, or no longer waits for it.
func (g *Gatekeeper) MarkRead(a identifier.Attempt) {
	g.lock.Lock()
	defer g.lock.Unlock()
	r, ok := g.records[a]
	if !ok || r.stream == nil || r.read {
		return
	}
	r.read = true
	if !r.ended {
		return
	}
	g.unread--
	r.releaseAnswer()
	if g.unread == 0 && g.allRead != nil {
		close(g.allRead)
		g.allRead = nil
	}
}

// AllRead returns a channel that is closed when every ended attempt has been marked as read.
func (g *Gatekeeper) AllRead() <-chan struct{} {
	g.lock.Lock()
	defer g.lock.Unlock()
	allRead := g.allRead
	if allRead == nil {
		allRead = make(chan struct{})
		g.allRead = allRead
	}
	if g.unread == 0 {
		close(allRead)
		g.allRead = nil
	}
	return allRead
}

// Stream returns the stream of an admitted attempt.
func (g *Gatekeeper) Stream(a identifier.Attempt) (*streamer.Stream, bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	r, ok := g.records[a]
	if !ok || r.stream == nil {
		return nil, false
	}
	return r.stream, true
}

// Drain makes Admit refuse new attempts. The returned channel is closed when no attempt is running.
func (g *Gatekeeper) Drain() <-chan struct{} {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.draining = true
	idle := g.idle
	if idle == nil {
		idle = make(chan struct{})
		g.idle = idle
	}
	if g.running == 0 {
		close(idle)
		g.idle = nil
	}
	return idle
}

// Load returns the number of running attempts and whether the agent is draining.
func (g *Gatekeeper) Load() (running int, draining bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.running, g.draining
}

// ruleOut records that an attempt will never be admitted. The record outlives every offer of the attempt, because offers
// older than half the retention are refused.
func (g *Gatekeeper) ruleOut(a identifier.Attempt, now time.Time) {
	g.records[a] = &record{}
	g.expiries.Push(expiry{attempt: a, expiresAt: now.Add(g.retention)})
}

// full reports whether the bound on running attempts or the capacity of the ledger is reached.
func (g *Gatekeeper) full() bool {
	return g.concurrency > 0 && g.occupied >= g.concurrency || len(g.records) >= g.capacity
}

// dropExpired drops the records past their retention.
func (g *Gatekeeper) dropExpired(now time.Time) {
	for {
		e, ok := g.expiries.Peek()
		if !ok || !now.After(e.expiresAt) {
			return
		}
		g.expiries.Pop()
		if r := g.records[e.attempt]; r.ended && !r.read {
			g.unread--
		}
		delete(g.records, e.attempt)
	}
}
