// Package gatekeeper is the last gate before a target: it admits each attempt at most once and can rule one out for
// good.
package gatekeeper

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

const (
	// DefaultRetention is how long the ledger remembers an attempt after it ended or was barred.
	DefaultRetention = 15 * time.Minute
	// DefaultCapacity bounds the attempts in the ledger.
	DefaultCapacity = 65536
)

// Offer is an attempt as it comes to the gate.
type Offer struct {
	Attempt     identifier.Attempt
	Incarnation identifier.Incarnation
	// Issued is the entry's wall clock when it made the attempt. An offer further than half the retention from the
	// agent's clock is refused, because its record may have been dropped.
	Issued time.Time
	// Once keeps the answer for the whole retention, for another entry that asks for the outcome.
	Once bool
}

// due is when the record of an attempt may be dropped.
type due struct {
	attempt identifier.Attempt
	drop    time.Time
}

// record is what the ledger keeps about an attempt. A nil stream marks a barred attempt.
type record struct {
	stream *streamer.Stream
	once   bool
	ended  bool
	read   bool
}

// release drops the answer of a collected attempt that may be repeated: an entry that did not get its end resumes it
// elsewhere. Kept for the retention, the answers of an engine that makes 3,500 tokens a second would take some 200 MB.
func (r *record) release() {
	if !r.once {
		r.stream.Release()
	}
}

// Gatekeeper is the admission ledger of one incarnation of an agent. The zero value refuses every offer, since no
// offer is meant for incarnation zero; use NewGatekeeper.
//
// Invariants: each attempt is admitted at most once; a barred attempt is never admitted; offers for another
// incarnation are never admitted. Lock rank: container.RankGatekeeper.
type Gatekeeper struct {
	lock        container.Lock[container.Gatekeeper]
	incarnation identifier.Incarnation
	retention   time.Duration
	capacity    int
	concurrency int
	running     int
	draining    bool
	records     map[identifier.Attempt]*record
	// dues are the records that may be dropped some day, earliest first.
	dues container.Queue[due]
	idle chan struct{}
	// unread counts the ended attempts whose final record no entry has read or given up.
	unread    int
	collected chan struct{}
}

// Option sets a property of a Gatekeeper.
type Option func(*Gatekeeper)

// WithRetention sets how long ended and barred attempts are remembered.
func WithRetention(d time.Duration) Option { return func(g *Gatekeeper) { g.retention = d } }

// WithCapacity bounds the number of attempts in the ledger.
func WithCapacity(n int) Option { return func(g *Gatekeeper) { g.capacity = n } }

// WithConcurrency bounds the attempts that run at a time; zero is no bound.
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

// Incarnation returns the incarnation whose offers the gate admits.
func (g *Gatekeeper) Incarnation() identifier.Incarnation { return g.incarnation }

// Admit decides on an offer. On Admitted the caller runs the attempt into the returned stream and calls End; on
// Repeated it gets the stream of the first admission.
func (g *Gatekeeper) Admit(o Offer, now time.Time) (Verdict, *streamer.Stream) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if o.Incarnation != g.incarnation {
		return Forgotten, nil
	}
	g.forget(now)
	if r, ok := g.records[o.Attempt]; ok {
		if r.stream == nil {
			return Barred, nil
		}
		return Repeated, r.stream
	}
	if now.Sub(o.Issued).Abs() > g.retention/2 {
		return Expired, nil
	}
	if g.draining {
		g.bar(o.Attempt, now)
		return Draining, nil
	}
	if g.full() {
		g.bar(o.Attempt, now)
		return Full, nil
	}
	r := &record{stream: &streamer.Stream{}, once: o.Once}
	g.records[o.Attempt] = r
	g.running++
	return Admitted, r.stream
}

// End records that an admitted attempt has ended. Its stream has its final record by then.
func (g *Gatekeeper) End(a identifier.Attempt, now time.Time) {
	g.lock.Lock()
	defer g.lock.Unlock()
	r, ok := g.records[a]
	if !ok || r.stream == nil || r.ended {
		panic("invariant at-most-once: only a running attempt ends: " + a.String())
	}
	r.ended = true
	g.dues.Push(due{attempt: a, drop: now.Add(g.retention)})
	g.running--
	if !r.read {
		g.unread++
	} else {
		r.release()
	}
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Settle tells what became of an attempt and rules it out when it was not admitted. An attempt without a record is
// ruled out only while a record of it would still be kept: it was admitted, if at all, within half the retention of
// its issue, and a record stays for the whole retention.
func (g *Gatekeeper) Settle(o Offer, now time.Time) Settlement {
	g.lock.Lock()
	defer g.lock.Unlock()
	if o.Incarnation != g.incarnation {
		return Unknown
	}
	r, ok := g.records[o.Attempt]
	switch {
	case !ok && now.Sub(o.Issued).Abs() > g.retention/2:
		return Unknown
	case !ok:
		g.bar(o.Attempt, now)
		return NeverRuns
	case r.stream == nil:
		return NeverRuns
	case r.ended:
		return Ran
	default:
		return Running
	}
}

// MarkRead records that an entry has read the final record of an attempt, or does not wait for it any more.
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
	r.release()
	if g.unread == 0 && g.collected != nil {
		close(g.collected)
		g.collected = nil
	}
}

// AllRead returns a channel that is closed when every ended attempt has been collected.
func (g *Gatekeeper) AllRead() <-chan struct{} {
	g.lock.Lock()
	defer g.lock.Unlock()
	collected := g.collected
	if collected == nil {
		collected = make(chan struct{})
		g.collected = collected
	}
	if g.unread == 0 {
		close(collected)
		g.collected = nil
	}
	return collected
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

// Drain refuses new work from now on. The returned channel is closed when no attempt is running.
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

// Load returns the number of running attempts and whether the gate is draining.
func (g *Gatekeeper) Load() (running int, draining bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.running, g.draining
}

// bar rules out an attempt. A barred record outlives every offer of its attempt, because offers older than half the
// retention are refused.
func (g *Gatekeeper) bar(a identifier.Attempt, now time.Time) {
	g.records[a] = &record{}
	g.dues.Push(due{attempt: a, drop: now.Add(g.retention)})
}

// full reports whether there is no room for one more attempt.
func (g *Gatekeeper) full() bool {
	return g.concurrency > 0 && g.running >= g.concurrency || len(g.records) >= g.capacity
}

// forget drops the records past their retention.
func (g *Gatekeeper) forget(now time.Time) {
	for {
		d, ok := g.dues.Peek()
		if !ok || !now.After(d.drop) {
			return
		}
		g.dues.Pop()
		if r := g.records[d.attempt]; r.ended && !r.read {
			g.unread--
		}
		delete(g.records, d.attempt)
	}
}
