package ranker

import (
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// lowestUrgency is the number of the least urgent class.
const lowestUrgency = 9

// reserveDivisor divides the slots of a service into those that items of the background leave to items that may still arrive.
const reserveDivisor = 6

// Scale holds the priorities that operators use. It is immutable.
type Scale struct {
	used []int
}

// NewScale returns the scale of the given priorities.
func NewScale(priorities []int) Scale {
	used := slices.Clone(priorities)
	slices.Sort(used)
	return Scale{used: slices.Compact(used)}
}

// Urgency returns the class with which items are sent. It lies between their priority and the next one that operators use, so that no
// item overtakes one of a more urgent priority or falls behind one of a less urgent priority. There are few classes, because a target
// interrupts items for those of a more urgent class.
func (s Scale) Urgency(r Rank) int {
	room := lowestUrgency - r.Priority
	if i, _ := slices.BinarySearch(s.used, r.Priority+1); i < len(s.used) {
		room = s.used[i] - 1 - r.Priority
	}
	steps := 0
	switch {
	case r.Standing == GivenUp:
		steps = 3
	case r.Background():
		steps = 2
	case r.Standing == Ample:
		steps = 1
	}
	return r.Priority + max(min(steps, room), 0)
}

// Reserve leaves the last slots of each service to items that may still arrive: neither the background nor what is less urgent than an item
// of the background takes them. The zero value is ready for use.
type Reserve struct {
	withheld map[identifier.Service]int
}

// Admits reports whether an item may take one more of the slots of a service. It is asked in the order of ranks. While an item of the
// background is withheld, the same limit applies to those of less urgent priorities, which would overtake it otherwise.
func (r *Reserve) Admits(service identifier.Service, rank Rank, taken, slots int) bool {
	priority, withheld := r.withheld[service]
	limited := rank.Background() || withheld && rank.Priority > priority
	if !limited || taken < slots-slots/reserveDivisor {
		return true
	}
	if !withheld {
		if r.withheld == nil {
			r.withheld = make(map[identifier.Service]int)
		}
		r.withheld[service] = rank.Priority
	}
	return false
}
