package meter

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// inherit wants the record best, which belongs to a meter that was taken over, unless the meter has counted its request
// or wants it already. receipts are those of all known records of the request, the first one that of best.
func (m *Meter) inherit(best Record, receipts []Receipt) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.deposed || m.holds(best.Attempt.Request) {
		return
	}
	m.wanted = append(m.wanted, want{receipt: receipts[0], lost: receipts[1:], from: best.Owner})
}

// dismiss notes receipts of a request that is counted elsewhere, so that the records are confirmed. They are confirmed
// after the next write only, which costs nothing and keeps one way for all receipts.
func (m *Meter) dismiss(ended time.Time, receipts []Receipt) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.deposed || m.holds(receipts[0].Attempt.Request) {
		return
	}
	l := m.ledger(max(m.calendar.Window(ended), m.closed+1))
	l.receipts = append(l.receipts, receipts...)
	l.changes++
}

// holds reports whether the meter has receipts of the request or wants its record.
func (m *Meter) holds(r identifier.Request) bool {
	for _, l := range m.windows {
		if slices.ContainsFunc(l.receipts, func(x Receipt) bool { return x.Attempt.Request == r }) {
			return true
		}
	}
	return slices.ContainsFunc(m.wanted, func(w want) bool { return w.receipt.Attempt.Request == r })
}
