package batcher

import (
	"cmp"
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// minSavedEvents is the number of events from which a text is saved before its end: a shorter one is generated again
	// in little more time than it takes to read it back.
	minSavedEvents = 32
	// minSavedGrowth is the number of events by which a text has to grow before it is saved again.
	minSavedGrowth = 16
)

// UnsavedTexts returns what the texts of unfinished items gained since they were last saved, the longest texts first, as
// far as it fits into limit bytes. Short texts and small gains are left out.
func (j *Job) UnsavedTexts(limit int) []PartialText {
	j.lock.Lock()
	defer j.lock.Unlock()
	var unsaved []PartialText
	for i := range j.items {
		p := &j.items[i]
		if j.finished || p.stage == stageEnded || len(p.events) < minSavedEvents || len(p.events)-p.saved < minSavedGrowth {
			continue
		}
		part := j.partialText(i)
		part.From, part.Text = p.saved, part.Text[p.saved:]
		unsaved = append(unsaved, part)
	}
	slices.SortFunc(unsaved, func(a, b PartialText) int { return cmp.Compare(b.events(), a.events()) })
	size := 0
	return slices.DeleteFunc(unsaved, func(p PartialText) bool {
		if size+p.size() > limit {
			return true
		}
		size += p.size()
		return false
	})
}

// size returns the size of Text in bytes.
func (p PartialText) size() int {
	size := 0
	for _, event := range p.Text {
		size += len(event)
	}
	return size
}

// MarkSaved records that texts returned by UnsavedTexts are durable.
func (j *Job) MarkSaved(texts []PartialText) {
	j.lock.Lock()
	defer j.lock.Unlock()
	for _, part := range texts {
		// A text that was dropped meanwhile is shorter than what was saved of it.
		if i, ok := j.byID[part.Item]; ok && len(j.items[i].events) >= part.events() && j.items[i].saved == part.From {
			j.items[i].saved = part.events()
		}
	}
}

// partialText returns the text of an item so far. The caller holds the lock.
func (j *Job) partialText(i int) PartialText {
	p := &j.items[i]
	return PartialText{
		Item: j.spec.Items[i].ID, Text: slices.Clone(p.events), Last: p.lastEvent, Versions: slices.Clone(p.versions), Release: p.release,
		Whole: p.complete,
	}
}

// events returns the number of events up to the end of p.
func (p PartialText) events() int { return p.From + len(p.Text) }

// MergeTexts joins texts and their later parts, in the order in which they were saved. A part that begins before the end of
// the text replaces the rest of it; a part that begins after it is left out, because the events between them are missing.
func MergeTexts(parts []PartialText) []PartialText {
	merged := make([]PartialText, 0, len(parts))
	index := make(map[identifier.Item]int, len(parts))
	for _, part := range parts {
		i, ok := index[part.Item]
		if !ok {
			i = len(merged)
			index[part.Item] = i
			merged = append(merged, PartialText{Item: part.Item})
		}
		if have := merged[i].Text; part.From <= len(have) {
			part.Text = slices.Concat(have[:part.From], part.Text)
			part.From = 0
			merged[i] = part
		}
	}
	return slices.DeleteFunc(merged, func(p PartialText) bool { return len(p.Text) == 0 })
}
