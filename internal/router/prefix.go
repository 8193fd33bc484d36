package router

import (
	"github.com/cespare/xxhash/v2"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// prefixLengths are the lengths in bytes at which prompts are compared. System prompts and few-shot examples share
// beginnings of about these sizes.
var prefixLengths = [...]int{128, 512, 2048, 8192}

// prefixLevels is the number of compared lengths.
const prefixLevels = len(prefixLengths)

// Prefix holds the hashes of a prompt's beginnings, one for each compared length that the prompt has.
type Prefix struct {
	hashes [prefixLevels]uint64
	levels int
}

// NewPrefix returns the hashes of the beginnings of a prompt.
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
	// holders is the number of targets that are remembered for one beginning.
	holders = 2
	// prefixCapacity is the number of beginnings in each of the two generations of the table.
	prefixCapacity = 1 << 15
)

// prefixTable remembers which targets probably have which beginnings in their cache: from the entry's own choices and
// from cache events, which come late and with gaps. It forgets in two generations.
type prefixTable struct {
	young, old map[uint64][holders]identifier.Target
}

// note records that a target has the beginnings of a prompt.
func (t *prefixTable) note(p Prefix, id identifier.Target) {
	for _, h := range p.hashes[:p.levels] {
		t.add(h, id)
	}
}

func (t *prefixTable) add(hash uint64, id identifier.Target) {
	if t.young == nil {
		t.young = make(map[uint64][holders]identifier.Target)
	}
	row, ok := t.young[hash]
	if !ok {
		row = t.old[hash]
		if len(t.young) >= prefixCapacity {
			t.old, t.young = t.young, make(map[uint64][holders]identifier.Target)
		}
	}
	if row[0] != id {
		row[0], row[1] = id, row[0]
	}
	t.young[hash] = row
}

// remove records that a target no longer has a beginning.
func (t *prefixTable) remove(hash uint64, id identifier.Target) {
	for _, generation := range []map[uint64][holders]identifier.Target{t.young, t.old} {
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

// holders returns the targets that probably have the longest known beginning.
func (t *prefixTable) holders(p Prefix) [holders]identifier.Target {
	for i := p.levels - 1; i >= 0; i-- {
		if row := t.row(p.hashes[i]); row != ([holders]identifier.Target{}) {
			return row
		}
	}
	return [holders]identifier.Target{}
}

// cached returns how many bytes of the prompt a target probably has in its cache.
func (t *prefixTable) cached(p Prefix, id identifier.Target) identifier.Bytes {
	for i := p.levels - 1; i >= 0; i-- {
		row := t.row(p.hashes[i])
		if row[0] == id || row[1] == id {
			return identifier.Bytes(prefixLengths[i])
		}
	}
	return 0
}

func (t *prefixTable) row(hash uint64) [holders]identifier.Target {
	if row, ok := t.young[hash]; ok {
		return row
	}
	return t.old[hash]
}
