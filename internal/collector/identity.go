// Package collector owns training runs: submitted groups, their rollouts, and the hand-over of finished groups to the
// trainer, once each.
package collector

import (
	"fmt"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// RunID names a training run.
type RunID string

// Duty returns the duty of the run's owner.
func (r RunID) Duty() identifier.Duty { return identifier.Duty("run-" + string(r)) }

// Group identifies the samples of one prompt by the submission that brought it and the place in it.
type Group struct {
	Submission uint64
	Index      int
}

// BatchID identifies a batch. The fence is that of the owner's term, so that two owners never use one identity.
type BatchID struct {
	Run   RunID
	Seq   uint64
	Fence identifier.Fence
}

// String returns the identity with its parts joined by slashes.
func (b BatchID) String() string { return fmt.Sprintf("%s/%d/%d", b.Run, b.Fence, b.Seq) }
