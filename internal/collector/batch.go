package collector

import "github.com/mimosalb/mimosalb/internal/identifier"

// CompleteGroup is a group with all its samples. It is immutable.
type CompleteGroup struct {
	Group   Group
	Samples []Sample
}

// Batch is a set of complete groups that are delivered together. It is immutable.
type Batch struct {
	ID BatchID
	// Step numbers the step that the groups belong to, from 1; Last marks its last batch.
	Step   int
	Last   bool
	Groups []CompleteGroup
}

// groupIDs returns the identities of the batch's groups.
func (b Batch) groupIDs() []Group {
	ids := make([]Group, 0, len(b.Groups))
	for _, g := range b.Groups {
		ids = append(ids, g.Group)
	}
	return ids
}

// HeldBatch names a batch that the trainer has, with its groups.
type HeldBatch struct {
	Batch  BatchID
	Groups []Group
}

// Statement lists the batches that the trainer has and that are not confirmed yet. Each statement has a larger number
// than the one before. The trainer does not have a batch that the statement omits, and will not accept it later.
type Statement struct {
	Number uint64
	// Fence is the largest fencing number that the trainer has seen in an answer. An owner with a smaller one has been
	// replaced, whatever its clock says.
	Fence identifier.Fence
	Held  []HeldBatch
}
