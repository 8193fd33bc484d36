package demonstrator_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/demonstrator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/standin/store"
	"github.com/mimosalb/mimosalb/internal/standin/switcher"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// testTimeout bounds the waits in the tests of fleets and of keys.
const testTimeout = 20 * time.Second

// newFleet starts a fleet and its key-value service.
func newFleet(c *qt.C, zones ...demonstrator.ZonePlan) (*demonstrator.Fleet, *store.Store) {
	clock := timer.NewSystem()
	c.Cleanup(clock.Close)
	kv := store.NewStore(clock)
	server := httptest.NewServer(kv.Handler())
	c.Cleanup(server.Close)
	f, err := demonstrator.NewFleet(demonstrator.FleetPlan{
		Zones: zones, Period: 200 * time.Millisecond, Store: server.URL, TTL: time.Second,
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(f.Close(), qt.IsNil) })
	return f, kv
}

func zonePlan(name, region string, entries, agents int) demonstrator.ZonePlan {
	return demonstrator.ZonePlan{Location: demonstrator.Location{Zone: name, Region: region}, Entries: entries, Agents: agents}
}

// edit stores a change of the configuration through entry n and returns its revision.
func edit(ctx context.Context, c *qt.C, n *demonstrator.FleetNode) identifier.Revision {
	r := n.Publisher.Edit(ctx, 0, func(d configurator.Document) configurator.Document {
		return d.WithTeam(configurator.Team{Name: "routing", Weight: float64(d.Revision() + 1)})
	})
	c.Assert(r.Accepted(), qt.IsTrue, qt.Commentf("%+v", r))
	return r.Document.Revision()
}

// awaitRoot waits until a node holds the duty of the root and returns it.
func awaitRoot(ctx context.Context, c *qt.C, f *demonstrator.Fleet) *demonstrator.FleetNode {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		if n, ok := f.Root(); ok {
			return n
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			c.Fatal("no node holds the duty of the root")
		}
	}
}

// Guards against entries and agents that do not receive an edit, and against a report that the edit is in force
// everywhere which comes too early or never.
func TestEditReachesEveryNode(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f, _ := newFleet(c, zonePlan("a1", "a", 5, 20), zonePlan("a2", "a", 3, 3), zonePlan("b1", "b", 4, 4))
	awaitRoot(ctx, c, f)
	r := edit(ctx, c, f.Nodes[3])
	_, err := f.AwaitRevision(ctx, r)
	c.Assert(err, qt.IsNil)
	for _, n := range []*demonstrator.FleetNode{f.Nodes[3], f.Nodes[28]} {
		got := n.Distribution.AwaitAdoption(ctx, r)
		c.Assert(got.Complete, qt.IsTrue, qt.Commentf("%+v", got))
		next, err := n.Distribution.Adoption(ctx, r+1)
		c.Assert(err, qt.IsNil)
		c.Assert(next.Complete, qt.IsFalse)
	}
}

// Guards against nodes that receive no further edits after the relay of a zone, the relay of a region or the root crashed.
func TestCrashedRelaysAreBypassed(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f, _ := newFleet(c, zonePlan("a1", "a", 6, 10), zonePlan("a2", "a", 4, 4), zonePlan("b1", "b", 4, 4))
	root := awaitRoot(ctx, c, f)
	_, err := f.AwaitRevision(ctx, edit(ctx, c, f.Nodes[0]))
	c.Assert(err, qt.IsNil)
	layout := f.Nodes[0].Distribution.Layout()
	c.Assert(f.Crash(root), qt.IsNil)
	for _, n := range f.Live() {
		for _, z := range []identifier.Zone{"a1", "a2", "b1"} {
			if relay, ok := layout.ZoneRelay(z); ok && relay.Node == n.VM.Name {
				c.Assert(f.Crash(n), qt.IsNil)
			}
		}
	}
	for _, n := range f.Live() {
		if n.Publisher != nil {
			_, err = f.AwaitRevision(ctx, edit(ctx, c, n))
			c.Assert(err, qt.IsNil)
			return
		}
	}
}

// Guards against nodes that miss a revision, return to an earlier one or do not report theirs during and after an outage
// of the key-value service.
func TestStoreOutage(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	f, kv := newFleet(c, zonePlan("a1", "a", 4, 4), zonePlan("b1", "b", 3, 3))
	awaitRoot(ctx, c, f)
	r := edit(ctx, c, f.Nodes[0])
	_, err := f.AwaitRevision(ctx, r)
	c.Assert(err, qt.IsNil)
	kv.Switches.Set(switcher.Switches{Down: true})
	out := f.Nodes[0].Publisher.Edit(ctx, 0, func(d configurator.Document) configurator.Document { return d.WithPreset(configurator.Peak) })
	c.Assert(out.Accepted(), qt.IsFalse)
	c.Assert(f.Replace(f.Nodes[1]), qt.IsNil)
	// A node that starts while the service is down gets the configuration from the other nodes.
	_, err = f.AwaitRevision(ctx, r)
	c.Assert(err, qt.IsNil)
	kv.Switches.Set(switcher.Switches{})
	for !out.Accepted() && ctx.Err() == nil {
		out = f.Nodes[0].Publisher.Edit(ctx, 0, func(d configurator.Document) configurator.Document { return d.WithPreset(configurator.Peak) })
	}
	_, err = f.AwaitRevision(ctx, r+1)
	c.Assert(err, qt.IsNil)
}
