package batcher

import (
	"cmp"
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// countResult counts the result of an item and reports whether it completes the item's group.
func (j *Job) countResult(i int) bool {
	group := j.spec.Items[i].Group
	j.groupLeft[group]--
	if j.groupLeft[group] > 0 {
		return false
	}
	j.completeGroups++
	delete(j.carried, group)
	return true
}

// CarryOver marks the groups of which an earlier job has items. A trainer waits for each of them and starts them again
// until they are complete, so their items start first.
func (j *Job) CarryOver(earlier Spec) {
	j.lock.Lock()
	defer j.lock.Unlock()
	known := make(map[identifier.Item]bool, len(earlier.Items))
	for _, item := range earlier.Items {
		known[item.ID] = true
	}
	for _, item := range j.spec.Items {
		if known[item.ID] && j.groupLeft[item.Group] > 0 {
			if j.carried == nil {
				j.carried = make(map[identifier.Group]bool)
			}
			j.carried[item.Group] = true
		}
	}
	slices.SortStableFunc(j.startOrder, func(a, b int) int {
		return cmp.Compare(j.startRank(a), j.startRank(b))
	})
}

// startRank returns the rank of an item among those that wait to be started; lower ranks start first. The caller holds
// the lock.
func (j *Job) startRank(i int) int {
	switch group := j.spec.Items[i].Group; {
	case j.carried[group]:
		return 0
	case j.surplus[group]:
		return 2
	default:
		return 1
	}
}

// StepPending reports whether the trainer can go on once the pending results are durable: they complete a group, at least
// Spec.Desired groups are complete with them, and all that it has carried over.
func (j *Job) StepPending() bool {
	j.lock.Lock()
	defer j.lock.Unlock()
	return j.stepPending
}
