// Package rationer decides on the arrival of a request whether it can be served in its time, and holds teams to their shares of a
// service's slots while these are short.
package rationer

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// shorterWeight and longerWeight are the weights of a measurement of the work of a request that is below and above the known one. The
	// known one then stays near the shortest: a time also holds the way to the target, and a wait that is assumed too long refuses what could
	// be served.
	shorterWeight = 1.0 / 4
	longerWeight  = 1.0 / 64
	// minRetryAfter is the shortest time after which a refused caller comes back: by then a queue has advanced. maxRetryAfter bounds it,
	// because what is known now says little about later.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// service is what this process knows of a service.
type service struct {
	teams map[identifier.Team]int
	work  time.Duration
	// promised is the monotonic time up to which refused callers were told to come back.
	promised time.Duration
}

// Rationer decides for the requests of one process.
//
// Invariant: each admitted request is counted until it ends. Lock rank: container.RankRationer.
type Rationer struct {
	lock     container.Lock[container.Rationer]
	clock    timer.Service
	services map[identifier.Service]*service
	peers    peers
}

// NewRationer returns a Rationer that knows of no requests.
func NewRationer(clock timer.Service) *Rationer {
	return &Rationer{clock: clock, services: make(map[identifier.Service]*service), peers: newPeers()}
}

// Arrival is a request that arrives.
type Arrival struct {
	Service identifier.Service
	// Team is empty for requests without one, which have no share.
	Team identifier.Team
	// Internal is set for requests of this system itself, which are counted and never refused.
	Internal bool
	// Slots are those of all targets of the service, and Running the attempts of this process at them.
	Slots, Running int
	// Left is the time in which the request has to be answered, and Goal that within which the answer has its full value.
	Left, Goal time.Duration
}

// Ticket is a request that was admitted. End has to be called once.
type Ticket struct {
	rationer *Rationer
	arrival  Arrival
	began    time.Duration
	// unqueued is set if a slot was free, so that the time of the request is that of its work.
	unqueued bool
}

// Admit decides about a request. Of a refused one, retryAfter is the time after which there is room for it: each caller that is refused
// is told a later time, so that they don't come back together.
func (r *Rationer) Admit(a Arrival) (ticket Ticket, verdict Verdict, retryAfter time.Duration) {
	if r == nil {
		return Ticket{}, Admit, 0
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	now := r.clock.Monotonic()
	s := r.service(a.Service)
	situation := r.peers.add(a.Service, now, Situation{Slots: a.Slots, Running: a.Running, Work: s.work, Teams: s.teams})
	if !a.Internal {
		var room time.Duration
		if verdict, room = situation.Decide(a.Team, a.Left, a.Goal); verdict != Admit {
			// The requests that are served until then make room for one caller each.
			s.promised = min(max(s.promised, now+max(room, minRetryAfter))+situation.Work/time.Duration(situation.Slots), now+maxRetryAfter)
			return Ticket{}, verdict, s.promised - now
		}
	}
	s.teams[a.Team]++
	return Ticket{rationer: r, arrival: a, began: now, unqueued: situation.Running < a.Slots}, Admit, 0
}

// service returns what is known of a service. The caller holds the lock.
func (r *Rationer) service(name identifier.Service) *service {
	s, ok := r.services[name]
	if !ok {
		s = &service{teams: make(map[identifier.Team]int)}
		r.services[name] = s
	}
	return s
}

// End ends an admitted request. Served is set if one target answered it at its first attempt.
func (t Ticket) End(served bool) {
	r := t.rationer
	if r == nil {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	s := r.service(t.arrival.Service)
	if s.teams[t.arrival.Team]--; s.teams[t.arrival.Team] <= 0 {
		delete(s.teams, t.arrival.Team)
	}
	took := r.clock.Monotonic() - t.began
	switch {
	case !served || !t.unqueued:
	case s.work == 0:
		s.work = took
	case took < s.work:
		s.work += time.Duration(shorterWeight * float64(took-s.work))
	default:
		s.work += time.Duration(longerWeight * float64(took-s.work))
	}
}

// Services returns the services for which requests arrived.
func (r *Rationer) Services() []identifier.Service {
	r.lock.Lock()
	defer r.lock.Unlock()
	return slices.Collect(maps.Keys(r.services))
}
