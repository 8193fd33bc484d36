package distributor

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Member is a node of the relay tree.
type Member struct {
	Node    identifier.Node
	Zone    identifier.Zone
	Region  identifier.Region
	Address string
	// Agent marks a process beside a target. Agents come after entries, so that entries relay to them.
	Agent bool
	// Leaving marks a node that is about to go; it does not relay.
	Leaving bool
}

// DefaultFanOut is the number of children of a relay. Two levels of it cover the 200 nodes of a large zone.
const DefaultFanOut = 16

// Layout is the arrangement of the nodes in trees, one per availability zone, in which position n has the parent
// (n-1)/fan-out. Every node makes the same layout from the same VM list. It is immutable.
type Layout struct {
	fanOut  int
	zones   map[identifier.Zone][]Member
	places  map[identifier.Zone]identifier.Region
	regions []identifier.Region
	first   map[identifier.Region]identifier.Zone
	index   map[string]int
	zoneOf  map[string]identifier.Zone
}

// NewLayout returns the layout of the members.
func NewLayout(members []Member, fanOut int) Layout {
	l := Layout{
		fanOut: max(fanOut, 1),
		zones:  make(map[identifier.Zone][]Member),
		places: make(map[identifier.Zone]identifier.Region),
		first:  make(map[identifier.Region]identifier.Zone),
		index:  make(map[string]int, len(members)),
		zoneOf: make(map[string]identifier.Zone, len(members)),
	}
	for _, m := range members {
		l.zones[m.Zone] = append(l.zones[m.Zone], m)
		l.places[m.Zone] = m.Region
		l.zoneOf[m.Address] = m.Zone
	}
	for zone, in := range l.zones {
		slices.SortFunc(in, func(a, b Member) int {
			return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(hash(string(a.Node)), hash(string(b.Node))), cmp.Compare(a.Node, b.Node))
		})
		for i, m := range in {
			l.index[m.Address] = i
		}
		region := l.places[zone]
		if old, ok := l.first[region]; !ok || zone < old {
			l.first[region] = zone
		}
	}
	for region := range l.first {
		l.regions = append(l.regions, region)
	}
	slices.Sort(l.regions)
	return l
}

// Size returns the number of nodes.
func (l Layout) Size() int { return len(l.index) }

// Members returns all nodes, zone by zone.
func (l Layout) Members() []Member {
	all := make([]Member, 0, len(l.index))
	for _, in := range l.zones {
		all = append(all, in...)
	}
	return all
}

// At returns the node that listens on address.
func (l Layout) At(address string) (Member, bool) {
	zone, ok := l.zoneOf[address]
	if !ok {
		return Member{}, false
	}
	return l.zones[zone][l.index[address]], true
}

// Relay returns the node that relays for a zone.
func (l Layout) Relay(z identifier.Zone) (Member, bool) {
	if in := l.zones[z]; len(in) > 0 {
		return in[0], true
	}
	return Member{}, false
}

// Candidates returns the relays of the regions, which are the nodes that campaign for the duty of the root.
func (l Layout) Candidates() []Member {
	out := make([]Member, 0, len(l.regions))
	for _, r := range l.regions {
		out = append(out, l.zones[l.first[r]][0])
	}
	return out
}

// Role of a node in the layout.
type Role int

const (
	// Leaf is a node that relays for nobody outside its subtree.
	Leaf Role = iota
	// ZoneRelay relays for its availability zone.
	ZoneRelay
	// RegionRelay relays for its region and is a candidate for the duty of the root.
	RegionRelay
)

// Role returns how the node self stands in the layout.
func (l Layout) Role(self Member) Role {
	in := l.zones[self.Zone]
	switch {
	case len(in) == 0 || in[0].Address != self.Address:
		return Leaf
	case l.first[l.places[self.Zone]] == self.Zone:
		return RegionRelay
	default:
		return ZoneRelay
	}
}

// deputies is the number of nodes that relay for a zone in turn when its relay does not answer.
const deputies = 2

