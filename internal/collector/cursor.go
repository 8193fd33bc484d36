package collector

import (
	"maps"
	"slices"
)

// Cursor records which groups the trainer has acknowledged. It is immutable; the zero value is that of a new run.
type Cursor struct {
	// Batch is the last batch that the cursor covers.
	Batch BatchID
	// Next is the number of the next submission.
	Next uint64
	// Groups counts the acknowledged groups.
	Groups int
	// Done holds a bitmap of the acknowledged groups for each submission that is not completely acknowledged.
	Done map[uint64][]uint64
}

// Has reports whether g is acknowledged. Its submission must not be completely acknowledged.
func (c Cursor) Has(g Group) bool {
	row := c.Done[g.Submission]
	return g.Index/64 < len(row) && row[g.Index/64]&(1<<(g.Index%64)) != 0
}

// WithBatch returns a copy of c that covers batches up to id.
func (c Cursor) WithBatch(id BatchID) Cursor {
	c.Batch = id
	return c
}

// WithNext returns a copy of c in which submissions below n have been accepted.
func (c Cursor) WithNext(n uint64) Cursor {
	c.Next = max(c.Next, n)
	return c
}

// WithGroups returns a copy of c in which the groups are acknowledged. Groups that were acknowledged before are not
// counted again.
func (c Cursor) WithGroups(gs ...Group) Cursor {
	c.Done = maps.Clone(c.Done)
	if c.Done == nil {
		c.Done = make(map[uint64][]uint64)
	}
	cloned := make(map[uint64]bool)
	for _, g := range gs {
		row := c.Done[g.Submission]
		if !cloned[g.Submission] {
			row = slices.Clone(row)
			cloned[g.Submission] = true
		}
		for len(row) <= g.Index/64 {
			row = append(row, 0)
		}
		bit := uint64(1) << (g.Index % 64)
		if row[g.Index/64]&bit == 0 {
			row[g.Index/64] |= bit
			c.Groups++
		}
		c.Done[g.Submission] = row
	}
	return c
}

// WithoutSubmission returns a copy of c without the bitmap of a completely acknowledged submission.
func (c Cursor) WithoutSubmission(n uint64) Cursor {
	c.Done = maps.Clone(c.Done)
	delete(c.Done, n)
	return c
}
