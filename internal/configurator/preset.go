package configurator

// Preset names one of the three sets of rules. Exactly one is in force.
type Preset string

const (
	// Ordinary is for ordinary days.
	Ordinary Preset = "ordinary"
	// Peak is for peaks.
	Peak Preset = "peak"
	// Maintenance is for maintenance.
	Maintenance Preset = "maintenance"
)

// Presets returns all presets.
func Presets() []Preset { return []Preset{Ordinary, Peak, Maintenance} }

// Rule holds what a preset changes. The zero rule treats all work alike and keeps no spare targets.
type Rule struct {
	Preset Preset
	// Training marks a training window: scoring rollouts come first.
	Training bool
	// RolloutShare is the share of engine work that rollouts get next to callers, from 0 to 1; zero means a half.
	RolloutShare float64
	// SpareZones is the number of availability zones whose loss the running targets must bear.
	SpareZones int
}

// DefaultRolloutShare is the share of rollouts under a rule that sets none.
const DefaultRolloutShare = 0.5

// Share returns the share of engine work that rollouts get.
func (r Rule) Share() float64 {
	if r.RolloutShare == 0 {
		return DefaultRolloutShare
	}
	return r.RolloutShare
}
