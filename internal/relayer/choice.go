package relayer

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// chosenPeriod is how long a process that helped stays the chosen one without being asked again.
	chosenPeriod = 10 * time.Second
	// avoidPeriod is how long a process that could not help is not asked.
	avoidPeriod = 2 * time.Second
)

// Choice chooses the process that is asked to make calls.
//
// Invariants: while no process is known to help, one is asked at a time; after two that could not help, at most one is asked in
// each pause of the back-off. Lock rank: container.RankStorer.
type Choice struct {
	lock  container.Lock[container.Storer]
	clock timer.Service
	// pace holds questions back while no process helps.
	pace storer.Backoff
	// chosen is the address of the process that helped last; chosenUntil is the monotonic time until which it is asked again.
	chosen      string
	chosenUntil time.Duration
	// avoided holds the monotonic times until which processes are not asked, by address.
	avoided map[string]time.Duration
	// search is closed when the present search for a process that helps has ended; nil if there is none. searched is the address of
	// the process that it asks.
	search   chan struct{}
	searched string
}

// NewChoice returns a Choice that has chosen no process yet.
func NewChoice(clock timer.Service) *Choice {
	return &Choice{clock: clock, avoided: make(map[string]time.Duration)}
}

// maxChoices bounds the scopes whose choices are kept. Configurations name few sets of regions.
const maxChoices = 64

// choices holds a Choice for each scope: the process that helps with calls without bodies may not be allowed to hold those of a confined
// job. Lock rank: container.RankStorer; it is not held while a Choice is used.
type choices struct {
	lock    container.Lock[container.Storer]
	clock   timer.Service
	byScope map[confiner.Scope]*Choice
}

// of returns the Choice for calls with bodies of a scope.
func (c *choices) of(s confiner.Scope) *Choice {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.byScope[s] == nil {
		if c.byScope == nil || len(c.byScope) >= maxChoices {
			c.byScope = make(map[confiner.Scope]*Choice)
		}
		c.byScope[s] = NewChoice(c.clock)
	}
	return c.byScope[s]
}

// next returns the address of the process to ask. The caller must call settle once with the same address. If another call searches
// for a process, it waits for the end of that search. The second result is false if no process may be asked now.
func (c *Choice) next(ctx context.Context, candidates func() []string) (string, bool) {
	for {
		if address, search := c.current(); address != "" {
			return address, true
		} else if search != nil {
			select {
			case <-search:
			case <-ctx.Done():
			}
			address, _ = c.current()
			return address, address != ""
		}
		all := candidates()
		if len(all) == 0 || !c.pace.Admit(storer.PurposeLease, c.clock.Monotonic()) {
			return "", false
		}
		if address, begun := c.begin(all); begun {
			return address, address != ""
		}
		// Another call has begun a search in between.
	}
}

// current returns the address of the chosen process, or the present search.
func (c *Choice) current() (string, <-chan struct{}) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.chosen != "" && c.clock.Monotonic() < c.chosenUntil {
		return c.chosen, nil
	}
	return "", c.search
}

// begin begins a search with the first candidate that is not avoided; the address is empty if there is none. It returns false if
// another search has begun or has ended well.
func (c *Choice) begin(candidates []string) (address string, begun bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	now := c.clock.Monotonic()
	if c.search != nil || c.chosen != "" && now < c.chosenUntil {
		return "", false
	}
	for _, address := range candidates {
		until, avoided := c.avoided[address]
		if !avoided || now >= until {
			delete(c.avoided, address)
			c.search, c.searched = make(chan struct{}), address
			return address, true
		}
	}
	return "", true
}

// settle records whether a process helped. A question that its asker cancelled shows nothing. Several questions to a chosen process that
// dies do not count as failed searches.
func (c *Choice) settle(address string, helped, cancelled bool) {
	searched := c.apply(address, helped, cancelled)
	switch {
	case helped:
		c.pace.Record(storer.Applied, c.clock.Monotonic())
	case searched && !cancelled:
		c.pace.Record(storer.Unavailable, c.clock.Monotonic())
	}
}

// apply updates the chosen and the avoided processes, ends the present search if it asked the process or that one helps, and reports
// whether the search asked it.
func (c *Choice) apply(address string, helped, cancelled bool) (searched bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	now := c.clock.Monotonic()
	switch {
	case helped:
		c.chosen, c.chosenUntil = address, now+chosenPeriod
	case !cancelled:
		c.avoided[address] = now + avoidPeriod
		if c.chosen == address {
			c.chosen = ""
		}
	}
	searched = c.search != nil && c.searched == address
	if searched || c.search != nil && helped {
		close(c.search)
		c.search = nil
	}
	return searched
}

// Candidates returns the addresses of the processes that a process asks to make a call with bodies of a scope, in that order: those of its
// region first, and none that may not hold the bodies. Each process has
// an order of its own, so that those of one zone, when they are cut off together, ask different ones.
func Candidates(self identifier.Node, region identifier.Region, members []recorder.Registration, s confiner.Scope) []string {
	type candidate struct {
		address string
		distant bool
		rank    uint64
	}
	all := make([]candidate, 0, len(members))
	for _, m := range members {
		if !m.Leaving && m.Owner.Node != self && s.AllowsEntry(m.Region) {
			h := fnv.New64a()
			_, _ = h.Write([]byte(string(self) + "/" + string(m.Owner.Node))) // writing to a hash never fails
			all = append(all, candidate{address: m.Address, distant: m.Region != region, rank: h.Sum64() * 0x9e3779b97f4a7c15})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		if a.distant != b.distant {
			if b.distant {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.address, b.address))
	})
	addresses := make([]string, len(all))
	for i, a := range all {
		addresses[i] = a.address
	}
	return addresses
}
