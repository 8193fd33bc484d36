package isolator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
)

// attempt returns an attempt of a request, or of work that is never a suspect if name is empty.
func attempt(name string, target int, incarnation identifier.Incarnation, sent time.Duration) isolator.Attempt {
	a := isolator.Attempt{
		Target: identifier.Target(fmt.Sprint("t", target)), Incarnation: incarnation, Service: "s", Sent: start.Add(sent),
	}
	if name != "" {
		a.Suspect = fingerprint(name)
	}
	return a
}

// showFunc writes what is known of the named requests some time after the start.
type showFunc func(after time.Duration, names ...string)

// Guards against a request that crashes targets and is sent on because of how its attempts ended, and against a harmless one
// that is held back because its targets ended or broke off for another reason.
func TestObservedCrashes(t *testing.T) {
	var out strings.Builder
	scenario := func(what string, steps func(o *isolator.Observer, show showFunc)) {
		fmt.Fprintf(&out, "%s\n", what)
		o := isolator.NewObserver()
		steps(o, func(after time.Duration, names ...string) {
			for _, name := range names {
				left, held := o.HeldBack(fingerprint(name), start.Add(after))
				fmt.Fprintf(&out, "  at %-6v %-8s suspected=%-5v held=%-5v for %v\n", after, name, o.IsSuspected(fingerprint(name)), held, max(left, 0))
			}
		})
	}
	broken := func(o *isolator.Observer, name string, target int, sent, took time.Duration) {
		o.Broken(attempt(name, target, 1, sent), start.Add(sent+took))
	}

	scenario("targets break off under a request that is alone each time", func(o *isolator.Observer, show showFunc) {
		for target := range 3 {
			broken(o, "x", target, time.Duration(target)*time.Second, 5*time.Millisecond)
			show(time.Duration(target+1)*time.Second, "x")
		}
		show(time.Hour, "x")
		show(time.Hour+10*time.Second, "x")
	})
	scenario("one target crashes at each of its starts", func(o *isolator.Observer, show showFunc) {
		for n := range 3 {
			o.Broken(attempt("x", 1, identifier.Incarnation(n+1), 0), start)
		}
		show(0, "x")
	})
	scenario("one start of a target breaks off again and again", func(o *isolator.Observer, show showFunc) {
		for n := range 5 {
			broken(o, "x", 1, time.Duration(n)*time.Second, 0)
		}
		show(5*time.Second, "x")
	})
	scenario("the request is answered at another target after two crashes", func(o *isolator.Observer, show showFunc) {
		broken(o, "x", 1, 0, 0)
		broken(o, "x", 2, 0, 0)
		o.Answered(attempt("x", 3, 1, time.Second))
		broken(o, "x", 4, 2*time.Second, 0)
		show(2*time.Second, "x")
	})
	scenario("the targets answer other requests that were sent later: only connections broke", func(o *isolator.Observer, show showFunc) {
		for target := range 3 {
			broken(o, "x", target, 0, time.Second)
		}
		o.Answered(attempt("y", 0, 1, 500*time.Millisecond))
		show(2*time.Second, "x")
		o.Answered(attempt("y", 0, 1, 2*time.Second))
		show(3*time.Second, "x")
		o.Answered(attempt("y", 0, 1, 4*time.Second))
		show(4*time.Second, "x")
		o.TargetEnded("t0", 1, start.Add(5*time.Second))
		show(5*time.Second, "x")
	})
	scenario("targets start again under their IDs and answer, while no listing shows it", func(o *isolator.Observer, show showFunc) {
		o.Listed = func() bool { return false }
		for target := range 3 {
			broken(o, "x", target, 0, 0)
			o.Answered(attempt("y", target, 1, 10*time.Second))
		}
		show(10*time.Second, "x")
		o.Listed = nil
		o.Answered(attempt("y", 0, 1, 11*time.Second))
		show(11*time.Second, "x")
	})
	scenario("targets whose starts can't be told apart ended, and answer again", func(o *isolator.Observer, show showFunc) {
		for target := range 3 {
			broken(o, "x", target, 0, 0)
			o.TargetEnded(identifier.Target(fmt.Sprint("t", target)), 1, start)
			o.Answered(attempt("y", target, 1, time.Second))
			o.Answered(attempt("y", target, 1, 2*time.Second))
		}
		show(2*time.Second, "x")
		fmt.Fprintf(&out, "  revision %d\n", o.Revision())
	})
	scenario("a target that answered later breaks off again", func(o *isolator.Observer, show showFunc) {
		for target := range 3 {
			broken(o, "x", target, 0, 0)
		}
		o.Answered(attempt("y", 0, 1, 3*time.Second))
		show(3*time.Second, "x")
		broken(o, "x", 0, 4*time.Second, 0)
		show(4*time.Second, "x")
	})
	scenario("targets end silently under a request that gets no answer", func(o *isolator.Observer, show showFunc) {
		for target := range 3 {
			o.Unanswered(attempt("x", target, 1, 0), start.Add(time.Second))
		}
		show(time.Second, "x")
		for target := range 3 {
			o.TargetEnded(identifier.Target(fmt.Sprint("t", target)), 1, start.Add(4*time.Second))
		}
		show(4*time.Second, "x")
	})
	scenario("targets end long after a request got no answer there", func(o *isolator.Observer, show showFunc) {
		for target := range 3 {
			o.Unanswered(attempt("x", target, 1, 0), start)
			o.TargetEnded(identifier.Target(fmt.Sprint("t", target)), 1, start.Add(time.Minute))
		}
		show(time.Minute, "x")
	})
	scenario("bursts end a third of the targets at once, each time one with the same stream", func(o *isolator.Observer, show showFunc) {
		for n := range 4 {
			at := time.Duration(n+1) * time.Second
			broken(o, "x", 3*n, at-time.Second, time.Second)
			broken(o, "", 3*n+1, at-time.Second, time.Second)
			broken(o, "", 3*n+2, at-time.Second, 1100*time.Millisecond)
			show(at, "x")
			for target := range 3 {
				o.TargetEnded(identifier.Target(fmt.Sprint("t", 3*n+target)), 1, start.Add(at+500*time.Millisecond))
			}
			show(at+500*time.Millisecond, "x")
		}
	})
	scenario("the same bursts, and between them targets end under the request alone", func(o *isolator.Observer, show showFunc) {
		for n := range 4 {
			at := time.Duration(n+1) * time.Second
			broken(o, "", 3*n, at-time.Second, time.Second)
			broken(o, "", 3*n+1, at-time.Second, time.Second)
			broken(o, "x", 3*n+2, at+400*time.Millisecond, 5*time.Millisecond)
			for target := range 3 {
				o.TargetEnded(identifier.Target(fmt.Sprint("t", 3*n+target)), 1, start.Add(at+500*time.Millisecond))
			}
			show(at+500*time.Millisecond, "x")
		}
	})
	scenario("two requests end targets at the same time", func(o *isolator.Observer, show showFunc) {
		for n := range 4 {
			at := time.Duration(n) * time.Second
			broken(o, "x", 2*n, at, 0)
			broken(o, "y", 2*n+1, at+time.Duration(n)*100*time.Millisecond, 0)
			o.TargetEnded(identifier.Target(fmt.Sprint("t", 2*n)), 1, start.Add(at))
			o.TargetEnded(identifier.Target(fmt.Sprint("t", 2*n+1)), 1, start.Add(at))
		}
		show(4*time.Second, "x", "y")
	})
	goldie.New(t).Assert(t, "observed", []byte(out.String()))
}

