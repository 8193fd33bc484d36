package batcher

import (
	"bytes"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// PartialText is the text that an item without a result has so far, or a later part of it. It is immutable.
type PartialText struct {
	Item identifier.Item
	// From is the number of events of the text before Text.
	From int
	Text [][]byte
	// Last is the number of the last event in Text.
	Last     int
	Versions []identifier.Version
	// Release is the software version of the target that generated the text.
	Release identifier.Release
	// Whole is set when the text is complete and only the score is missing.
	Whole bool
}

// RestoreTexts sets the partial texts of waiting items to those that an earlier job has. It ignores a text that contains
// a weight version older than Spec.Least. The items wait from now on.
func (j *Job) RestoreTexts(parts []PartialText, now time.Duration) {
	j.lock.Lock()
	defer j.lock.Unlock()
	j.restoreTexts(parts, false, now)
}

// RestoreSavedTexts sets the partial texts of waiting items to those that an earlier owner of the job has saved. The items wait
// from now on.
func (j *Job) RestoreSavedTexts(parts []PartialText, now time.Duration) {
	j.lock.Lock()
	defer j.lock.Unlock()
	j.restoreTexts(parts, true, now)
}

// restoreTexts sets the partial texts of waiting items. The caller holds the lock.
func (j *Job) restoreTexts(parts []PartialText, saved bool, now time.Duration) {
	for _, part := range parts {
		i, ok := j.byID[part.Item]
		old := slices.ContainsFunc(part.Versions, func(v identifier.Version) bool { return v < j.spec.Least })
		if p := &j.items[i]; ok && !old && p.stage == stageWaiting && len(p.events) == 0 {
			p.events, p.lastEvent, p.versions, p.complete = part.Text, part.Last, slices.Clone(part.Versions), part.Whole
			p.release, p.notBefore = part.Release, max(p.notBefore, now)
			if saved {
				p.saved = len(p.events)
			}
		}
	}
}

// PartialTexts returns the texts of the items that have no result yet.
func (j *Job) PartialTexts() []PartialText {
	j.lock.Lock()
	defer j.lock.Unlock()
	var parts []PartialText
	for i, p := range j.items {
		if p.stage != stageEnded && len(p.events) > 0 {
			parts = append(parts, j.partialText(i))
		}
	}
	return parts
}

// ReusableTexts returns the texts of the items that occur unchanged in another job. A completed item is scored again
// there.
func (j *Job) ReusableTexts(next Spec) []PartialText {
	again := make(map[identifier.Item]bool)
	spec := j.Spec()
	for _, item := range next.Items {
		if i, ok := j.byID[item.ID]; ok && bytes.Equal(item.Body, spec.Items[i].Body) {
			again[item.ID] = true
		}
	}
	if len(again) == 0 {
		return nil
	}
	reusable := slices.DeleteFunc(j.PartialTexts(), func(p PartialText) bool { return !again[p.Item] })
	j.lock.Lock()
	defer j.lock.Unlock()
	for _, r := range slices.Concat(j.durable, j.pending) {
		if r.State == Completed && again[r.Item] {
			reusable = append(reusable, PartialText{Item: r.Item, Text: [][]byte{r.Output}, Versions: slices.Clone(r.Versions), Whole: true})
		}
	}
	return reusable
}
