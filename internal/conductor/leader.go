package conductor

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/recorder"
)

const (
	// loadStep is the change of the unfinished items of a process from which others are told: about two groups.
	loadStep = 32
	// loadPeriodPerPeer is the time between two notices for each process that is told, so that one sends at most 100 a second.
	loadPeriodPerPeer = 10 * time.Millisecond
)

// LoadNotice tells other processes how many unfinished items one leads. It is immutable.
type LoadNotice struct {
	From       recorder.Owner
	Unfinished int
}

// IsEmpty reports whether there is nothing to tell.
func (n LoadNotice) IsEmpty() bool { return n.From.Node == "" }

// loads holds how many unfinished items the processes lead. The conductor's lock guards it. The zero value knows of none.
type loads struct {
	own int
	// told is what the others were last told, at the monotonic time toldAt. revision counts the notices, and changed is closed at the next.
	told     int
	toldAt   time.Duration
	revision int
	changed  chan struct{}
	peers    map[recorder.Owner]int
}

// countLoad counts the unfinished items of this process, and makes a notice if they changed considerably.
func (c *Conductor) countLoad() {
	unfinished := 0
	for _, l := range c.ledJobs() {
		unfinished += l.job.Unfinished()
	}
	peers := c.RegionPeerCount()
	c.lock.Lock()
	defer c.lock.Unlock()
	l, now := &c.loads, c.Clock.Monotonic()
	l.own = unfinished
	for o := range l.peers {
		if !c.isMember(o) {
			delete(l.peers, o)
		}
	}
	change := max(l.own-l.told, l.told-l.own)
	if change < loadStep && (l.own > 0 || l.told == 0) || now-l.toldAt < time.Duration(peers)*loadPeriodPerPeer {
		return
	}
	l.told, l.toldAt = l.own, now
	l.revision++
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// LoadSource is what this process tells others of its load. It is a broadcaster.Source.
type LoadSource struct{ *Conductor }

// Observed returns the latest notice if it is newer than a revision, and the present revision.
func (s LoadSource) Observed(after int) (LoadNotice, int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if after == s.loads.revision {
		return LoadNotice{}, after
	}
	return LoadNotice{From: s.Self, Unfinished: s.loads.told}, s.loads.revision
}

// Changed returns a channel that is closed at the next notice.
func (s LoadSource) Changed() <-chan struct{} {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.loads.changed == nil {
		s.loads.changed = make(chan struct{})
	}
	return s.loads.changed
}

// IsEmpty reports whether a new process would have to be told nothing.
func (s LoadSource) IsEmpty() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.loads.told == 0
}

// ApplyLoad takes in the load of another process.
func (c *Conductor) ApplyLoad(n LoadNotice) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.loads.peers == nil {
		c.loads.peers = make(map[recorder.Owner]int)
	}
	c.loads.peers[n.From] = n.Unfinished
}

// RegionMembers returns the other registered processes of the region.
func (c *Conductor) RegionMembers() []recorder.Registration {
	return slices.DeleteFunc(c.OtherMembers(), func(p recorder.Registration) bool { return p.Region != c.Region })
}

// leaderCandidate is a process that may lead a job. It is immutable.
type leaderCandidate struct {
	process    recorder.Registration
	score      float64
	unfinished int
}

// selectLoaded chooses the process that leads a job with a number of items, among those that selectProcess chooses from.
func (c *Conductor) selectLoaded(key string, items int, eligible func(recorder.Registration) bool) (recorder.Registration, bool) {
	if !c.BySlack {
		return c.selectProcess(key, eligible)
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	capable := c.capableMembers(eligible)
	all := make([]leaderCandidate, 0, len(capable))
	for name, p := range capable {
		unfinished := c.loads.peers[p.Owner]
		if p.Owner == c.Self {
			unfinished = c.loads.own
		}
		all = append(all, leaderCandidate{process: p, score: rendezvousScore(key, name, p.Cores), unfinished: unfinished})
	}
	return chooseLeader(all, items)
}

// chooseLeader returns the candidate with the highest score that can take the items beside those that it leads: all workers of a process
// with the most cores, and fewer with fewer cores. If none can, it is the one with the fewest items for its cores.
func chooseLeader(all []leaderCandidate, items int) (recorder.Registration, bool) {
	if len(all) == 0 {
		return recorder.Registration{}, false
	}
	largest := 0.0
	for _, p := range all {
		largest = max(largest, p.process.Cores)
	}
	power := func(p leaderCandidate) float64 {
		if largest <= 0 || p.process.Cores <= 0 {
			return 1
		}
		return p.process.Cores / largest
	}
	slices.SortFunc(all, func(a, b leaderCandidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare[identifier.Node](a.process.Owner.Node, b.process.Owner.Node))
	})
	for _, p := range all {
		if p.unfinished == 0 || float64(p.unfinished+items) <= workerCount*power(p) {
			return p.process, true
		}
	}
	least := slices.MinFunc(all, func(a, b leaderCandidate) int {
		return cmp.Compare(float64(a.unfinished)/power(a), float64(b.unfinished)/power(b))
	})
	return least.process, true
}
