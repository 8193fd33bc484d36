package router

import (
	"github.com/cespare/xxhash/v2"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// prefixLengths are the lengths in bytes at which the prefixes of prompts are compared. Prompts with the same system
// prompt or few-shot examples share prefixes of about these sizes.
var prefixLengths = [...]int{128, 512, 2048, 8192}

// prefixLevels is the number of prefix lengths.
const prefixLevels = len(prefixLengths)

// Prefix holds the hashes of a prompt's prefixes, one for each of prefixLengths that the prompt reaches.
type Prefix struct {
	hashes [prefixLevels]uint64
	levels int
}

// NewPrefix returns the hashes of the prefixes of a prompt.
func NewPrefix(prompt string) Prefix {
	var p Prefix
	for i, n := range prefixLengths {
		if len(prompt) < n {
			break
		}
		p.hashes[i] = xxhash.Sum64String(prompt[:n])
		p.levels = i + 1
	}
	return p
}

const (
	// holdersPerPrefix is the number of targets that are stored for one prefix.
	holdersPerPrefix = 2
	// maxPrefixesPerGeneration bounds the prefixes in each of the two generations of a prefixTable.
	maxPrefixesPerGeneration = 1 << 15
)

// prefixTable stores which targets probably have which prefixes in their cache. Its sources are the entry's own choices
// and cache events, which arrive late and may be lost. When the current generation is full, it becomes the previous
// one, and the previous one is dropped.
type prefixTable struct {
	current, previous map[uint64][holdersPerPrefix]identifier.Target
}

// addAll records that a target has all prefixes of a prompt in its cache.
func (t *prefixTable) addAll(p Prefix, id identifier.Target) {
	for _, h := range p.hashes[:p.levels] {
		t.add(h, id)
	}
}

func (t *prefixTable) add(hash uint64, id identifier.Target) {
	if t.current == nil {
		t.current = make(map[uint64][holdersPerPrefix]identifier.Target)
	}
	row, ok := t.current[hash]
	if !ok {
		row = t.previous[hash]
		if len(t.current) >= maxPrefixesPerGeneration {
			t.previous, t.current = t.current, make(map[uint64][holdersPerPrefix]identifier.Target)
		}
	}
	if row[0] != id {
		row[0], row[1] = id, row[0]
	}
	t.current[hash] = row
}

// remove records that a target no longer has a prefix in its cache.
func (t *prefixTable) remove(hash uint64, id identifier.Target) {
	for _, generation := range []map[uint64][holdersPerPrefix]identifier.Target{t.current, t.previous} {
		row, ok := generation[hash]
		if !ok {
			continue
		}
		for i, h := range row {
			if h == id {
				row[i] = ""
			}
		}
		generation[hash] = row
	}
}

// holders returns the targets that probably have the longest known prefix of the prompt in their cache.
func (t *prefixTable) holders(p Prefix) [holdersPerPrefix]identifier.Target {
	for i := p.levels - 1; i >= 0; i-- {
		if row := t.holdersOf(p.hashes[i]); row != ([holdersPerPrefix]identifier.Target{}) {
			return row
		}
	}
	return [holdersPerPrefix]identifier.Target{}
}

// cachedBytes returns how many bytes of the prompt a target probably has in its cache.
func (t *prefixTable) cachedBytes(p Prefix, id identifier.Target) identifier.Bytes {
	for i := p.levels - 1; i >= 0; i-- {
		row := t.holdersOf(p.hashes[i])
		if row[0] == id || row[1] == id {
			return identifier.Bytes(prefixLengths[i])
		}
	}
	return 0
}

func (t *prefixTable) holdersOf(hash uint64) [holdersPerPrefix]identifier.Target {
	if row, ok := t.current[hash]; ok {
		return row
	}
	return t.previous[hash]
}
