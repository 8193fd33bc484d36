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

// Assembler collects the reports of the agents below a node in the relay tree, and holds the digest of the node's
// zone and the summaries of all zones. NewAssembler returns one.
//
// Invariants: of two reports of a target the more recent one is kept, and likewise of two summaries of a zone. Lock
// rank: container.RankTracker.
type Assembler struct {
	zone   identifier.Zone
	period time.Duration

	lock     container.Lock[container.Tracker]
	services map[identifier.Target]identifier.Service
	rows     map[identifier.Target]stampedRow
	// targetsByHash finds the target of a Brief.
	targetsByHash map[uint32]identifier.Target
	digest        Digest
	// digestTime is the monotonic time at which the digest was built or accepted.
	digestTime time.Duration
	// version is that of the last roster that this node built.
	version   uint64
	summaries map[identifier.Zone][]Summary
}

// stampedRow is a row with the monotonic time of its report.
type stampedRow struct {
	row      Row
	reported time.Duration
	// forwarded is the identity that was forwarded last.
	forwarded Row
}

// NewAssembler returns the assembler of a node in a zone.
func NewAssembler(zone identifier.Zone, period time.Duration) *Assembler {
	return &Assembler{
		zone: zone, period: period, rows: make(map[identifier.Target]stampedRow),
		targetsByHash: make(map[uint32]identifier.Target),
		summaries:     make(map[identifier.Zone][]Summary),
	}
}

// AdoptList records the service of each target of the zone from the VM list.
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

// AddRows records reports from nodes below.
func (a *Assembler) AddRows(rows []Row, now time.Duration) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, r := range rows {
		reported := now - time.Duration(r.Age)*a.period
		if old, ok := a.rows[r.Target]; !ok || reported >= old.reported {
			a.rows[r.Target] = stampedRow{row: r, reported: reported, forwarded: old.forwarded}
			a.targetsByHash[targetHash(r.Target)] = r.Target
		}
	}
}

// AddBriefs records the loads of targets whose full rows are known. Loads of other targets are ignored until their
// full rows arrive.
func (a *Assembler) AddBriefs(briefs []Brief, now time.Duration) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, b := range briefs {
		id, ok := a.targetsByHash[b.Sum]
		if !ok {
			continue
		}
		reported := now - time.Duration(b.Age)*a.period
		if old := a.rows[id]; reported >= old.reported {
			old.row.Running, old.reported = b.Running, reported
			a.rows[id] = old
		}
	}
}

// fullRowInterval is the number of sync requests after which a full row is forwarded again although its identity has
// not changed. Full rows in every request made up a third of the traffic of a zone's relay.
const fullRowInterval = 5

// ReportsToForward returns the reports to send with sync request number round: full rows for targets whose identity has
// changed and, in turn, for one in fullRowInterval of the others, and briefs for the rest. Silent targets are omitted.
func (a *Assembler) ReportsToForward(now time.Duration, round int) (rows []Row, briefs []Brief) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, r := range a.currentRows(now) {
		if r.Age >= silentPeriods {
			continue
		}
		hash := targetHash(r.Target)
		if s := a.rows[r.Target]; s.forwarded != r.identity() || (int(hash)+round)%fullRowInterval == 0 {
			s.forwarded = r.identity()
			a.rows[r.Target] = s
			rows = append(rows, r)
			continue
		}
		briefs = append(briefs, Brief{Sum: hash, Running: r.Running, Age: r.Age})
	}
	return rows, briefs
}

// BuildDigest builds the digest and the summaries of the zone from the reports. The relay of the zone calls it each
// period.
func (a *Assembler) BuildDigest(maker identifier.Node, now time.Duration, wall time.Time) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.digest.Maker != maker {
		a.inheritRows()
	}
	rows := a.currentRows(now)
	d := Digest{Zone: a.zone, Maker: maker, Loads: make([]uint16, len(rows))}
	roster := make([]Row, len(rows))
	totals := make(map[identifier.Service]Summary)
	for i, r := range rows {
		roster[i] = r.identity()
		d.Loads[i] = uint16(min(max(r.Running, 0), math.MaxUint16))
		if r.Age >= silentPeriods {
			d.Silent = append(d.Silent, uint16(min(i, math.MaxUint16)))
		}
		if service, ok := a.services[r.Target]; ok && r.Age < silentPeriods && !r.Draining {
			s := totals[service]
			totals[service] = Summary{
				Zone: a.zone, Service: service, Targets: s.Targets + 1, Running: s.Running + r.Running, Made: wall.Unix(),
			}
		}
	}
	if a.digest.Maker != maker || !slices.Equal(roster, a.digest.Rows) {
		// A version that follows the clock increases even if the maker restarts.
		a.version = max(a.version+1, uint64(wall.UnixNano()))
	}
	d.Version = a.version
	a.digest, a.digestTime = d.WithRows(roster), now
	summaries := make([]Summary, 0, len(totals))
	for _, s := range totals {
		summaries = append(summaries, s)
	}
	slices.SortFunc(summaries, func(x, y Summary) int { return cmp.Compare(x.Service, y.Service) })
	a.summaries[a.zone] = summaries
}

