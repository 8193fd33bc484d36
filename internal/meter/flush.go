package meter

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// dirty returns the windows with counts or receipts that are not stored, in ascending order.
func (m *Meter) dirty() []Window {
	m.lock.Lock()
	defer m.lock.Unlock()
	var windows []Window
	for w, l := range m.windows {
		if l.dirty() {
			windows = append(windows, w)
		}
	}
	slices.Sort(windows)
	return windows
}

// applyStored records the value that the store holds for a window and reports whether the window has unstored changes.
func (m *Meter) applyStored(w Window, v WindowUsage) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	l := m.ledger(w)
	l.apply(v)
	return l.dirty()
}

// nextWrite returns the next value to write for a window and keeps it until the outcome of the write is known.
func (m *Meter) nextWrite(w Window) WindowUsage {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.seq++
	l := m.ledger(w)
	l.sent = l.prepareWrite(w, m.node, m.seq)
	return l.sent.value
}

// closeThrough records that w and all windows before it are closed and accept no more counts.
func (m *Meter) closeThrough(w Window) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.closed = max(m.closed, w)
}

// moveUnstored moves the unstored counts of a closed window to the current window, as corrections. The caller must have
// read the stored value after the window was closed.
func (m *Meter) moveUnstored(w Window, now time.Time) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.ledger(w).moveUnstoredTo(m.ledger(max(m.calendar.Window(now), m.closed+1)))
}

// setTakenOver stops the meter after another process has taken over its records.
func (m *Meter) setTakenOver() {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.takenOver = true
	m.windows, m.awaited = make(map[Window]*ledger), nil
}

// pendingQueries returns the query for each agent: it confirms receipts of stored counts and requests awaited records.
func (m *Meter) pendingQueries() map[string]Query {
	m.lock.Lock()
	defer m.lock.Unlock()
	queries := make(map[string]Query)
	for _, l := range m.windows {
		for _, r := range l.receipts[:l.storedReceipts] {
			queries[r.Agent] = queries[r.Agent].withConfirm(m.node, r.Attempt)
		}
	}
	for _, w := range m.awaited {
		queries[w.receipt.Agent] = queries[w.receipt.Agent].withRequest(m.node, RecordRequest{Attempt: w.receipt.Attempt, From: w.from})
	}
	return queries
}

// dropConfirmed drops the receipts that an agent has confirmed, and the ledgers of closed windows without receipts.
func (m *Meter) dropConfirmed(agent string, attempts []identifier.Attempt) {
	m.lock.Lock()
	defer m.lock.Unlock()
	confirmed := make(map[identifier.Attempt]bool, len(attempts))
	for _, a := range attempts {
		confirmed[a] = true
	}
	for w, l := range m.windows {
		kept, storedReceipts := l.receipts[:0], 0
		for i, r := range l.receipts {
			if i < l.storedReceipts && r.Agent == agent && confirmed[r.Attempt] {
				continue
			}
			if i < l.storedReceipts {
				storedReceipts++
			}
			kept = append(kept, r)
		}
		l.receipts, l.storedReceipts = kept, storedReceipts
		if w <= m.closed && len(l.receipts) == 0 && !l.dirty() {
			delete(m.windows, w)
		}
	}
}
