package conductor

import (
	"hash/fnv"
	"math"
	"strings"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// PresenceDecoder is the stored form of the processes that are there.
type PresenceDecoder interface {
	DecodePresence(data []byte) (recorder.Presence, error)
}

// MembershipView keeps a Conductor's table of processes up to date from the key-value service.
type MembershipView struct {
	conductor *Conductor
	form      PresenceDecoder
}

// NewMembershipView returns the view of the keys below recorder.NodePrefix.
func NewMembershipView(c *Conductor, form PresenceDecoder) *MembershipView {
	return &MembershipView{conductor: c, form: form}
}

// Reset takes over all entries.
func (v *MembershipView) Reset(entries []storer.Entry) {
	c := v.conductor
	nodes := make(map[identifier.Node]recorder.Presence, len(entries))
	for _, e := range entries {
		if p, ok := v.decode(e); ok {
			nodes[p.Owner.Node] = p
		}
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	c.nodes = nodes
	c.trusted, c.since, c.moved = true, c.Clock.Boot(), c.Clock.Boot()
}

// Interrupted tells that the table may be out of date.
func (v *MembershipView) Interrupted() {
	c := v.conductor
	c.lock.Lock()
	defer c.lock.Unlock()
	c.trusted, c.since = false, c.Clock.Boot()
}

// Apply takes over one change.
func (v *MembershipView) Apply(change storer.Change) {
	c := v.conductor
	name := identifier.Node(strings.TrimPrefix(change.Key, recorder.NodePrefix))
	var p recorder.Presence
	if !change.Removed {
		var ok bool
		if p, ok = v.decode(change.Entry); !ok {
			return
		}
	}
	c.Log.Emit(logger.PeerChanged, "node", name, "there", !change.Removed, "address", p.Address, "leaving", p.Leaving)
	c.lock.Lock()
	defer c.lock.Unlock()
	now := c.Clock.Boot()
	if !c.trusted {
		c.trusted, c.since = true, now
	}
	if change.Removed {
		delete(c.nodes, name)
	} else {
		c.nodes[name] = p
	}
	c.moved = now
}

func (v *MembershipView) decode(e storer.Entry) (recorder.Presence, bool) {
	p, err := v.form.DecodePresence(e.Value)
	if err != nil {
		v.conductor.Log.Emit(logger.RecordUnreadable, "key", e.Key, "error", err)
	}
	return p, err == nil
}

// there reports whether the process that leads a job is there. The caller holds the lock.
func (c *Conductor) there(o recorder.Owner) bool {
	p, ok := c.nodes[o.Node]
	return ok && p.Owner == o
}

// heir returns the process that should do a work, by rendezvous hashing over those that stay and fit, weighted by their
// processors.
func (c *Conductor) heir(work string, fits func(recorder.Presence) bool) (recorder.Presence, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	var best recorder.Presence
	var most float64
	found := false
	for name, p := range c.nodes {
		if p.Leaving || !fits(p) {
			continue
		}
		if weight := weigh(work, name, p.Cores); !found || weight > most {
			best, most, found = p, weight, true
		}
	}
	return best, found
}

// weigh returns the weight of a process for a work. The largest of independent weights of this form belongs to each
// process with a probability in proportion to its cores.
func weigh(work string, name identifier.Node, cores float64) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(work + "/" + string(name))) // a hash takes every write
	mixed := h.Sum64()
	// The upper bits of the hash hardly depend on its last bytes.
	mixed = (mixed ^ mixed>>32) * 0x9e3779b97f4a7c15
	share := (float64(mixed>>11) + 0.5) / (1 << 53)
	if cores <= 0 {
		cores = 1
	}
	return -cores / math.Log(share)
}

// anyone fits every process.
func anyone(recorder.Presence) bool { return true }

// IsSweeper reports whether this process is the one that gives the jobs of missing processes to others.
func (c *Conductor) IsSweeper() bool {
	sweeper, ok := c.heir("sweep", anyone)
	return ok && sweeper.Owner == c.Self
}

// RegionReader returns the process that reads what operators and targets write for the others of its region.
func (c *Conductor) RegionReader() (recorder.Presence, bool) {
	return c.heir("read", func(p recorder.Presence) bool { return p.Region == c.Region })
}

// RegionPeerCount returns the number of other processes of the region.
func (c *Conductor) RegionPeerCount() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	n := 0
	for _, p := range c.nodes {
		if p.Region == c.Region && p.Owner != c.Self {
			n++
		}
	}
	return n
}
