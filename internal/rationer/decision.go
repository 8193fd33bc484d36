package rationer

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// patienceDivisor and goalDivisor divide the time left to a request and the latency goal of its route into the wait above which teams are
// held to their shares. With less, all of them are still served in time.
const (
	patienceDivisor = 4
	goalDivisor     = 2
)

// Verdict is what is decided about a request on its arrival.
type Verdict int

const (
	// Admit means that the request is sent to a target.
	Admit Verdict = iota
	// TooLate means that the request would be answered only after its time is up.
	TooLate
	// OverShare means that the request's team has its share of the slots already, and others need theirs.
	OverShare
)

// Situation is what is known about a service when a request for it arrives. It is immutable.
type Situation struct {
	// Slots are those of all targets, and Running the attempts of all entries at them.
	Slots, Running int
	// Work is the time that a request takes at a target without a queue; zero while it is unknown.
	Work time.Duration
	// Teams are the requests of each team at all entries, without this one.
	Teams map[identifier.Team]int
}

// Wait returns the time for which a request waits at a target behind those ahead of it.
func (s Situation) Wait() time.Duration {
	if s.Slots <= 0 {
		return 0
	}
	return time.Duration(float64(s.Work) * float64(max(0, s.Running+1-s.Slots)) / float64(s.Slots))
}

// patience returns the wait that a request with the given time left and latency goal takes without harm. A goal of zero means that there is
// none.
func patience(left, goal time.Duration) time.Duration {
	if goal > 0 {
		return min(left/patienceDivisor, goal/goalDivisor)
	}
	return left / patienceDivisor
}

// Decide returns the verdict on a request of a team with the given time left and latency goal, and the time until there is room for it.
// Nothing is refused while a slot is free: a wrong measurement would otherwise refuse what could be served.
func (s Situation) Decide(team identifier.Team, left, goal time.Duration) (Verdict, time.Duration) {
	wait := s.Wait()
	switch {
	case s.Slots <= 0 || s.Work <= 0 || s.Running < s.Slots:
		return Admit, 0
	case wait+s.Work > left:
		return TooLate, wait + s.Work - left
	case wait > patience(left, goal) && team != "" && s.contested(team) && s.Teams[team] >= s.Share(team):
		return OverShare, wait - patience(left, goal)
	default:
		return Admit, 0
	}
}

// contested reports whether another team has requests.
func (s Situation) contested(team identifier.Team) bool {
	for t, n := range s.Teams {
		if t != team && t != "" && n > 0 {
			return true
		}
	}
	return false
}

// Share returns the slots of a team: an equal part for each team with requests, where what a team does not use is divided among the
// others. It is at least one.
func (s Situation) Share(team identifier.Team) int {
	type demand struct {
		team     identifier.Team
		requests int
	}
	demands := []demand{{team, s.Teams[team] + 1}}
	for t, n := range s.Teams {
		if t != team && n > 0 {
			demands = append(demands, demand{t, n})
		}
	}
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Or(cmp.Compare(a.requests, b.requests), cmp.Compare(a.team, b.team)) })
	left := s.Slots
	for i, d := range demands {
		share := left / (len(demands) - i)
		if d.team == team {
			return max(share, 1)
		}
		left -= min(share, d.requests)
	}
	return 1
}
