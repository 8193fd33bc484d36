package collector

import "github.com/mimosalb/mimosalb/internal/identifier"

// Complete is a group with all its samples. It is immutable.
type Complete struct {
	Group   Group
	Samples []Sample
}

// Batch is a set of complete groups that are delivered together. It is immutable.
type Batch struct {
	ID BatchID
	// Step numbers the step that the groups belong to, from 1; Last marks its last batch.
	Step   int
	Last   bool
	Groups []Complete
}

// names returns the identities of the batch's groups.
func (b Batch) names() []Group {
	gs := make([]Group, 0, len(b.Groups))
	for _, g := range b.Groups {
		gs = append(gs, g.Group)
	}
	return gs
}

// HeldBatch is a batch that the trainer has, with its groups.
type HeldBatch struct {
	Batch  BatchID
	Groups []Group
}

// Statement is the trainer's account of the batches that it has and that are not confirmed yet. Each statement has a
// larger number than the one before; a batch that it does not name is not held and will not be taken any more.
type Statement struct {
	Number uint64
	// Fence is the largest fencing number that the trainer has seen in an answer. An owner with a smaller one has been
	// replaced, whatever its clock says.
	Fence identifier.Fence
	Held  []HeldBatch
}
