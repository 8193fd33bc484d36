package meter

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Meter counts usage at one entry. Use NewMeter.
//
// Invariants: a request is counted once; nothing is counted into a window that is known to be closed; a receipt goes
// only after the count of its request is stored and the agent has confirmed it; a deposed meter counts nothing.
// Lock rank: container.RankMeter.
type Meter struct {
	node     identifier.Node
	calendar Calendar
	lock     container.Lock[container.Meter]
	windows  map[Window]*ledger
	wanted   []want
	closed   Window
	seq      uint64
	deposed  bool
}

// want is an ended request whose figures only the agent has.
type want struct {
	receipt Receipt
	lost    []Receipt
	// from is the meter that the record is inherited from; empty for the meter's own requests.
	from   identifier.Node
	latest time.Time
}

// wantRetention is how long a meter asks for the record of an attempt whose request ended without a whole answer. It is
// longer than any attempt may run on after its request has ended.
const wantRetention = 10 * time.Minute

// NewMeter returns a meter that counts as node. The name must be unique to the process, also across restarts.
func NewMeter(node identifier.Node, calendar Calendar) *Meter {
	return &Meter{node: node, calendar: calendar, windows: make(map[Window]*ledger), closed: -1}
}

// Node returns the identity under which the meter counts.
func (m *Meter) Node() identifier.Node { return m.node }

// Count counts a request of a team that ended at the given time. won is the attempt that counts, lost are the others.
// After the first request of a team in a window it allocates nothing for itself.
func (m *Meter) Count(ended time.Time, team identifier.Team, f Figures, won Receipt, lost ...Receipt) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.count(ended, team, f, won, lost)
}

// AwaitRecord notes a request that ended without a whole answer and whose last attempt may have run. It is counted once its
// agent has given the record.
func (m *Meter) AwaitRecord(ended time.Time, last Receipt, lost ...Receipt) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if !m.deposed {
		m.wanted = append(m.wanted, want{receipt: last, lost: slices.Clone(lost), latest: ended.Add(wantRetention)})
	}
}

// CountRecords counts the wanted records that an agent has given. An inherited record that the agent did not give is another's
// or was confirmed; any other want is kept until it is too old.
func (m *Meter) CountRecords(agent string, records []Record, now time.Time) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.deposed {
		return
	}
	byAttempt := make(map[identifier.Attempt]Record, len(records))
	for _, r := range records {
		byAttempt[r.Attempt] = r
	}
	m.wanted = slices.DeleteFunc(m.wanted, func(w want) bool {
		if w.receipt.Agent != agent {
			return false
		}
		r, ok := byAttempt[w.receipt.Attempt]
		if ok {
			m.count(r.Ended, r.Team, r.Figures, w.receipt, w.lost)
		}
		return ok || w.from != "" || now.After(w.latest)
	})
}

// TakenOver reports whether another process has taken over the meter's records.
func (m *Meter) TakenOver() bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.deposed
}

// Pending returns the number of receipts and wants that the meter holds.
func (m *Meter) Pending() int {
	m.lock.Lock()
	defer m.lock.Unlock()
	n := len(m.wanted)
	for _, l := range m.windows {
		n += len(l.receipts)
	}
	return n
}

// Values returns what the meter has counted, stored or not, in order of the windows.
func (m *Meter) Values() []WindowUsage {
	m.lock.Lock()
	defer m.lock.Unlock()
	values := make([]WindowUsage, 0, len(m.windows))
	for w, l := range m.windows {
		values = append(values, l.draft(w, m.node, 0).value)
	}
	slices.SortFunc(values, func(a, b WindowUsage) int { return int(a.Window - b.Window) })
	return values
}

func (m *Meter) count(ended time.Time, team identifier.Team, f Figures, won Receipt, lost []Receipt) {
	if m.deposed {
		return
	}
	origin := m.calendar.Window(ended)
	l := m.ledger(max(origin, m.closed+1))
	l.add(lineKey{team: team, origin: origin}, f)
	l.receipts = append(l.receipts, won)
	l.receipts = append(l.receipts, lost...)
}

func (m *Meter) ledger(w Window) *ledger {
	l, ok := m.windows[w]
	if !ok {
		l = newLedger()
		m.windows[w] = l
	}
	return l
}
