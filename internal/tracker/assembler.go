package tracker

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Assembler collects the reports of the agents below a node and holds the digest of the node's zone and the summaries
// of all zones. NewAssembler makes one.
//
// Invariants: of two reports of a target the younger one counts; of two summaries of a zone the later one counts. Lock
// rank: container.RankTracker.
type Assembler struct {
	zone   identifier.Zone
	period time.Duration

	lock      container.Lock[container.Tracker]
	services  map[identifier.Target]identifier.Service
	rows      map[identifier.Target]stamped
	sums      map[uint32]identifier.Target
	digest    Digest
	at        time.Duration
	version   uint64
	summaries map[identifier.Zone][]Summary
}

// stamped is a row with the boot clock time at which it was made.
type stamped struct {
	row  Row
	seen time.Duration
	// sent is the identity that was passed on last.
	sent Row
}

// NewAssembler returns the assembler of a node in a zone.
func NewAssembler(zone identifier.Zone, period time.Duration) *Assembler {
	return &Assembler{
		zone: zone, period: period, rows: make(map[identifier.Target]stamped),
		sums:      make(map[uint32]identifier.Target),
		summaries: make(map[identifier.Zone][]Summary),
	}
}

// AdoptList takes over the VM list, which tells the service of each target.
func (a *Assembler) AdoptList(list []Member) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.services = make(map[identifier.Target]identifier.Service)
	for _, m := range list {
		if m.Zone == a.zone {
			a.services[m.Target] = m.Service
		}
	}
}

// AddRows takes over reports from below.
func (a *Assembler) AddRows(rows []Row, now time.Duration) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, r := range rows {
		seen := now - time.Duration(r.Age)*a.period
		if old, ok := a.rows[r.Target]; !ok || seen >= old.seen {
			a.rows[r.Target] = stamped{row: r, seen: seen, sent: old.sent}
			a.sums[sumOf(r.Target)] = r.Target
		}
	}
}

// AddBriefs takes over the loads of targets whose whole rows came before. Others are left out until their rows come.
func (a *Assembler) AddBriefs(briefs []Brief, now time.Duration) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, b := range briefs {
		id, ok := a.sums[b.Sum]
		if !ok {
			continue
		}
		seen := now - time.Duration(b.Age)*a.period
		if old := a.rows[id]; seen >= old.seen {
			old.row.Running, old.seen = b.Running, seen
			a.rows[id] = old
		}
	}
}

// wholeRounds is how many questions apart a row is passed on whole although its identity has not changed. Whole rows
// every time were a third of the traffic of a zone's relay.
const wholeRounds = 5

// Forward returns the reports to pass on with question number round: whole rows of targets whose identity has changed,
// and of some others in turn, and the loads of the rest. Silent targets are left out.
func (a *Assembler) Forward(now time.Duration, round int) (rows []Row, briefs []Brief) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, r := range a.current(now) {
		if r.Age >= silentAge {
			continue
		}
		sum := sumOf(r.Target)
		if s := a.rows[r.Target]; s.sent != r.identity() || (int(sum)+round)%wholeRounds == 0 {
			s.sent = r.identity()
			a.rows[r.Target] = s
			rows = append(rows, r)
			continue
		}
		briefs = append(briefs, Brief{Sum: sum, Running: r.Running, Age: r.Age})
	}
	return rows, briefs
}

// BuildDigest makes the digest and the summaries of the zone from the reports. The relay of the zone does so each period.
func (a *Assembler) BuildDigest(maker identifier.Node, now time.Duration, wall time.Time) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.digest.Maker != maker {
		a.inherit()
	}
	rows := a.current(now)
	d := Digest{Zone: a.zone, Maker: maker, Loads: make([]uint16, len(rows))}
	roster := make([]Row, len(rows))
	totals := make(map[identifier.Service]Summary)
	for i, r := range rows {
		roster[i] = r.identity()
		d.Loads[i] = uint16(min(max(r.Running, 0), math.MaxUint16))
		if r.Age >= silentAge {
			d.Silent = append(d.Silent, uint16(min(i, math.MaxUint16)))
		}
		if service, ok := a.services[r.Target]; ok && r.Age < silentAge && !r.Draining {
			s := totals[service]
			totals[service] = Summary{
				Zone: a.zone, Service: service, Targets: s.Targets + 1, Running: s.Running + r.Running, Made: wall.Unix(),
			}
		}
	}
	if a.digest.Maker != maker || !slices.Equal(roster, a.digest.Rows) {
		// A version that follows the clock also rises when the maker restarts.
		a.version = max(a.version+1, uint64(wall.UnixNano()))
	}
	d.Version = a.version
	a.digest, a.at = d.WithRows(roster), now
	sums := make([]Summary, 0, len(totals))
	for _, s := range totals {
		sums = append(sums, s)
	}
	slices.SortFunc(sums, func(x, y Summary) int { return cmp.Compare(x.Service, y.Service) })
	a.summaries[a.zone] = sums
}