// Guards against entries that never learn what another one observed, or get it again and again.
func TestObservedEvidenceIsSentOnce(t *testing.T) {
	c := qt.New(t)
	o, other := isolator.NewObserver(), isolator.NewObserver()
	send := func(after int) (isolator.Evidence, int) {
		e, revision := o.Observed(after)
		other.Merge(e, start)
		return e, revision
	}
	e, _ := send(0)
	c.Assert(e.IsEmpty(), qt.IsTrue)
	for target := range 3 {
		o.Broken(attempt("x", target, 1, 0), start)
	}
	e, revision := send(0)
	c.Assert(e.Crashes, qt.HasLen, 3)
	_, held := other.HeldBack(fingerprint("x"), start)
	c.Assert(held, qt.IsTrue)
	e, revision = send(revision)
	c.Assert(e.IsEmpty(), qt.IsTrue)
	// What an entry was told is not its own observation.
	e, _ = other.Observed(0)
	c.Assert(e.IsEmpty(), qt.IsTrue)
	// The request turns out to be harmless, at either entry.
	o.Answered(attempt("x", 4, 1, time.Second))
	e, revision = send(revision)
	c.Assert(e.Cleared, qt.HasLen, 3)
	c.Assert(other.IsSuspected(fingerprint("x")), qt.IsFalse)
	// A break that is explained before it was sent is not sent.
	o.Broken(attempt("y", 5, 1, 0), start)
	o.Answered(attempt("y", 6, 1, time.Second))
	e, _ = send(revision)
	c.Assert(e.IsEmpty(), qt.IsTrue)
}
