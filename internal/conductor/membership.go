package conductor

import (
	"hash/fnv"
	"maps"
	"math"
	"strings"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// RegistrationDecoder decodes the stored registrations of processes.
type RegistrationDecoder interface {
	DecodeRegistration(data []byte) (recorder.Registration, error)
}

// MembershipView updates a Conductor's members from the registrations in the key-value service.
type MembershipView struct {
	conductor *Conductor
	decoder   RegistrationDecoder
}

// NewMembershipView returns a view of the keys below recorder.NodePrefix.
func NewMembershipView(c *Conductor, decoder RegistrationDecoder) *MembershipView {
	return &MembershipView{conductor: c, decoder: decoder}
}

// Reset replaces all members.
func (v *MembershipView) Reset(entries []storer.Entry) {
	c := v.conductor
	members := make(map[identifier.Node]recorder.Registration, len(entries))
	for _, e := range entries {
		if p, ok := v.decode(e); ok {
			members[p.Owner.Node] = p
		}
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.members = members
	c.membershipCurrent, c.membershipStateSince, c.membershipChangedAt = true, c.Clock.Monotonic(), c.Clock.Monotonic()
}

// Interrupted marks the members as possibly out of date.
func (v *MembershipView) Interrupted() {
	c := v.conductor
	c.lock.Lock()
	defer c.lock.Unlock()
	c.membershipCurrent, c.membershipStateSince = false, c.Clock.Monotonic()
}

// Resumed marks the members as up to date again. Without it no job would be swept until a process joins or leaves.
func (v *MembershipView) Resumed() {
	c := v.conductor
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.membershipCurrent {
		c.membershipCurrent, c.membershipStateSince = true, c.Clock.Monotonic()
	}
}

// Apply applies one change of a registration.
func (v *MembershipView) Apply(change storer.Change) {
	c := v.conductor
	name := identifier.Node(strings.TrimPrefix(change.Key, recorder.NodePrefix))
	var p recorder.Registration
	if !change.Removed {
		var ok bool
		if p, ok = v.decode(change.Entry); !ok {
			return
		}
	}
	c.Log.Emit(logger.PeerChanged, "node", name, "there", !change.Removed, "address", p.Address, "leaving", p.Leaving)
	c.lock.Lock()
	defer c.lock.Unlock()
	if change.Removed {
		delete(c.members, name)
	} else {
		c.members[name] = p
	}
	c.membershipChangedAt = c.Clock.Monotonic()
}

func (v *MembershipView) decode(e storer.Entry) (recorder.Registration, bool) {
	p, err := v.decoder.DecodeRegistration(e.Value)
	if err != nil {
		v.conductor.Log.Emit(logger.RecordUnreadable, "key", e.Key, "error", err)
	}
	return p, err == nil
}

// isMember reports whether this incarnation of a process is registered. The caller holds the lock.
func (c *Conductor) isMember(o recorder.Owner) bool {
	p, ok := c.members[o.Node]
	return ok && p.Owner == o
}

// capableShare is the fraction of the cores of the largest eligible process that a process needs to be selected. A process
// with a small share of a processor can't follow the streams of a job, which then all look slow to it.
const capableShare = 0.5

// selectProcess chooses the process that is responsible for a key, by rendezvous hashing over the eligible processes
// that are not leaving and have enough cores, weighted by their cores.
func (c *Conductor) selectProcess(key string, eligible func(recorder.Registration) bool) (recorder.Registration, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	var best recorder.Registration
	var highest float64
	found := false
	for name, p := range c.capableMembers(eligible) {
		if score := rendezvousScore(key, name, p.Cores); !found || score > highest {
			best, highest, found = p, score, true
		}
	}
	return best, found
}

// capableMembers returns the eligible processes that are not leaving and have enough cores. The caller holds the lock.
func (c *Conductor) capableMembers(eligible func(recorder.Registration) bool) map[identifier.Node]recorder.Registration {
	largest := 0.0
	capable := make(map[identifier.Node]recorder.Registration)
	for name, p := range c.members {
		if !p.Leaving && eligible(p) {
			capable[name] = p
			largest = max(largest, p.Cores)
		}
	}
	maps.DeleteFunc(capable, func(_ identifier.Node, p recorder.Registration) bool { return p.Cores < largest*capableShare })
	return capable
}

// leaderCandidates returns up to maxAsked other processes of the region that may lead jobs.
func (c *Conductor) leaderCandidates() []recorder.Registration {
	c.lock.Lock()
	defer c.lock.Unlock()
	var candidates []recorder.Registration
	for _, p := range c.capableMembers(func(p recorder.Registration) bool { return p.Region == c.Region }) {
		if p.Owner != c.Self && len(candidates) < maxAsked {
			candidates = append(candidates, p)
		}
	}
	return candidates
}

// rendezvousScore returns the score of a process for a key. The probability that a process has the highest score is
// proportional to its cores.
func rendezvousScore(key string, name identifier.Node, cores float64) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key + "/" + string(name))) // writing to a hash never fails
	mixed := h.Sum64()
	// The upper bits of the FNV hash hardly depend on the last bytes of its input.
	mixed = (mixed ^ mixed>>32) * 0x9e3779b97f4a7c15
	uniform := (float64(mixed>>11) + 0.5) / (1 << 53)
	if cores <= 0 {
		cores = 1
	}
	return -cores / math.Log(uniform)
}

// anyProcess makes every process eligible.
func anyProcess(recorder.Registration) bool { return true }

// IsSweeper reports whether this process is the one that sweeps all jobs.
func (c *Conductor) IsSweeper() bool {
	sweeper, ok := c.selectProcess("sweep", anyProcess)
	return ok && sweeper.Owner == c.Self
}

// ResponsibleFor returns the process that is responsible for a key, of any region.
func (c *Conductor) ResponsibleFor(key string) (recorder.Registration, bool) {
	return c.selectProcess(key, anyProcess)
}

// RegionReader returns the process that reads the values written by operators and targets on behalf of all processes
// of its region.
func (c *Conductor) RegionReader() (recorder.Registration, bool) {
	return c.selectProcess("read", func(p recorder.Registration) bool { return p.Region == c.Region })
}

// OtherMembers returns the other registered processes.
func (c *Conductor) OtherMembers() []recorder.Registration {
	c.lock.Lock()
	defer c.lock.Unlock()
	peers := make([]recorder.Registration, 0, len(c.members))
	for _, p := range c.members {
		if p.Owner != c.Self {
			peers = append(peers, p)
		}
	}
	return peers
}

// RegionPeerCount returns the number of other processes in the region.
func (c *Conductor) RegionPeerCount() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	n := 0
	for _, p := range c.members {
		if p.Region == c.Region && p.Owner != c.Self {
			n++
		}
	}
	return n
}
