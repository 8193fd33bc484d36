package placer

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// State is how far a target is through its life.
type State int

const (
	// Starting means that the target was ordered and does not serve yet.
	Starting State = iota + 1
	// Running means that the target serves.
	Running
	// Draining means that the target takes no new work and will stop.
	Draining
)

// Target is one target as the view shows it.
type Target struct {
	ID      identifier.Target
	Service identifier.Service
	Zone    identifier.Zone
	State   State
	// Busy is the number of attempts that run on it.
	Busy int
}

// Zone is an availability zone with its price and limit.
type Zone struct {
	Name identifier.Zone
	// Price is the price of a target per hour.
	Price float64
	// Limit bounds the targets of one service; zero is no limit.
	Limit int
	// Lost marks a zone in which nothing can be started.
	Lost bool
}

// Demand is the load of a service in targets: 3 means that three targets would be just busy.
type Demand struct {
	Service identifier.Service
	// Arrivals is the work that arrives, in target-seconds per second.
	Arrivals float64
	// Queue is the work that waits, in target-seconds.
	Queue float64
	// MinTargets is the number of targets that the smallest team's service needs; scaling down stops there.
	MinTargets int
}

// TrainingWindow is a planned training window and what it adds to the load of a service.
type TrainingWindow struct {
	Service identifier.Service
	Start   time.Duration
	End     time.Duration
	Load    float64
}

// Settings are the operator's settings of the plan.
type Settings struct {
	// Startup is the time that a target takes to start.
	Startup time.Duration
	// Deadline is the time in which waiting work must be done.
	Deadline time.Duration
	// Hold is the time for which a target must have been spare before it is stopped.
	Hold time.Duration
	// Headroom is the share of capacity that is kept free for changes that no forecast shows.
	Headroom  float64
	Smoothing Smoothing
}

// DefaultSettings returns the settings of a deployment that sets none.
func DefaultSettings() Settings {
	return Settings{
		Startup: 2 * time.Minute, Deadline: 2 * time.Minute, Hold: 6 * time.Minute, Headroom: 0.05,
		Smoothing: Smoothing{Mean: time.Minute, Trend: 10 * time.Minute},
	}
}

// View is everything that a plan depends on. It is immutable.
type View struct {
	// Now is the boot clock time.
	Now      time.Duration
	Settings Settings
	Rule     configurator.Rule
	Zones    []Zone
	Demands  []Demand
	Windows  []TrainingWindow
	Targets  []Target
	// History is that of the plan before; the zero value is a first plan.
	History History
}

// WithHistory returns a copy of v that goes on from the memory of an earlier plan.
func (v View) WithHistory(m History) View {
	v.History = m
	return v
}

// History is what a plan hands to the next one. It is immutable.
type History struct {
	services map[identifier.Service]recall
}

// recall is the memory of one service.
type recall struct {
	forecast Forecast
	// needs holds the past needs that no later one exceeds, oldest first, as far back as the hold time.
	needs []past
	// since is the time from which on the needs are known without a gap, last the time of the last one.
	since time.Duration
	last  time.Duration
}

// past is the need at a time.
type past struct {
	at   time.Duration
	need int
}

// with returns the recall after one more need.
func (r recall) with(need int, at, hold time.Duration) recall {
	if len(r.needs) == 0 || at-r.last > hold {
		// A process that takes over the duty knows nothing of the time before.
		r.since = at
	}
	r.last = at
	kept := make([]past, 0, len(r.needs)+1)
	for _, p := range r.needs {
		if p.at >= at-hold && p.need > need {
			kept = append(kept, p)
		}
	}
	kept = append(kept, past{at: at, need: need})
	r.needs = kept
	return r
}

// covers reports whether the needs of the whole hold time are known.
func (r recall) covers(hold time.Duration) bool { return r.last-r.since >= hold }

// peak returns the largest need within the hold time.
func (r recall) peak() int {
	if len(r.needs) == 0 {
		return 0
	}
	return r.needs[0].need
}
