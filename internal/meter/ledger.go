package meter

import (
	"cmp"
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Receipt identifies an attempt whose record an agent holds until the record is confirmed.
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

// ledger holds the counts of a meter for one window. The meter's lock guards it.
type ledger struct {
	lines    map[lineKey]*Figures
	receipts []Receipt
	// storedReceipts is the number of leading receipts whose requests are in the stored value.
	storedReceipts int
	// changes counts the changes of lines and receipts, storedChanges those that the stored value includes.
	changes       uint64
	storedChanges uint64
	// storedUsage is the stored value; sent is the value of the last write, which is not known to be stored.
	storedUsage WindowUsage
	sent        pendingWrite
}

// pendingWrite is a value to be written to the key-value service, with the number of changes that it includes.
type pendingWrite struct {
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

func (l *ledger) dirty() bool { return l.changes != l.storedChanges }

// prepareWrite returns the value to write next.
func (l *ledger) prepareWrite(w Window, node identifier.Node, seq uint64) pendingWrite {
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
	return pendingWrite{value: v, changes: l.changes}
}

// apply records the stored value. It need not be the last value written: the response to an earlier write may have been
// lost.
func (l *ledger) apply(v WindowUsage) {
	if v.Seq == l.storedUsage.Seq {
		return
	}
	l.storedUsage = v
	if v.Seq == l.sent.value.Seq {
		l.storedChanges = l.sent.changes
	}
	stored := make(map[identifier.Request]bool, len(v.Requests))
	for _, r := range v.Requests {
		stored[r] = true
	}
	l.storedReceipts = 0
	for l.storedReceipts < len(l.receipts) && stored[l.receipts[l.storedReceipts].Attempt.Request] {
		l.storedReceipts++
	}
}

// moveUnstoredTo moves the counts and receipts that are not stored to another ledger.
func (l *ledger) moveUnstoredTo(next *ledger) {
	unstored := make(map[lineKey]Figures)
	for k, f := range l.lines {
		unstored[k] = *f
	}
	for _, line := range l.storedUsage.Lines {
		k := lineKey{team: line.Team, origin: line.Origin}
		unstored[k] = unstored[k].WithRemoved(line.Figures)
	}
	clear(l.lines)
	for _, line := range l.storedUsage.Lines {
		f := line.Figures
		l.lines[lineKey{team: line.Team, origin: line.Origin}] = &f
	}
	for k, f := range unstored {
		if f != (Figures{}) {
			next.add(k, f)
		}
	}
	if late := l.receipts[l.storedReceipts:]; len(late) > 0 {
		next.receipts = append(next.receipts, late...)
		next.changes++
	}
	l.receipts = l.receipts[:l.storedReceipts]
	l.storedChanges = l.changes
}

// SortLines sorts lines by team and origin.
func SortLines(lines []Line) {
	slices.SortFunc(lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Origin, b.Origin))
	})
}