// Parents returns the nodes that self asks, in order of preference: its ancestors in the zone, the deputies of the
// zone's relay, the relay of its region with its deputies, and those of the other regions. A node that is not listed
// yet counts as the next leaf of its zone.
func (l Layout) Parents(self Member) []Member {
	in := l.zones[self.Zone]
	at, ok := l.index[self.Address]
	if !ok {
		at = len(in)
	}
	var chain []Member
	place := at
	for at > 0 {
		at = (at - 1) / l.fanOut
		chain = append(chain, in[at])
	}
	for i := 1; i <= deputies && i < place && i < len(in); i++ {
		if !slices.Contains(chain, in[i]) {
			chain = append(chain, in[i])
		}
	}
	if zone, ok := l.first[self.Region]; ok && zone != self.Zone {
		chain = append(chain, l.gateways(zone)...)
	}
	start, _ := slices.BinarySearch(l.regions, self.Region)
	for depth := range deputies + 1 {
		for i := range l.regions {
			r := l.regions[(start+i)%len(l.regions)]
			if in := l.gateways(l.first[r]); r != self.Region && depth < len(in) {
				chain = append(chain, in[depth])
			}
		}
	}
	return slices.DeleteFunc(chain, func(m Member) bool { return m.Address == self.Address })
}

// gateways returns the relay of a zone and its deputies.
func (l Layout) gateways(z identifier.Zone) []Member {
	in := l.zones[z]
	return in[:min(len(in), deputies+1)]
}

// Gateway reports whether self is the relay of its region or one of its deputies.
func (l Layout) Gateway(self Member) bool {
	at, ok := l.index[self.Address]
	return ok && at <= deputies && l.first[self.Region] == self.Zone
}

// Precedes reports whether the node at address stands before self in the order of self's zone.
func (l Layout) Precedes(address string, self Member) bool {
	at, ok := l.index[address]
	own, listed := l.index[self.Address]
	return ok && listed && l.zoneOf[address] == self.Zone && at < own
}

// Children returns the nodes of whose parents self is the first.
func (l Layout) Children(self Member) []Member {
	in := l.zones[self.Zone]
	at, ok := l.index[self.Address]
	if !ok {
		return nil
	}
	var out []Member
	for i := at*l.fanOut + 1; i <= (at+1)*l.fanOut && i < len(in); i++ {
		out = append(out, in[i])
	}
	if l.Role(self) == RegionRelay {
		for zone, others := range l.zones {
			if l.places[zone] == self.Region && zone != self.Zone {
				out = append(out, others[0])
			}
		}
	}
	return out
}

// peerSteps are the distances in the zone's order of the nodes that compare digests. Each node has as many peers as
// there are steps, and a change that one node has reaches 200 others in a few rounds.
var peerSteps = [...]int{1, 3, 9, 27, 81}

// Peers returns the nodes with which self compares digests: some of its zone, for the relay of a zone also the other
// relays of the region. None of them is in another region, so that a region needs one copy from outside.
func (l Layout) Peers(self Member) []Member {
	in := l.zones[self.Zone]
	at, listed := l.index[self.Address]
	var out []Member
	seen := map[string]bool{self.Address: true}
	add := func(m Member) {
		if !seen[m.Address] {
			seen[m.Address] = true
			out = append(out, m)
		}
	}
	for _, step := range peerSteps {
		if listed {
			add(in[(at+step)%len(in)])
		}
	}
	if l.Role(self) != Leaf {
		for _, zone := range slices.Sorted(maps.Keys(l.zones)) {
			if l.places[zone] == self.Region && zone != self.Zone {
				add(l.zones[zone][0])
			}
		}
	}
	return out
}

// rank puts the nodes that relay first.
func rank(m Member) int {
	switch {
	case m.Leaving:
		return 2
	case m.Agent:
		return 1
	default:
		return 0
	}
}

// hash spreads neighbouring names over the tree, so that a rack with consecutive names is not one subtree.
func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	// FNV leaves names that differ in their last letter in order; the steps of the splitmix64 generator mix them.
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