// inherit begins with the targets of the maker before, as of its last digest: those that do not report to the new maker
// yet must not be missing from its first digest.
func (a *Assembler) inherit() {
	for _, r := range a.digest.rows(0) {
		if _, ok := a.rows[r.Target]; !ok && r.Age < silentAge {
			a.rows[r.Target] = stamped{row: r, seen: a.at}
			a.sums[sumOf(r.Target)] = r.Target
		}
	}
}

// ResetForwarded lets all rows be passed on whole next time, because the receiver may lack them.
func (a *Assembler) ResetForwarded() {
	a.lock.Lock()
	defer a.lock.Unlock()
	for id, s := range a.rows {
		s.sent = Row{}
		a.rows[id] = s
	}
}

// Accept takes over the digest of a parent. It reports false when the digest is of another zone or its roster is not
// there; the next question then asks for it.
func (a *Assembler) Accept(d Digest, now time.Duration) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	if d.Zone != a.zone || d.Maker == "" {
		return false
	}
	if len(d.Rows) == 0 && len(d.Loads) > 0 {
		if d.Roster() != a.digest.Roster() {
			return false
		}
		d.Rows = a.digest.Rows
	}
	a.digest, a.at = d, now
	return true
}

// Roster returns the name of the roster that the node has.
func (a *Assembler) Roster() Roster {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.digest.Roster()
}

// Digest returns the digest for a node that has the roster known. One that has itself grown old is not passed on: the
// receiver's own copy grows old in the same way.
func (a *Assembler) Digest(known Roster, now time.Duration) Digest {
	a.lock.Lock()
	defer a.lock.Unlock()
	if periods(a.at, now, a.period) >= staleDigest {
		return Digest{}
	}
	d := a.digest
	if known == d.Roster() {
		d.Rows = nil
	}
	return d
}

// staleDigest is the age in periods from which a node that has heard no later digest passes it on no more.
const staleDigest = 3

// ZoneRows returns the rows of the node's zone with their ages, and the age of the digest in periods.
func (a *Assembler) ZoneRows(now time.Duration) ([]Row, int) {
	a.lock.Lock()
	defer a.lock.Unlock()
	older := periods(a.at, now, a.period)
	return a.digest.rows(older), older
}

// Merge takes over summaries of other zones.
func (a *Assembler) Merge(sums []Summary) {
	a.lock.Lock()
	defer a.lock.Unlock()
	byZone := make(map[identifier.Zone][]Summary)
	for _, s := range sums {
		byZone[s.Zone] = append(byZone[s.Zone], s)
	}
	for zone, in := range byZone {
		if old := a.summaries[zone]; len(old) == 0 || in[0].Made > old[0].Made {
			a.summaries[zone] = in
		}
	}
}

// Summaries returns the summaries of the zones that match accepts.
func (a *Assembler) Summaries(match func(identifier.Zone) bool) []Summary {
	a.lock.Lock()
	defer a.lock.Unlock()
	var out []Summary
	for zone, sums := range a.summaries {
		if match(zone) {
			out = append(out, sums...)
		}
	}
	return out
}

// current returns the rows in order of their targets and drops those that are too old.
func (a *Assembler) current(now time.Duration) []Row {
	out := make([]Row, 0, len(a.rows))
	for id, s := range a.rows {
		s.row.Age = periods(s.seen, now, a.period)
		if s.row.Age >= forgetAge {
			delete(a.rows, id)
			delete(a.sums, sumOf(id))
			continue
		}
		out = append(out, s.row)
	}
	slices.SortFunc(out, func(x, y Row) int { return cmp.Compare(x.Target, y.Target) })
	return out
}

// sumOf returns the number that stands for a target in a Brief. Two targets of a zone with one number would show each
// other's load; among 200 targets that is a chance of one in 200,000.
func sumOf(id identifier.Target) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}
