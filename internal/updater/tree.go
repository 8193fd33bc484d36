package updater

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// fanOut is the number of peers that fetch a chunk from one agent. With 2 an agent uploads at most twice the size of
// the weights, and the depth of the tree grows with the logarithm of the number of agents in the region.
const fanOut = 2

// Member is an agent that takes part in a transfer.
type Member struct {
	Target  identifier.Target
	Zone    identifier.Zone
	Region  identifier.Region
	Address string
}

// Tree arranges the agents of one region. It is immutable and the same for every agent that knows the same members.
type Tree struct {
	members []Member
}

// NewTree returns the tree of the members in a region, ordered by availability zone and then by hash.
func NewTree(region identifier.Region, members []Member) Tree {
	var t Tree
	for _, m := range members {
		if m.Region == region {
			t.members = append(t.members, m)
		}
	}
	slices.SortFunc(t.members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(hash(a.Target), hash(b.Target)), cmp.Compare(a.Target, b.Target))
	})
	return t
}

// Ancestors returns the agents from which self gets a chunk, nearest first; none when self fetches it from the weight
// store. The tree is rotated by one position per chunk, so that the agents share the uploads and the fetches.
func (t Tree) Ancestors(self identifier.Target, chunk int) []Member {
	n := len(t.members)
	at := slices.IndexFunc(t.members, func(m Member) bool { return m.Target == self })
	if at < 0 {
		return nil
	}
	var ancestors []Member
	for position := (at + chunk) % n; position > 0; {
		position = (position - 1) / fanOut
		ancestors = append(ancestors, t.members[((position-chunk)%n+n)%n])
	}
	return ancestors
}

func hash(t identifier.Target) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(t))
	return h.Sum64()
}
