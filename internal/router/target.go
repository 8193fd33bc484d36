package router

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Target is a back end as an entry sees it. It is immutable.
type Target struct {
	ID          identifier.Target
	Service     identifier.Service
	Zone        identifier.Zone
	Region      identifier.Region
	Incarnation identifier.Incarnation
	// Address is where the agent beside the target listens.
	Address string
	// Slots is the number of attempts that the target runs at a time without queueing; zero counts as one.
	Slots int
	// Running is the number of attempts at the target by its last report.
	Running int
	// Version is the weight version by the last report.
	Version identifier.Version
	// Reported is when the last report came, by the entry's boot clock.
	Reported time.Duration
}

// WithReport returns a copy of t with the load and version of a newer report.
func (t Target) WithReport(incarnation identifier.Incarnation, running int, version identifier.Version, at time.Duration) Target {
	t.Incarnation, t.Running, t.Version, t.Reported = incarnation, running, version, at
	return t
}

// Requirements is what an attempt asks of its target.
type Requirements struct {
	Service identifier.Service
	Zone    identifier.Zone
	Region  identifier.Region
	// Version pins the attempt to a weight version; zero accepts any.
	Version identifier.Version
	// PromptBytes is the length of the prompt in bytes and Prefix the hashes of its beginnings.
	PromptBytes identifier.Bytes
	Prefix      Prefix
	// Spread asks for the target with the smallest part of its slots taken, wherever it is, and for none if every slot
	// that this entry knows of is taken.
	Spread bool
	// Avoid lists the targets that earlier attempts used.
	Avoid []identifier.Target
}

func (n Requirements) avoids(id identifier.Target) bool {
	for _, other := range n.Avoid {
		if other == id {
			return true
		}
	}
	return false
}