// inheritRows adds the targets of the previous maker's last digest: those that do not report to the new maker yet must
// not be missing from its first digest.
func (a *Assembler) inheritRows() {
	for _, r := range a.digest.rows(0) {
		if _, ok := a.rows[r.Target]; !ok && r.Age < silentPeriods {
			a.rows[r.Target] = stampedRow{row: r, reported: a.digestTime}
			a.targetsByHash[targetHash(r.Target)] = r.Target
		}
	}
}

// ResetForwarded makes the next ReportsToForward return full rows for all targets. It is called when the receiver may lack
// them.
func (a *Assembler) ResetForwarded() {
	a.lock.Lock()
	defer a.lock.Unlock()
	for id, s := range a.rows {
		s.forwarded = Row{}
		a.rows[id] = s
	}
}

// AcceptDigest stores the digest of a parent. It returns false if the digest is of another zone, or if it lacks its roster
// and this node does not have that roster; the next sync request then asks for the roster.
func (a *Assembler) AcceptDigest(d Digest, now time.Duration) bool {
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
	a.digest, a.digestTime = d, now
	return true
}

// Roster returns the identity of the roster that this node has.
func (a *Assembler) Roster() Roster {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.digest.Roster()
}

// Digest returns the digest for a node that already has the roster known. A stale digest is not sent, because the
// receiver's own copy is just as stale.
func (a *Assembler) Digest(known Roster, now time.Duration) Digest {
	a.lock.Lock()
	defer a.lock.Unlock()
	if periods(a.digestTime, now, a.period) >= staleDigestPeriods {
		return Digest{}
	}
	d := a.digest
	if known == d.Roster() {
		d.Rows = nil
	}
	return d
}

// staleDigestPeriods is the age in periods at which a node stops sending a digest to others.
const staleDigestPeriods = 3

// ZoneRows returns the rows of the node's zone with their ages, and the age of the digest in periods.
func (a *Assembler) ZoneRows(now time.Duration) ([]Row, int) {
	a.lock.Lock()
	defer a.lock.Unlock()
	digestAge := periods(a.digestTime, now, a.period)
	return a.digest.rows(digestAge), digestAge
}

// MergeSummaries stores summaries of other zones that are later than the stored ones.
func (a *Assembler) MergeSummaries(summaries []Summary) {
	a.lock.Lock()
	defer a.lock.Unlock()
	byZone := make(map[identifier.Zone][]Summary)
	for _, s := range summaries {
		byZone[s.Zone] = append(byZone[s.Zone], s)
	}
	for zone, received := range byZone {
		if old := a.summaries[zone]; len(old) == 0 || received[0].Made > old[0].Made {
			a.summaries[zone] = received
		}
	}
}

// Summaries returns the summaries of the zones for which match returns true.
func (a *Assembler) Summaries(match func(identifier.Zone) bool) []Summary {
	a.lock.Lock()
	defer a.lock.Unlock()
	var out []Summary
	for zone, summaries := range a.summaries {
		if match(zone) {
			out = append(out, summaries...)
		}
	}
	return out
}

// currentRows returns the rows sorted by target, and drops those that are too old.
func (a *Assembler) currentRows(now time.Duration) []Row {
	out := make([]Row, 0, len(a.rows))
	for id, s := range a.rows {
		s.row.Age = periods(s.reported, now, a.period)
		if s.row.Age >= dropPeriods {
			delete(a.rows, id)
			delete(a.targetsByHash, targetHash(id))
			continue
		}
		out = append(out, s.row)
	}
	slices.SortFunc(out, func(x, y Row) int { return cmp.Compare(x.Target, y.Target) })
	return out
}

// targetHash returns the number that identifies a target in a Brief. Two targets of a zone with the same hash would
// show each other's load; among 200 targets the probability is one in 200,000.
func targetHash(id identifier.Target) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}
