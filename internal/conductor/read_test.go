package conductor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// Guards against a reader that is told that an accepted job does not exist, or that it has no results, because its entry
// read the job's record from a copy that is seconds old.
func TestStaleRecord(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 31, 0)
	startProcesses(cl, 3)
	leader, taker, entry := cl.processes[0], cl.processes[1], cl.processes[2]
	s := newSpec("job", 8)
	key := recorder.JobPrefix + "job"
	entry.link.past.Store(&map[string]storer.Entry{})
	c.Assert(leader.Accept(t.Context(), s), qt.Equals, conductor.Accepted)
	_, found := entry.Results(t.Context(), "team", "job", 0, 0)
	c.Assert(found, qt.Equals, conductor.Found)

	before, _ := leader.link.Get(t.Context(), key)
	taker.link.past.Store(&map[string]storer.Entry{key: before})
	leader.Close(t.Context())
	r := &reader{cluster: cl, spec: s}
	for began := cl.clock.Monotonic(); len(r.seen) < len(s.Items); {
		c.Assert(cl.clock.Monotonic()-began < 20*time.Second, qt.IsTrue)
		r.readPage(c, taker)
	}
	r.checkComplete(c)
}

// Guards against a trainer that waits for a store call to time out, at one entry after the other, while the results that it
// asks for are in the memory of an entry nearby: the pattern is a step that is read through entries that the store turns away.
func TestResultsAreReadThroughPeers(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 32, 0)
	startProcesses(cl, 3)
	leader, entry := cl.processes[0], cl.processes[1]
	s := newSpec("job", 8)
	c.Assert(leader.Accept(t.Context(), s), qt.Equals, conductor.Accepted)
	entry.link.down.Store(true)
	r := &reader{cluster: cl, spec: s}
	for len(r.seen) < len(s.Items) {
		r.readPage(c, entry)
	}
	r.checkComplete(c)
	_, found := entry.Results(t.Context(), "another", "job", 0, 0)
	c.Assert(found, qt.Equals, conductor.Missing)
	_, found = entry.Results(t.Context(), "team", "unknown", 0, 0)
	c.Assert(found, qt.Equals, conductor.ReadFailed)
	// A submission is passed on as well.
	c.Assert(entry.Submit(t.Context(), newSpec("next", 4)), qt.Equals, conductor.Accepted)
}
