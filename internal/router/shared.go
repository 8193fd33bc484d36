package router

import "github.com/mimosalb/mimosalb/internal/identifier"

const (
	// holdersPerPart is the number of targets that are stored for one shared part. The items of a group fill about three targets.
	holdersPerPart = 8
	// maxPartsPerGeneration bounds the parts in each of the two generations of a sharedTable, about 150 bytes each. A target's cache holds
	// the parts of a few jobs.
	maxPartsPerGeneration = 1 << 11
)

// sharedTable holds which targets probably have which shared parts of prompts in their cache, by this entry's own choices. When the
// current generation is full, it becomes the previous one, and the previous one is dropped. The zero value holds none.
type sharedTable struct {
	current, previous map[uint64]holders
}

// holders are the targets to which a part was sent, the next one in place of the oldest.
type holders struct {
	targets [holdersPerPart]identifier.Target
	next    int8
}

func (t *sharedTable) add(key uint64, id identifier.Target) {
	if key == 0 {
		return
	}
	row, ok := t.current[key]
	if !ok {
		row = t.previous[key]
		if t.current == nil || len(t.current) >= maxPartsPerGeneration {
			t.previous, t.current = t.current, make(map[uint64]holders)
		}
	}
	for _, held := range row.targets {
		if held == id {
			t.current[key] = row
			return
		}
	}
	row.targets[row.next] = id
	row.next = (row.next + 1) % holdersPerPart
	t.current[key] = row
}

// targets returns the targets that probably have a part; the names of others are empty.
func (t *sharedTable) targets(key uint64) [holdersPerPart]identifier.Target {
	if row, ok := t.current[key]; ok {
		return row.targets
	}
	return t.previous[key].targets
}

func (t *sharedTable) holds(key uint64, id identifier.Target) bool {
	for _, held := range t.targets(key) {
		if held == id {
			return true
		}
	}
	return false
}
