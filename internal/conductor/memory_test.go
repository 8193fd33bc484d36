package conductor_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// newLargeSpec returns a job of n items with bodies of 1 MiB each.
func newLargeSpec(id string, n int) batcher.Spec {
	s := newSpec(id, n)
	for i := range s.Items {
		s.Items[i].Body = append([]byte(s.Items[i].ID), bytes.Repeat([]byte("x"), 1<<20)...)
	}
	return s
}

// Guards against large jobs that are accepted until they fill the memory, against one that is refused though an earlier submission of
// it was accepted, and against jobs whose bodies stay in memory, or can't be read, once all results are durable.
func TestLargeJobsAreBounded(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 31, 0)
	cl.jobMemory = 10 << 20
	cl.engine.refusing.Store(true)
	startProcesses(cl, 2)
	first, second := cl.processes[0], cl.processes[1]
	specs := make([]batcher.Spec, 3)
	for i := range specs {
		specs[i] = newLargeSpec(fmt.Sprint("large", i), 4)
	}
	c.Assert(first.Submit(t.Context(), specs[0]), qt.Equals, conductor.Accepted)
	c.Assert(first.Submit(t.Context(), specs[1]), qt.Equals, conductor.Accepted)
	c.Assert(first.Submit(t.Context(), specs[2]), qt.Equals, conductor.Refused)
	c.Assert(first.Submit(t.Context(), specs[0]), qt.Equals, conductor.Accepted)
	c.Assert(second.Submit(t.Context(), specs[2]), qt.Equals, conductor.Accepted)
	c.Assert(first.Submit(t.Context(), specs[2]), qt.Equals, conductor.Accepted)
	c.Assert(first.Submit(t.Context(), newSpec("everyday", 4)), qt.Equals, conductor.Accepted)
	cl.engine.refusing.Store(false)
	for _, s := range specs {
		r := &reader{cluster: cl, spec: s}
		for len(r.seen) < len(s.Items) {
			r.readPage(c, second)
		}
	}
	for deadline := time.Now().Add(10 * time.Second); first.Submit(t.Context(), newLargeSpec("next", 4)) != conductor.Accepted; {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the bodies of jobs that are done stay in memory"))
		<-cl.clock.After(20 * time.Millisecond).C()
	}
	for _, p := range cl.processes {
		body, found := p.ItemBody(t.Context(), "team", specs[0].ID, specs[0].Items[1].ID)
		c.Assert(found, qt.Equals, conductor.Found)
		c.Assert(identifier.Bytes(len(body)), qt.Equals, identifier.Bytes(len(specs[0].Items[1].Body)))
	}
}
