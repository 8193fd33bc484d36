package distributor_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// makeMembers returns members in regions of two zones each, with the given numbers of entries and agents per zone.
func makeMembers(regions, entries, agents int) []distributor.Member {
	out := make([]distributor.Member, 0, 2*regions*(entries+agents))
	for z := range 2 * regions {
		for i := range entries + agents {
			out = append(out, distributor.Member{
				Node: identifier.Node(fmt.Sprintf("z%d-n%d", z, i)), Zone: identifier.Zone(fmt.Sprintf("zone-%d", z)),
				Region:  identifier.Region(fmt.Sprintf("region-%d", z/2)),
				Address: fmt.Sprintf("10.0.%d.%d:7000", z, i), Agent: i >= entries,
			})
		}
	}
	return out
}

// require fails the property test unless ok.
func require(t *rapid.T, ok bool, format string, args ...any) {
	if !ok {
		t.Fatalf(format, args...)
	}
}

// Guards against a change of the layout: nodes with an older version of the program would build a different tree.
func TestLayoutIsStable(t *testing.T) {
	l := distributor.NewLayout(makeMembers(2, 3, 2), 2)
	var out strings.Builder
	for _, m := range makeMembers(2, 3, 2) {
		fmt.Fprintf(&out, "%s (role %d):", m.Node, l.Role(m))
		for _, p := range l.Parents(m) {
			fmt.Fprintf(&out, " %s", p.Node)
		}
		fmt.Fprintln(&out)
	}
	goldie.New(t).Assert(t, "layout", []byte(out.String()))
}

// Guards against nodes that no parent relays to, nodes with more children than the fan-out, agents that relay to
// entries, peers in other regions, and a layout that depends on the order of the VM list.
func TestLayoutReachesEveryNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := makeMembers(rapid.IntRange(1, 3).Draw(t, "regions"), rapid.IntRange(0, 30).Draw(t, "entries"),
			rapid.IntRange(1, 30).Draw(t, "agents"))
		fanOut := rapid.IntRange(1, 16).Draw(t, "fan-out")
		l := distributor.NewLayout(members, fanOut)
		shuffled := rapid.Permutation(members).Draw(t, "shuffled")
		other := distributor.NewLayout(shuffled, fanOut)
		candidates := l.Candidates()
		children := 0
		for _, m := range members {
			require(t, slices.Equal(other.Parents(m), l.Parents(m)), "the parents of %s depend on the order of the VM list", m.Node)
			childNodes := l.Children(m)
			children += len(childNodes)
			inZone := slices.DeleteFunc(slices.Clone(childNodes), func(k distributor.Member) bool { return k.Zone != m.Zone })
			require(t, len(inZone) <= fanOut, "%s has %d children in its zone, more than the fan-out", m.Node, len(inZone))
			for _, k := range inZone {
				require(t, !m.Agent || k.Agent, "agent %s relays to entry %s", m.Node, k.Node)
			}
			for _, k := range childNodes {
				require(t, l.Parents(k)[0] == m, "%s is not the first parent of its child %s", m.Node, k.Node)
			}
			for _, p := range l.Peers(m) {
				require(t, p.Region == m.Region, "%s has a peer in another region", m.Node)
			}
		}
		// Every node but the candidates is the child of exactly one node.
		require(t, children == len(members)-len(candidates), "%d nodes have a parent, want all but the candidates", children)
	})
}

// Guards against a document that differs from the original after a delta was applied to the old one.
func TestDiffAndApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOf(rapid.SampledFrom([]string{"{a}", "{bb}", "x\n", "tail", "}", "\n"}))
		old := []byte(strings.Join(pieces.Draw(t, "old"), ""))
		next := []byte(strings.Join(pieces.Draw(t, "next"), ""))
		got, ok := distributor.Apply(old, distributor.Diff(old, next))
		require(t, ok, "the delta could not be applied")
		require(t, string(got) == string(next), "got %q, want %q", got, next)
	})
}

// Guards against a delta as large as the document after a small edit: relays would exceed their share of the traffic.
func TestDiffOfOneElementIsSmall(t *testing.T) {
	c := qt.New(t)
	lines := make([]string, 0, 4000)
	for i := range 4000 {
		lines = append(lines, fmt.Sprintf(`{"name":"team-%d","weight":%d}`, i, i))
	}
	old := strings.Join(lines, ",")
	lines[1234] = `{"name":"team-1234","weight":7}`
	size := 0
	for _, p := range distributor.Diff([]byte(old), []byte(strings.Join(lines, ","))) {
		size += len(p.Data)
	}
	c.Assert(size < 100, qt.IsTrue, qt.Commentf("%d bytes", size))
}

// Guards against a census that covers all nodes although one is missing: a node that changed its parent is counted
// twice and makes the number right.
func TestCensusDetectsDoubleCounting(t *testing.T) {
	c := qt.New(t)
	members := makeMembers(1, 2, 0)
	all, doubleCounted := distributor.Census{}, distributor.Census{}
	for i, m := range members {
		all = all.With(m.Address, distributor.NewCensus(m.Address, 3))
		twice := members[max(i, 1)].Address
		doubleCounted = doubleCounted.With(twice, distributor.NewCensus(twice, 3))
	}
	c.Assert(all.Covers(members, 3), qt.IsTrue)
	c.Assert(all.Covers(members, 4), qt.IsFalse)
	c.Assert(doubleCounted.Nodes, qt.Equals, all.Nodes)
	c.Assert(doubleCounted.Covers(members, 3), qt.IsFalse)
	behind := all.With("10.9.9.9:1", distributor.NewCensus("10.9.9.9:1", 2))
	c.Assert(behind.Behind, qt.DeepEquals, []string{"10.9.9.9:1"})
}
