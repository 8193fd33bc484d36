package placer

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// State is the stage of a target's life cycle.
type State int

const (
	// Starting means that the target has been ordered and does not serve yet.
	Starting State = iota + 1
	// Running means that the target serves.
	Running
	// Draining means that the target takes no new work and will stop.
	Draining
)

// Target is one target in a view.
type Target struct {
	ID      identifier.Target
	Service identifier.Service
	Zone    identifier.Zone
	State   State
	// Busy is the number of attempts that run on the target.
	Busy int
}

// Zone is an availability zone with its price and limit.
type Zone struct {
	Name identifier.Zone
	// Price is the price of a target per hour.
	Price float64
	// Limit bounds the targets of one service; zero is no limit.
	Limit int
	// Lost marks a zone in which no target can be started. Targets that run in it are not counted.
	Lost bool
}

// Demand is the load of a service. The unit is one fully used target: 3 keeps three targets just busy.
type Demand struct {
	Service identifier.Service
	// Arrivals is the rate of arriving work, in target-seconds per second.
	Arrivals float64
	// Queue is the waiting work, in target-seconds.
	Queue float64
	// MinTargets is the lower limit for scaling down: the number of targets that the smallest team's service needs.
	MinTargets int
}

// TrainingWindow is a planned training window with the load that it adds to a service.
type TrainingWindow struct {
	Service identifier.Service
	Start   time.Duration
	End     time.Duration
	Load    float64
}

// Settings are the operator's settings for planning.
type Settings struct {
	// Startup is the time from the order of a target until it serves.
	Startup time.Duration
	// Deadline is the time within which queued work must be done.
	Deadline time.Duration
	// Hold is the time for which a target must have been surplus before it is stopped.
	Hold time.Duration
	// Headroom is the share of the expected load that is added for changes that the forecast cannot predict.
	Headroom  float64
	Smoothing Smoothing
}

// DefaultSettings returns the settings that apply unless a deployment sets others.
func DefaultSettings() Settings {
	return Settings{
		Startup: 2 * time.Minute, Deadline: 2 * time.Minute, Hold: 6 * time.Minute, Headroom: 0.05,
		Smoothing: Smoothing{Mean: time.Minute, Trend: 10 * time.Minute},
	}
}

// View is everything that a plan depends on. It is immutable.
type View struct {
	// Now is the monotonic time.
	Now      time.Duration
	Settings Settings
	Rule     configurator.Rule
	Zones    []Zone
	Demands  []Demand
	Windows  []TrainingWindow
	Targets  []Target
	// History is the history from the previous plan; the zero value stands for none.
	History History
}

// WithHistory returns a copy of v with the history from an earlier plan.
func (v View) WithHistory(h History) View {
	v.History = h
	return v
}

// History holds the state that one plan passes to the next one. It is immutable.
type History struct {
	services map[identifier.Service]serviceHistory
}

// serviceHistory is the history of one service.
type serviceHistory struct {
	forecast Forecast
	// needs holds the past needs within the hold time that no later need reaches, oldest first, and the latest need.
	needs []pastNeed
	// knownSince is the time from which on the needs are known without a gap, lastAt the time of the latest one.
	knownSince time.Duration
	lastAt     time.Duration
}

// pastNeed is the number of targets that was needed at a time.
type pastNeed struct {
	at   time.Duration
	need int
}

// withNeed returns the history with one more need.
func (h serviceHistory) withNeed(need int, at, hold time.Duration) serviceHistory {
	if len(h.needs) == 0 || at-h.lastAt > hold {
		// A process that has just got the duty knows no earlier needs.
		h.knownSince = at
	}
	h.lastAt = at
	kept := make([]pastNeed, 0, len(h.needs)+1)
	for _, p := range h.needs {
		if p.at >= at-hold && p.need > need {
			kept = append(kept, p)
		}
	}
	kept = append(kept, pastNeed{at: at, need: need})
	h.needs = kept
	return h
}

// covers reports whether the needs of the whole hold time are known.
func (h serviceHistory) covers(hold time.Duration) bool { return h.lastAt-h.knownSince >= hold }

// peak returns the largest need within the hold time.
func (h serviceHistory) peak() int {
	if len(h.needs) == 0 {
		return 0
	}
	return h.needs[0].need
}
