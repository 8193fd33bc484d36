package executor

import "github.com/mimosalb/mimosalb/internal/identifier"

// PinnedToOther reports whether a queued or running call is pinned to a weight version other than v.
func (e *Executor) PinnedToOther(v identifier.Version) bool {
	found := false
	e.jobs.Each(func(_ identifier.Attempt, j job) bool {
		found = j.call.Version != 0 && j.call.Version != v
		return !found
	})
	return found
}
