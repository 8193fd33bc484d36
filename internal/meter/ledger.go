package meter

import (
	"cmp"
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Receipt names an attempt whose record an agent keeps until it is confirmed.
type Receipt struct {
	Attempt identifier.Attempt
	// Agent is the address of the agent.
	Agent string
}

// lineKey identifies a line within a window.
type lineKey struct {
	team   identifier.Team
	origin Window
}

// ledger is what a meter has counted into one window. The meter's lock guards it.
type ledger struct {
	lines    map[lineKey]*Figures
	receipts []Receipt
	// flushed is the number of receipts whose requests are in the stored value.
	flushed int
	// changes counts the changes of lines and receipts, stored those that the stored value has.
	changes uint64
	stored  uint64
	// applied is the stored value; sent is a written value that is not known to be stored.
	applied WindowUsage
	sent    draft
}

// draft is a value on its way to the key-value service.
type draft struct {
	value   WindowUsage
	changes uint64
}

func newLedger() *ledger { return &ledger{lines: make(map[lineKey]*Figures)} }

func (l *ledger) add(k lineKey, f Figures) {
	line, ok := l.lines[k]
	if !ok {
		line = &Figures{}
		l.lines[k] = line
	}
	*line = line.WithAdded(f)
	l.changes++
}

func (l *ledger) dirty() bool { return l.changes != l.stored }

// draft returns the value to write next.
func (l *ledger) draft(w Window, node identifier.Node, seq uint64) draft {
	v := WindowUsage{Node: node, Window: w, Seq: seq}
	for k, f := range l.lines {
		v.Lines = append(v.Lines, Line{Team: k.team, Origin: k.origin, Figures: *f})
	}
	SortLines(v.Lines)
	for _, r := range l.receipts {
		v.Requests = append(v.Requests, r.Attempt.Request)
	}
	slices.Sort(v.Requests)
	v.Requests = slices.Compact(v.Requests)
	return draft{value: v, changes: l.changes}
}

// apply takes over the stored value. It need not be the last one that was written: the answer to an earlier write may
// have been lost.
func (l *ledger) apply(v WindowUsage) {
	if v.Seq == l.applied.Seq {
		return
	}
	l.applied = v
	if v.Seq == l.sent.value.Seq {
		l.stored = l.sent.changes
	}
	stored := make(map[identifier.Request]bool, len(v.Requests))
	for _, r := range v.Requests {
		stored[r] = true
	}
	l.flushed = 0
	for l.flushed < len(l.receipts) && stored[l.receipts[l.flushed].Attempt.Request] {
		l.flushed++
	}
}

// moveTo gives the counts and receipts that are not stored to another ledger.
func (l *ledger) moveTo(next *ledger) {
	rest := make(map[lineKey]Figures)
	for k, f := range l.lines {
		rest[k] = *f
	}
	for _, line := range l.applied.Lines {
		k := lineKey{team: line.Team, origin: line.Origin}
		rest[k] = rest[k].WithRemoved(line.Figures)
	}
	clear(l.lines)
	for _, line := range l.applied.Lines {
		f := line.Figures
		l.lines[lineKey{team: line.Team, origin: line.Origin}] = &f
	}
	for k, f := range rest {
		if f != (Figures{}) {
			next.add(k, f)
		}
	}
	if late := l.receipts[l.flushed:]; len(late) > 0 {
		next.receipts = append(next.receipts, late...)
		next.changes++
	}
	l.receipts = l.receipts[:l.flushed]
	l.stored = l.changes
}

// SortLines orders lines by team and origin.
func SortLines(lines []Line) {
	slices.SortFunc(lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Origin, b.Origin))
	})
}
