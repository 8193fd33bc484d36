package batcher

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Constraint is what an item needs of its target. It is immutable.
type Constraint struct {
	// Continues is set if the item has a part of its text, which goes on only at targets of the software version that
	// generated it.
	Continues bool
	Release   identifier.Release
}

// Demand is a number of items that need the same of their target.
type Demand struct {
	Constraint
	// Surplus is set if the trainer does not wait for the groups of the items.
	Surplus bool
	Items   int
}

// constraint returns what an item needs of its target. A complete text only has to be scored, which any target may do.
func (p *itemState) constraint() Constraint {
	if len(p.events) == 0 || p.complete {
		return Constraint{}
	}
	return Constraint{Continues: true, Release: p.release}
}

// addDemand counts one more item in the demand with its constraint and place.
func addDemand(all []Demand, c Constraint, surplus bool) []Demand {
	for i := range all {
		if all[i].Constraint == c && all[i].Surplus == surplus {
			all[i].Items++
			return all
		}
	}
	return append(all, Demand{Constraint: c, Surplus: surplus, Items: 1})
}

// RestartText drops the shortest text among the items with a constraint that have been due since a time or longer, so that it
// is generated from the start at any target. It reports whether there was one.
func (j *Job) RestartText(c Constraint, since time.Duration) bool {
	j.lock.Lock()
	defer j.lock.Unlock()
	var shortest *itemState
	for i := range j.items {
		p := &j.items[i]
		overdue := c.Continues && p.stage == stageWaiting && p.notBefore <= since && p.constraint() == c
		if overdue && (shortest == nil || len(p.events) < len(shortest.events)) {
			shortest = p
		}
	}
	if shortest == nil {
		return false
	}
	shortest.dropText()
	return true
}
