package isolator

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// unansweredPeriod is how long an attempt that ended without an answer is remembered. A target that ends silently is
	// known to have ended only once its listing is gone.
	unansweredPeriod = 15 * time.Second
	// maxUnanswered is the number of such attempts that are remembered; further ones are not.
	maxUnanswered = 1024
)

// Attempt describes an attempt at a target as the entry that made it knows it. It is immutable.
type Attempt struct {
	Target      identifier.Target
	Incarnation identifier.Incarnation
	Service     identifier.Service
	Sent        time.Time
	// Suspect is the fingerprint of the request. It is zero for work that crashes no target by itself, such as the items of
	// batch jobs and their scoring calls.
	Suspect Fingerprint
}

func (a Attempt) crashID() CrashID { return CrashID{Target: a.Target, Incarnation: a.Incarnation} }

func (a Attempt) crash(now time.Time) Crash {
	c := Crash{ID: a.crashID(), Target: a.Target, At: now, Partial: true, Service: a.Service}
	if a.Suspect != (Fingerprint{}) {
		c.Suspects = []Fingerprint{a.Suspect}
	}
	return c
}

// unansweredAttempt is an attempt that ended without an answer at a certain time.
type unansweredAttempt struct {
	Attempt
	ended time.Time
}

// Observer turns the ends of an entry's attempts into evidence of an Isolator, where no agent is beside the targets. It
// needs an Isolator; otherwise its zero value works. Lock rank: container.RankIsolator, never held with that of the Isolator.
type Observer struct {
	*Isolator
	// Listed reports whether the listings of targets are up to date, so that another start of a target shows. If it is nil,
	// they are. It is set before the first use.
	Listed     func() bool
	lock       container.Lock[container.Isolator]
	unanswered []unansweredAttempt
}

// NewObserver returns an Observer of a new Isolator.
func NewObserver() *Observer { return &Observer{Isolator: &Isolator{}} }

// Broken records an attempt whose connection broke. Its target may have crashed.
func (o *Observer) Broken(a Attempt, now time.Time) { o.Record(a.crash(now), now) }

// Unanswered records an attempt that timed out or whose caller left. It becomes evidence once its target is known to have ended.
func (o *Observer) Unanswered(a Attempt, now time.Time) {
	if a.Suspect == (Fingerprint{}) {
		return
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	o.dropOld(now)
	if len(o.unanswered) < maxUnanswered {
		o.unanswered = append(o.unanswered, unansweredAttempt{Attempt: a, ended: now})
	}
}

// Answered records that the target of an attempt ran the request to an answer.
func (o *Observer) Answered(a Attempt) {
	if o.IsEmpty() {
		return
	}
	if o.Listed == nil || o.Listed() {
		o.RecordAnswer(a.crashID(), a.Sent)
	}
	if a.Suspect != (Fingerprint{}) {
		o.Clear(a.Suspect)
	}
}

// TargetEnded records that an incarnation of a target ended without notice. The requests that it left unanswered become suspects.
func (o *Observer) TargetEnded(t identifier.Target, n identifier.Incarnation, now time.Time) {
	for _, a := range o.takeUnanswered(t, n, now) {
		c := a.crash(a.ended)
		o.Record(c, now)
	}
	o.RecordEnd(CrashID{Target: t, Incarnation: n})
}

// takeUnanswered removes and returns the attempts that were left without an answer by an incarnation of a target.
func (o *Observer) takeUnanswered(t identifier.Target, n identifier.Incarnation, now time.Time) []unansweredAttempt {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.dropOld(now)
	var taken, kept []unansweredAttempt
	for _, a := range o.unanswered {
		if a.Target == t && a.Incarnation == n {
			taken = append(taken, a)
			continue
		}
		kept = append(kept, a)
	}
	o.unanswered = kept
	return taken
}

// dropOld drops the attempts that ended more than unansweredPeriod ago. The attempts are ordered by their ends.
func (o *Observer) dropOld(now time.Time) {
	n := 0
	for n < len(o.unanswered) && now.Sub(o.unanswered[n].ended) > unansweredPeriod {
		n++
	}
	o.unanswered = o.unanswered[n:]
}
