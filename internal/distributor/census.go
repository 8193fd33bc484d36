package distributor

import (
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// behindLimit bounds the length of Census.Behind and so the size of a report.
const behindLimit = 8

// Census counts the nodes of a subtree that have adopted the highest revision of the configuration in it. Sum is the
// sum of the hashes of their addresses: together with the count it shows whether they are exactly the listed nodes,
// even when a node that changed its parent is counted twice and another is missing. It is immutable; the zero value
// counts no node.
type Census struct {
	Revision identifier.Revision
	Nodes    int
	Sum      uint64
	// Behind lists the addresses of some nodes with a lower revision or without a report.
	Behind []string
}

// NewCensus returns the census of the node at address.
func NewCensus(address string, r identifier.Revision) Census {
	return Census{Revision: r, Nodes: 1, Sum: hash(address)}
}

// With returns a copy of c that includes other, the census of the subtree whose root is the node at address child.
func (c Census) With(child string, other Census) Census {
	switch {
	case other.Revision == c.Revision:
		c.Nodes += other.Nodes
		c.Sum += other.Sum
		return c.WithBehind(other.Behind...)
	case other.Revision < c.Revision:
		return c.WithBehind(child).WithBehind(other.Behind...)
	default:
		return other.WithBehind(c.Behind...)
	}
}

// WithBehind returns a copy of c that also lists the given nodes, up to behindLimit nodes in all.
func (c Census) WithBehind(nodes ...string) Census {
	c.Behind = slices.Clone(c.Behind)
	for _, n := range nodes {
		if len(c.Behind) < behindLimit && !slices.Contains(c.Behind, n) {
			c.Behind = append(c.Behind, n)
		}
	}
	return c
}

// Covers reports whether exactly the given nodes have adopted revision r or a later one.
func (c Census) Covers(members []Member, r identifier.Revision) bool {
	all := Census{}
	for _, m := range members {
		all.Nodes++
		all.Sum += hash(m.Address)
	}
	return c.Revision >= r && c.Nodes == all.Nodes && c.Sum == all.Sum
}
