package updater

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// fanOut is the number of peers that pull a chunk from one agent. Two keep an agent's upload at twice the weights'
// size; the depth grows with the logarithm of the region's size.
const fanOut = 2

// Member is an agent that takes part in a transfer.
type Member struct {
	Target  identifier.Target
	Zone    identifier.Zone
	Region  identifier.Region
	Address string
}

// Tree is the layout of one region's agents. It is immutable and the same for every agent that knows the same members.
type Tree struct {
	members []Member
}

// NewTree returns the layout of the members of a region: by availability zone, then by hash.
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
// store. The tree is turned by one place for each chunk, so that the agents share the uploads and the fetches.
func (t Tree) Ancestors(self identifier.Target, chunk int) []Member {
	n := len(t.members)
	at := slices.IndexFunc(t.members, func(m Member) bool { return m.Target == self })
	if at < 0 {
		return nil
	}
	var above []Member
	for p := (at + chunk) % n; p > 0; {
		p = (p - 1) / fanOut
		above = append(above, t.members[((p-chunk)%n+n)%n])
	}
	return above
}

func hash(t identifier.Target) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(t))
	return h.Sum64()
}
