package router

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Target describes one target as of the last report that reached this entry. It is immutable.
type Target struct {
	ID          identifier.Target
	Service     identifier.Service
	Zone        identifier.Zone
	Region      identifier.Region
	Incarnation identifier.Incarnation
	// Release is the software version of the target; it is empty where targets name none.
	Release identifier.Release
	// Address is the listen address of the target's agent.
	Address string
	// Slots is the number of attempts that the target runs at a time without queueing; zero counts as one.
	Slots int
	// Running is the number of attempts at the target according to its last report.
	Running int
	// Version is the weight version according to the last report.
	Version identifier.Version
	// Reported is when the last report arrived, on the entry's monotonic clock.
	Reported time.Duration
	// Work is the work that Choose counted for an attempt at the target, and Held whether the target probably had the shared part of
	// its prompt. Both are zero in a view.
	Work time.Duration
	Held bool
}

// WithReport returns a copy of t with the load and version of a newer report.
func (t Target) WithReport(incarnation identifier.Incarnation, running int, version identifier.Version, at time.Duration) Target {
	t.Incarnation, t.Running, t.Version, t.Reported = incarnation, running, version, at
	return t
}

// Requirements are the properties that an attempt requires of its target, and what the choice of one depends on.
type Requirements struct {
	Service identifier.Service
	Zone    identifier.Zone
	Region  identifier.Region
	// Version pins the attempt to a weight version; zero accepts any.
	Version identifier.Version
	// Release pins the attempt to a software version; the empty one accepts any.
	Release identifier.Release
	// Regions are those in which the target may be.
	Regions confiner.Regions
	// PromptBytes is the length of the prompt, and Prefix the hashes of its prefixes.
	PromptBytes identifier.Bytes
	Prefix      Prefix
	// Spread selects the target with the lowest share of slots in use, in any zone, and none if this entry has taken
	// every slot that it knows of.
	Spread bool
	// Work is the expected work of the attempt, as the time that it takes at a target of the usual speed; zero if it is unknown.
	Work time.Duration
	// Shared is the part of its prompt that other attempts have too.
	Shared SharedPart
	// Avoid lists targets that must not be chosen, such as those of earlier attempts.
	Avoid []identifier.Target
}

func (r Requirements) avoids(id identifier.Target) bool {
	for _, other := range r.Avoid {
		if other == id {
			return true
		}
	}
	return false
}
