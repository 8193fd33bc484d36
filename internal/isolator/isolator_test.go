package isolator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
)

var start = time.Unix(1000, 0)

func fingerprint(name string) isolator.Fingerprint {
	return isolator.NewFingerprint("routing", "sortmind", name)
}

func crash(id string, target identifier.Target, at time.Duration, suspects ...string) isolator.Crash {
	c := isolator.Crash{ID: isolator.CrashID{Request: identifier.Request(id)}, Target: target, At: start.Add(at)}
	for _, s := range suspects {
		c.Suspects = append(c.Suspects, fingerprint(s))
	}
	return c
}

// Guards against a request that crashes a third target because it was not held back, and against a harmless one that is
// held back because it ran on a target that crashed.
func TestHeldTranscript(t *testing.T) {
	var out strings.Builder
	show := func(i *isolator.Isolator, what string, after time.Duration) {
		var held []string
		for _, name := range []string{"poison", "a", "b", "c"} {
			if left, ok := i.HeldBack(fingerprint(name), start.Add(after)); ok {
				held = append(held, fmt.Sprintf("%s for %v", name, left))
			}
		}
		fmt.Fprintf(&out, "%-62s held: %s\n", what, strings.Join(held, ", "))
	}
	var i isolator.Isolator
	i.Record(crash("1", "t1", 0, "poison", "a", "b"), start)
	show(&i, "poison, a and b were on t1 when it crashed", 0)
	i.Record(crash("1", "t1", time.Second, "poison", "a", "b"), start)
	show(&i, "the same crash is recorded again", 0)
	i.Record(crash("2", "t1", 0, "poison"), start)
	show(&i, "poison crashed t1 again", 0)
	i.Record(crash("3", "t2", time.Minute, "poison", "a", "c"), start)
	show(&i, "poison, a and c were on t2 when it crashed", time.Minute)
	i.Clear(fingerprint("a"))
	show(&i, "a completed", time.Minute)
	i.Record(crash("4", "t3", 2*time.Minute, "b"), start)
	show(&i, "b alone was on t3 when it crashed", 2*time.Minute)
	i.Clear(fingerprint("b"))
	show(&i, "b completed", 2*time.Minute)
	show(&i, "an hour later", time.Minute+isolator.DefaultRetention)

	var j isolator.Isolator
	for n, target := range []identifier.Target{"t1", "t2", "t3"} {
		j.Record(crash(fmt.Sprint(n), target, 0, "a", "b"), start)
		show(&j, fmt.Sprintf("a and b were on %s when it crashed", target), 0)
	}
	j.Clear(fingerprint("a"))
	show(&j, "a completed", 0)
	goldie.New(t).Assert(t, "held", []byte(out.String()))
}

// Guards against entries that reach different conclusions because evidence arrived in a different order or twice.
func TestMergeIsAUnion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		pieces := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) isolator.Evidence {
			id := rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "id")
			// The agent that recorded a crash determines its suspects, so that they depend on the crash alone.
			c := crash(id, identifier.Target("t"+id), time.Duration(rapid.IntRange(0, 3).Draw(t, "at")), "a", names[len(id)])
			if rapid.Bool().Draw(t, "partial") {
				// Each entry knows only the suspects of its own attempts, and its own view of the target.
				suspect := fingerprint(rapid.SampledFrom(names).Draw(t, "suspect"))
				c.Partial, c.Suspects = true, []isolator.Fingerprint{suspect}
				c.Service = rapid.SampledFrom([]identifier.Service{"", "s"}).Draw(t, "service")
				c.Ended = rapid.Bool().Draw(t, "ended")
				c = c.WithAnswer(start.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "answered"))))
			}
			e := isolator.Evidence{Crashes: []isolator.Crash{c}}
			if rapid.Bool().Draw(t, "cleared") {
				e.Cleared = []isolator.Clearance{{Crash: c.ID, Fingerprint: fingerprint(rapid.SampledFrom(names).Draw(t, "name"))}}
			}
			return e
		}), 1, 8).Draw(t, "pieces")
		var one, other isolator.Isolator
		for _, e := range pieces {
			one.Merge(e, start)
		}
		for _, e := range rapid.Permutation(append(pieces, pieces...)).Draw(t, "order") {
			other.Merge(e, start)
		}
		other.Merge(one.Evidence(), start)
		if got, want := fmt.Sprint(other.Evidence()), fmt.Sprint(one.Evidence()); got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
	})
}

// Guards against attempts of one crash that report different crashes: the last attempt to end would be the only suspect
// of its crash.
func TestCrashTrackerReportsOneCrash(t *testing.T) {
	c := qt.New(t)
	var tracker isolator.CrashTracker
	attempt := func(n int) identifier.Attempt { return identifier.Attempt{Request: "r", Number: n} }
	for n := range 3 {
		tracker.Begin(attempt(n), fingerprint(fmt.Sprint(n)))
	}
	first := tracker.End(attempt(0), true, start)
	c.Assert(first.Suspects, qt.HasLen, 3)
	c.Assert(tracker.End(attempt(1), true, start.Add(time.Millisecond)), qt.DeepEquals, first)
	c.Assert(tracker.End(attempt(2), true, start.Add(2*time.Millisecond)), qt.DeepEquals, first)
	tracker.Begin(attempt(3), fingerprint("3"))
	next := tracker.End(attempt(3), true, start.Add(3*time.Millisecond))
	c.Assert(next.ID, qt.Not(qt.Equals), first.ID)
	c.Assert(next.Suspects, qt.HasLen, 1)
}

// Guards against work that is never suspected, such as rollouts, and that counts as the suspect of a crash or hides its other
// suspects.
func TestCrashTrackerWithUnsuspectedWork(t *testing.T) {
	c := qt.New(t)
	var tracker isolator.CrashTracker
	attempt := func(n int) identifier.Attempt { return identifier.Attempt{Request: "r", Number: n} }
	for n := range 3 {
		tracker.Begin(attempt(n), isolator.Fingerprint{})
	}
	tracker.Begin(attempt(3), fingerprint("a"))
	first := tracker.End(attempt(0), true, start)
	c.Assert(first.Suspects, qt.DeepEquals, []isolator.Fingerprint{fingerprint("a")})
	for n := 1; n <= 3; n++ {
		c.Assert(tracker.End(attempt(n), true, start.Add(time.Duration(n)*time.Millisecond)), qt.DeepEquals, first)
	}
	tracker.Begin(attempt(4), isolator.Fingerprint{})
	c.Assert(tracker.End(attempt(4), true, start.Add(5*time.Millisecond)).Suspects, qt.HasLen, 0)
}

// Guards against equal fingerprints of requests of different teams or services, or of bodies split into different
// parts.
func TestFingerprintsDiffer(t *testing.T) {
	c := qt.New(t)
	seen := map[isolator.Fingerprint]bool{
		isolator.NewFingerprint("a", "s", "body"):      true,
		isolator.NewFingerprint("b", "s", "body"):      true,
		isolator.NewFingerprint("a", "t", "body"):      true,
		isolator.NewFingerprint("a", "s", "bo", "dy"):  true,
		isolator.NewFingerprint("a", "s", "body", ""):  true,
		isolator.NewFingerprint("as", "", "body"):      true,
		isolator.NewFingerprint("a", "s", "2:body1:x"): true,
	}
	c.Assert(seen, qt.HasLen, 7)
}
