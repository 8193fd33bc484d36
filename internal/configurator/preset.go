package configurator

// Preset names one of three rules. Exactly one preset is in force at a time.
type Preset string

const (
	// Ordinary is the default preset.
	Ordinary Preset = "ordinary"
	// Peak is for times of high load.
	Peak Preset = "peak"
	// Maintenance is for maintenance work.
	Maintenance Preset = "maintenance"
)

// Presets returns all presets.
func Presets() []Preset { return []Preset{Ordinary, Peak, Maintenance} }

// Rule holds the settings of a preset. The zero rule treats all work alike and keeps no spare targets.
type Rule struct {
	Preset Preset
	// Training marks a training window, in which rollouts of scoring services have priority.
	Training bool
	// RolloutShare is the share of engine work that rollouts get beside callers' requests, from 0 to 1; zero means
	// DefaultRolloutShare.
	RolloutShare float64
	// SpareZones is the number of availability zones whose loss the running targets must be able to absorb.
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
