package publisher_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/publisher"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// fakeStore is a key-value service with one key. It can fail at each step of an edit.
type fakeStore struct {
	mu    sync.Mutex
	entry storer.Entry
	// get is the outcome of reads if not zero; lost drops the answers of writes that took effect; refuse fails writes.
	get          storer.Outcome
	lost, refuse bool
	// beforeWrite runs between the read and the write of an edit.
	beforeWrite func()
}

func (f *fakeStore) Get(context.Context, string) (storer.Entry, storer.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.get != 0 {
		return storer.Entry{}, f.get
	}
	return f.entry, storer.Applied
}

func (f *fakeStore) GetIfChanged(ctx context.Context, key string, after int64) (storer.Entry, storer.Outcome) {
	e, out := f.Get(ctx, key)
	if e.Changed <= after {
		return storer.Entry{Key: key}, out
	}
	return e, out
}

func (f *fakeStore) CompareAndSwap(_ context.Context, key string, changed int64, value []byte, _ storer.Lease) storer.Outcome {
	if f.beforeWrite != nil {
		f.beforeWrite()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.refuse:
		return storer.Unavailable
	case f.entry.Changed != changed:
		return storer.Conflict
	}
	f.entry = storer.Entry{Key: key, Value: value, Changed: changed + 1}
	if f.lost {
		return storer.Unknown
	}
	return storer.Applied
}

func (f *fakeStore) Watch(ctx context.Context, _ string, _ int64, _ func(storer.Entry)) storer.Outcome {
	<-ctx.Done()
	return storer.Unavailable
}

// adopter decodes documents and puts them in force.
type adopter struct{ configurator.Configurator }

func (a *adopter) Adopt(c distributor.Copy) bool {
	d, err := codec.Decode(c.Body())
	return err == nil && a.Configurator.Adopt(d) != configurator.Invalid
}

// operator is a process that applies edits: a publisher with the relay and the configuration of its node.
type operator struct {
	*publisher.Publisher

	config *adopter
	relay  *distributor.Relay
}

func newOperator(f *fakeStore) operator {
	a := &adopter{}
	r := distributor.NewRelay(distributor.Member{Address: "n"}, time.Second, [distributor.TopicCount]distributor.Adopter{a})
	return operator{Publisher: publisher.NewPublisher(f, codec.Documents{}, r, &timer.Manual{}), config: a, relay: r}
}

// withWeight returns an edit that sets the weight of a team.
func withWeight(w float64) func(configurator.Document) configurator.Document {
	return func(d configurator.Document) configurator.Document {
		return d.WithTeam(configurator.Team{Name: "routing", Weight: w})
	}
}

// Guards against two concurrent edits that are both reported as accepted, whether they differ or are the same.
func TestRacingOperators(t *testing.T) {
	c := qt.New(t)
	for _, weights := range [][2]float64{{1, 2}, {1, 1}} {
		f := &fakeStore{}
		a, b := newOperator(f), newOperator(f)
		var other publisher.Result
		f.beforeWrite = func() {
			f.beforeWrite = nil
			other = b.Edit(context.Background(), 0, withWeight(weights[1]))
		}
		mine := a.Edit(context.Background(), 0, withWeight(weights[0]))
		c.Assert(other.Accepted(), qt.IsTrue)
		c.Assert(mine.Accepted(), qt.IsFalse)
		c.Assert(mine.Edit, qt.Equals, configurator.Conflicting)
		c.Assert(a.config.Current().Revision(), qt.Equals, a.relay.Current(distributor.Config).Revision())
	}
}

// Guards against an edit that is in force at one node but not stored, or stored but never in force, when the process
// that applies it is killed or loses its connection at any step.
func TestKilledAtEachStepOfAnApply(t *testing.T) {
	var out strings.Builder
	steps := []struct {
		name string
		fail func(*fakeStore)
	}{
		{name: "before the read", fail: func(f *fakeStore) { f.get = storer.Unavailable }},
		{name: "between read and write", fail: func(f *fakeStore) { f.refuse = true }},
		{name: "after the write, before its answer", fail: func(f *fakeStore) { f.lost = true }},
		{name: "after the answer", fail: func(*fakeStore) {}},
	}
	for _, step := range steps {
		f := &fakeStore{}
		first := newOperator(f)
		first.Edit(context.Background(), 0, withWeight(1))
		step.fail(f)
		result := first.Edit(context.Background(), 0, withWeight(2))
		f.get, f.lost, f.refuse = 0, false, false
		// The next root is another process, which reads the stored document.
		next := newOperator(f)
		next.Refresh(context.Background())
		fmt.Fprintf(&out, "%s: accepted %v, outcome %s, in force here %d, at the next root %d\n", step.name,
			result.Accepted(), result.Outcome, first.config.Current().Revision(), next.config.Current().Revision())
	}
	goldie.New(t).Assert(t, "killed", []byte(out.String()))
}
