// Package collector manages training runs: it stores submitted groups, runs their rollouts, and delivers each finished
// group to the trainer once.
package collector

import (
	"fmt"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// RunID names a training run.
type RunID string

// dutyPrefix precedes the name of a run in that of its duty.
const dutyPrefix = "run-"

// Duty returns the duty whose holder owns the run.
func (r RunID) Duty() identifier.Duty { return identifier.Duty(dutyPrefix + string(r)) }

// Group identifies the samples of one prompt by the number of its submission and its index there.
type Group struct {
	Submission uint64
	Index      int
}

// BatchID identifies a batch. The fence is that of the owner's term, so that two owners never use the same identity.
type BatchID struct {
	Run   RunID
	Seq   uint64
	Fence identifier.Fence
}

// String returns run, fence and sequence number, joined by slashes.
func (b BatchID) String() string { return fmt.Sprintf("%s/%d/%d", b.Run, b.Fence, b.Seq) }
