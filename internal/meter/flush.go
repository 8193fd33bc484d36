package meter

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// dirty returns the windows with counts or receipts that are not stored, in order.
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

// stored takes over the stored value of a window and reports whether the window still has something to store.
func (m *Meter) stored(w Window, v WindowUsage) bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	l := m.ledger(w)
	l.apply(v)
	return l.dirty()
}

// write returns the value to write for a window and remembers it until its outcome is known.
func (m *Meter) write(w Window) WindowUsage {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.seq++
	l := m.ledger(w)
	l.sent = l.draft(w, m.node, m.seq)
	return l.sent.value
}

// close takes over that w and all windows before it take no more counts.
func (m *Meter) close(w Window) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.closed = max(m.closed, w)
}

// move gives the counts of a closed window that are not stored to the window of now, as corrections. The caller has
// read the stored value after the window was closed.
func (m *Meter) move(w Window, now time.Time) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.ledger(w).moveTo(m.ledger(max(m.calendar.Window(now), m.closed+1)))
}

// depose ends the meter: its records are another's now.
func (m *Meter) depose() {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.deposed = true
	m.windows, m.wanted = make(map[Window]*ledger), nil
}

// errands returns what is to be asked and confirmed at each agent: receipts of stored counts and wants.
func (m *Meter) errands() map[string]Query {
	m.lock.Lock()
	defer m.lock.Unlock()
	all := make(map[string]Query)
	for _, l := range m.windows {
		for _, r := range l.receipts[:l.flushed] {
			all[r.Agent] = all[r.Agent].withConfirm(m.node, r.Attempt)
		}
	}
	for _, w := range m.wanted {
		all[w.receipt.Agent] = all[w.receipt.Agent].withWant(m.node, RecordRequest{Attempt: w.receipt.Attempt, From: w.from})
	}
	return all
}

// confirmed drops the receipts that an agent has confirmed, and the ledgers of closed windows that have none left.
func (m *Meter) confirmed(agent string, attempts []identifier.Attempt) {
	m.lock.Lock()
	defer m.lock.Unlock()
	gone := make(map[identifier.Attempt]bool, len(attempts))
	for _, a := range attempts {
		gone[a] = true
	}
	for w, l := range m.windows {
		kept, flushed := l.receipts[:0], 0
		for i, r := range l.receipts {
			if i < l.flushed && r.Agent == agent && gone[r.Attempt] {
				continue
			}
			if i < l.flushed {
				flushed++
			}
			kept = append(kept, r)
		}
		l.receipts, l.flushed = kept, flushed
		if w <= m.closed && len(l.receipts) == 0 && !l.dirty() {
			delete(m.windows, w)
		}
	}
}
