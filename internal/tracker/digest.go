package tracker

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Row is an agent's report as it is sent to the relay of its zone. It is immutable.
type Row struct {
	Target      identifier.Target
	Incarnation identifier.Incarnation
	Running     int
	Draining    bool
	Version     identifier.Version
	Release     identifier.Release
	// Age is the age of the report in periods.
	Age int
}

// report returns the agent's report that the row carries.
func (r Row) report() Report {
	return Report{Incarnation: r.Incarnation, Running: r.Running, Draining: r.Draining, Version: r.Version, Release: r.Release}
}

// Brief is the short form of a row, for a receiver that already has the full row. Sum is the hash of the target's
// name. It is immutable.
type Brief struct {
	Sum     uint32
	Running int
	Age     int
}

// identity returns the row without its load and age, which change with each report.
func (r Row) identity() Row {
	r.Running, r.Age = 0, 0
	return r
}

// Digest is the state of a zone's targets in compact form. Maker and Version identify the roster, the part that
// rarely changes; Rows holds the roster and is empty if the receiver already has it. Loads are in the order of the
// roster, and Silent holds the indexes of the targets that do not report. It is immutable.
type Digest struct {
	Zone    identifier.Zone
	Maker   identifier.Node
	Version uint64
	Rows    []Row
	Loads   []uint16
	Silent  []uint16
}

// Roster identifies the roster of a digest: the node that made it and its version there.
type Roster struct {
	Maker   identifier.Node
	Version uint64
}

// Roster returns the identity of the digest's roster.
func (d Digest) Roster() Roster { return Roster{Maker: d.Maker, Version: d.Version} }

// WithRows returns a copy of d with the given roster.
func (d Digest) WithRows(rows []Row) Digest {
	d.Rows = rows
	return d
}

// rows returns the rows of a digest that holds its roster, with their loads and ages. digestAge is the age of the digest
// in periods, by which the age of every row increases.
func (d Digest) rows(digestAge int) []Row {
	out := make([]Row, 0, len(d.Rows))
	for i, r := range d.Rows {
		if i < len(d.Loads) {
			r.Running, r.Age = int(d.Loads[i]), digestAge
			out = append(out, r)
		}
	}
	for _, i := range d.Silent {
		if int(i) < len(out) {
			out[i].Age = silentPeriods + digestAge
		}
	}
	return out
}

// Summary is the load of one service in one availability zone. It is immutable.
type Summary struct {
	Zone    identifier.Zone
	Service identifier.Service
	Targets int
	Running int
	// Made is the maker's wall clock in seconds. It orders the summaries of a zone.
	Made int64
}

// Mean returns the mean load of a target.
func (s Summary) Mean() int {
	if s.Targets == 0 {
		return 0
	}
	return s.Running / s.Targets
}

const (
	// silentPeriods is the age in periods of the last report at which a target counts as silent. A report takes up to one
	// period for each of the two levels of a zone, and a failed relay is bypassed within two periods.
	silentPeriods = 5
	// dropPeriods is the age in periods at which a report is dropped.
	dropPeriods = 20
)

// periods returns how many whole periods lie between two times.
func periods(from, to, period time.Duration) int {
	if period <= 0 || to <= from {
		return 0
	}
	return int((to - from) / period)
}
