package meter

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// recoverRecord awaits the record best, which belongs to a meter that was taken over, unless the meter has counted or
// awaits its request already. receipts are those of all known records of the request; the first one is that of best.
func (m *Meter) recoverRecord(best Record, receipts []Receipt) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.takenOver || m.tracks(best.Attempt.Request) {
		return
	}
	m.awaited = append(m.awaited, awaitedRecord{receipt: receipts[0], others: receipts[1:], from: best.Owner})
}

// confirmCounted adds receipts of a request that another node has counted, so that its records are confirmed. Like all
// receipts, they are confirmed after the next write; one path for all receipts costs nothing extra.
func (m *Meter) confirmCounted(ended time.Time, receipts []Receipt) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.takenOver || m.tracks(receipts[0].Attempt.Request) {
		return
	}
	l := m.ledger(max(m.calendar.Window(ended), m.closed+1))
	l.receipts = append(l.receipts, receipts...)
	l.changes++
}

// tracks reports whether the meter has receipts of the request or awaits its record.
func (m *Meter) tracks(r identifier.Request) bool {
	for _, l := range m.windows {
		if slices.ContainsFunc(l.receipts, func(x Receipt) bool { return x.Attempt.Request == r }) {
			return true
		}
	}
	return slices.ContainsFunc(m.awaited, func(w awaitedRecord) bool { return w.receipt.Attempt.Request == r })
}
