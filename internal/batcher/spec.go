// Package batcher holds batch jobs: the items that a trainer submitted together, their progress and their results.
package batcher

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Spec is a batch job as it was submitted. It is immutable.
type Spec struct {
	ID   identifier.Job
	Team identifier.Team
	// Host and Path are those of the submission and determine the job's route.
	Host string
	Path string
	// Step is the trainer's number of the job.
	Step  int
	Model identifier.Model
	// Least is the oldest weight version that may generate any of the text.
	Least identifier.Version
	// Desired is the number of complete groups that the trainer waits for.
	Desired   int
	Submitted time.Time
	// Revision is that of the configuration by which the job was accepted.
	Revision identifier.Revision
	// Scope is where the bodies and texts of the job may be, by the configuration that accepted it.
	Scope confiner.Scope
	Items []Item
}

// Item is one rollout of a job.
type Item struct {
	ID     identifier.Item
	Group  identifier.Group
	Path   string
	Header map[string]string
	Body   []byte
	// Hint is the expected length of the answer in tokens, which is often far off.
	Hint int
	// Score is the call that scores the text. If it is zero, the item is not scored.
	Score ScoreCall
}

// ScoreCall is the request that scores the text of an item.
type ScoreCall struct {
	ID   identifier.Request
	Host string
	Path string
	Body []byte
}

// State is the final state of an item.
type State int

const (
	// Completed means that the text is complete, and scored if the item has a scoring call.
	Completed State = iota + 1
	// Abandoned means that the item was given up before its text was complete or scored.
	Abandoned
)

// Result is the outcome of an item. It is immutable.
type Result struct {
	Item     identifier.Item
	State    State
	Output   []byte
	Versions []identifier.Version
	Score    string
}

// Equal reports whether two results are the same.
func (r Result) Equal(other Result) bool {
	return r.Item == other.Item && r.State == other.State && bytes.Equal(r.Output, other.Output) &&
		slices.Equal(r.Versions, other.Versions) && r.Score == other.Score
}

// Work returns the expected length of all texts in tokens. An item without a hint counts as one token.
func (s Spec) Work() int {
	work := 0
	for _, item := range s.Items {
		work += max(item.Hint, 1)
	}
	return work
}

// Size returns the size of all bodies, which are nearly all of a large job.
func (s Spec) Size() identifier.Bytes {
	size := 0
	for _, item := range s.Items {
		size += len(item.Body) + len(item.Score.Body)
	}
	return identifier.Bytes(size)
}

// WithoutBodies returns a copy of s whose items and scoring calls have no bodies.
func (s Spec) WithoutBodies() Spec {
	s.Items = slices.Clone(s.Items)
	for i := range s.Items {
		s.Items[i].Body, s.Items[i].Score.Body = nil, nil
	}
	return s
}

// startOrder returns the indices of the items in the order in which they start. The longest are first, because a group
// is complete only when its last item ends, and nearly every group has a long one.
func (s Spec) startOrder() []int {
	indices := make([]int, len(s.Items))
	for i := range indices {
		indices[i] = i
	}
	slices.SortStableFunc(indices, func(a, b int) int { return cmp.Compare(s.Items[b].Hint, s.Items[a].Hint) })
	return indices
}
