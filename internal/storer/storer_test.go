package storer_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// fakeDriver is a key-value service with one key. Each call consumes the next outcome of plan; with an empty plan calls
// succeed.
type fakeDriver struct {
	storer.Driver

	plan    []storer.Outcome
	down    bool
	entry   storer.Entry
	calls   int
	commits int
}

func (f *fakeDriver) next() storer.Outcome {
	f.calls++
	if f.down {
		return storer.Unavailable
	}
	if len(f.plan) == 0 {
		return storer.Applied
	}
	out := f.plan[0]
	f.plan = f.plan[1:]
	return out
}

func (f *fakeDriver) Get(context.Context, string) (storer.Entry, storer.Outcome) {
	return f.entry, f.next()
}

func (f *fakeDriver) Commit(_ context.Context, t storer.Transaction) storer.Outcome {
	f.commits++
	out := f.next()
	if out == storer.Unavailable {
		return out
	}
	if f.entry.Changed != t.Guards[0].Changed {
		return storer.Conflict
	}
	f.entry = storer.Entry{Key: t.Puts[0].Key, Value: t.Puts[0].Value, Changed: f.entry.Changed + 1}
	return out
}

// Guards against a client that floods a service that is down for ten minutes, or that notices its recovery too late.
func TestBackoffDuringOutage(t *testing.T) {
	c := qt.New(t)
	clock := &timer.Manual{}
	f := &fakeDriver{down: true}
	s := storer.NewStorer(f, clock).WithPurpose(storer.PurposeConfig)
	for range 600 * 4 {
		_, out := s.Get(context.Background(), "k")
		c.Assert(out, qt.Equals, storer.Unavailable)
		clock.Advance(250 * time.Millisecond)
	}
	// Pauses of 5 s to 10 s allow at most 120 calls, and about 10 for the doubling at the start.
	c.Assert(f.calls <= 130, qt.IsTrue, qt.Commentf("%d calls in ten minutes", f.calls))
	f.down = false
	clock.Advance(10 * time.Second)
	_, out := s.Get(context.Background(), "k")
	c.Assert(out, qt.Equals, storer.Applied)
}

// Guards against a lease that is lost because its renewal waits for the back-off of other purposes.
func TestLeasesAreProbedOften(t *testing.T) {
	c := qt.New(t)
	clock := &timer.Manual{}
	f := &fakeDriver{down: true}
	s := storer.NewStorer(f, clock)
	for range 100 {
		s.Get(context.Background(), "k")
		clock.Advance(time.Second)
	}
	f.down = false
	_, out := s.WithPurpose(storer.PurposeLease).Get(context.Background(), "k")
	c.Assert(out, qt.Equals, storer.Applied)
}

// Guards against bulk traffic that uses up the calls of the purposes that precede it.
func TestBudgetByPurpose(t *testing.T) {
	var out strings.Builder
	var b storer.Budget
	for p := storer.PurposeUsage; p >= storer.PurposeLease; p-- {
		n := 0
		for b.Take(p, 0) == 0 {
			n++
		}
		fmt.Fprintf(&out, "%s: %d calls at once, next in %v\n", p, n, b.Take(p, 0).Round(time.Millisecond))
	}
	goldie.New(t).Assert(t, "budget", []byte(out.String()))
}

// Guards against a write that is sent again although it may have taken effect, and against a wrong outcome, when the
// answer to a write is lost.
func TestLostAnswerIsResolved(t *testing.T) {
	var report strings.Builder
	cases := []struct {
		name string
		plan []storer.Outcome
		hook func(*fakeDriver)
	}{
		{name: "lost after effect", plan: []storer.Outcome{storer.Unknown}},
		{name: "lost after effect, reads fail twice", plan: []storer.Outcome{storer.Unknown, storer.Unavailable, storer.Unknown}},
		{name: "lost, another writer came first", plan: []storer.Outcome{storer.Unknown}, hook: func(f *fakeDriver) {
			f.entry = storer.Entry{Key: "k", Value: []byte("other"), Changed: 9}
		}},
		{name: "lost, still the old state", plan: []storer.Outcome{storer.Unknown}, hook: func(f *fakeDriver) { f.entry = storer.Entry{} }},
		{name: "not sent", plan: []storer.Outcome{storer.Unavailable}},
	}
	for _, tc := range cases {
		f := &fakeDriver{plan: tc.plan}
		clock := &timer.Manual{}
		s := storer.NewStorer(&afterCommit{fakeDriver: f, hook: tc.hook}, clock)
		done := make(chan storer.Outcome, 1)
		go func() { done <- s.CompareAndSwap(context.Background(), "k", 0, []byte("mine"), 0) }()
		fmt.Fprintf(&report, "%s: %s, %d write(s)\n", tc.name, drive(clock, done), f.commits)
	}
	goldie.New(t).Assert(t, "lost", []byte(report.String()))
}

// afterCommit calls hook once a commit has returned.
type afterCommit struct {
	*fakeDriver

	hook func(*fakeDriver)
}

func (a *afterCommit) Commit(ctx context.Context, t storer.Transaction) storer.Outcome {
	out := a.fakeDriver.Commit(ctx, t)
	if a.hook != nil {
		a.hook(a.fakeDriver)
	}
	return out
}

// drive advances the clock until the outcome arrives.
func drive(clock *timer.Manual, done <-chan storer.Outcome) storer.Outcome {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case out := <-done:
			return out
		case <-tick.C:
			clock.Advance(100 * time.Millisecond)
		}
	}
}

// Guards against operators' edits that wait for the budget: in a sequence of ten edits, with two calls each, the
// withdrawal of a key took half a second longer than the network.
func TestEditsInARowDoNotWait(t *testing.T) {
	c := qt.New(t)
	var b storer.Budget
	for range 20 {
		c.Assert(b.Take(storer.PurposeConfig, 0), qt.Equals, time.Duration(0))
	}
}
