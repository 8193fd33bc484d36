package meter

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Meter counts usage at one entry. Use NewMeter.
//
// Invariants: a request is counted once; nothing is counted into a window that is known to be closed; a receipt is
// dropped only after the count of its request is stored and the agent has confirmed it; a meter that was taken over
// counts nothing. Lock rank: container.RankMeter.
type Meter struct {
	node      identifier.Node
	calendar  Calendar
	lock      container.Lock[container.Meter]
	windows   map[Window]*ledger
	awaited   []awaitedRecord
	closed    Window
	seq       uint64
	takenOver bool
}

// awaitedRecord is an ended request whose figures only the agent has.
type awaitedRecord struct {
	receipt Receipt
	others  []Receipt
	// from is the meter that the record was taken over from; empty for the meter's own requests.
	from     identifier.Node
	deadline time.Time
}

// awaitRetention is how long a meter requests the record of an attempt whose request ended without a complete answer.
// It is longer than any attempt may continue to run after its request has ended.
const awaitRetention = 10 * time.Minute

// NewMeter returns a meter that counts as node. The name must be unique to the process, even across restarts.
func NewMeter(node identifier.Node, calendar Calendar) *Meter {
	return &Meter{node: node, calendar: calendar, windows: make(map[Window]*ledger), closed: -1}
}

// Node returns the identity under which the meter counts.
func (m *Meter) Node() identifier.Node { return m.node }

// Count counts a request of a team that ended at the given time. counted is the attempt whose usage counts, others are
// the remaining attempts of the request. After the first request of a team in a window, Count does not allocate except
// to grow the slice of receipts.
func (m *Meter) Count(ended time.Time, team identifier.Team, f Figures, counted Receipt, others ...Receipt) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.count(ended, team, f, counted, others)
}

// AwaitRecord registers a request that ended without a complete answer and whose last attempt may have run. The request
// is counted once the agent has returned the record.
func (m *Meter) AwaitRecord(ended time.Time, last Receipt, others ...Receipt) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if !m.takenOver {
		m.awaited = append(m.awaited, awaitedRecord{receipt: last, others: slices.Clone(others), deadline: ended.Add(awaitRetention)})
	}
}

// CountRecords counts the awaited records that an agent has returned. A recovered record that the agent did not return
// belongs to another meter or was confirmed; any other awaited record is kept until its deadline.
func (m *Meter) CountRecords(agent string, records []Record, now time.Time) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.takenOver {
		return
	}
	byAttempt := make(map[identifier.Attempt]Record, len(records))
	for _, r := range records {
		byAttempt[r.Attempt] = r
	}
	m.awaited = slices.DeleteFunc(m.awaited, func(w awaitedRecord) bool {
		if w.receipt.Agent != agent {
			return false
		}
		r, ok := byAttempt[w.receipt.Attempt]
		if ok {
			m.count(r.Ended, r.Team, r.Figures, w.receipt, w.others)
		}
		return ok || w.from != "" || now.After(w.deadline)
	})
}

// TakenOver reports whether another process has taken over the meter's records.
func (m *Meter) TakenOver() bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.takenOver
}

// PendingCount returns the number of receipts and awaited records that the meter holds.
func (m *Meter) PendingCount() int {
	m.lock.Lock()
	defer m.lock.Unlock()
	n := len(m.awaited)
	for _, l := range m.windows {
		n += len(l.receipts)
	}
	return n
}

// Values returns the counts of the meter, stored or not, in ascending order of the windows.
func (m *Meter) Values() []WindowUsage {
	m.lock.Lock()
	defer m.lock.Unlock()
	values := make([]WindowUsage, 0, len(m.windows))
	for w, l := range m.windows {
		values = append(values, l.prepareWrite(w, m.node, 0).value)
	}
	slices.SortFunc(values, func(a, b WindowUsage) int { return int(a.Window - b.Window) })
	return values
}

func (m *Meter) count(ended time.Time, team identifier.Team, f Figures, counted Receipt, others []Receipt) {
	if m.takenOver {
		return
	}
	origin := m.calendar.Window(ended)
	l := m.ledger(max(origin, m.closed+1))
	l.add(lineKey{team: team, origin: origin}, f)
	l.receipts = append(l.receipts, counted)
	l.receipts = append(l.receipts, others...)
}

func (m *Meter) ledger(w Window) *ledger {
	l, ok := m.windows[w]
	if !ok {
		l = newLedger()
		m.windows[w] = l
	}
	return l
}
