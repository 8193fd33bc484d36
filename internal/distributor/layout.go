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
	// Agent marks the process that runs beside a target. Agents come after entries in the tree, so that entries relay
	// to them.
	Agent bool
	// Leaving marks a node that is shutting down. It comes last in its zone, so that it does not relay.
	Leaving bool
}

// DefaultFanOut is the default number of children per node. Two levels of it cover the 200 nodes of a large zone.
const DefaultFanOut = 16

// Layout arranges the nodes in trees, one per availability zone, in which the parent of position n is position
// (n-1)/fanOut. Every node makes the same layout from the same VM list. It is immutable.
type Layout struct {
	fanOut    int
	zones     map[identifier.Zone][]Member
	regionOf  map[identifier.Zone]identifier.Region
	regions   []identifier.Region
	relayZone map[identifier.Region]identifier.Zone
	index     map[string]int
	zoneOf    map[string]identifier.Zone
}

// NewLayout returns the layout of the members.
func NewLayout(members []Member, fanOut int) Layout {
	l := Layout{
		fanOut:    max(fanOut, 1),
		zones:     make(map[identifier.Zone][]Member),
		regionOf:  make(map[identifier.Zone]identifier.Region),
		relayZone: make(map[identifier.Region]identifier.Zone),
		index:     make(map[string]int, len(members)),
		zoneOf:    make(map[string]identifier.Zone, len(members)),
	}
	for _, m := range members {
		l.zones[m.Zone] = append(l.zones[m.Zone], m)
		l.regionOf[m.Zone] = m.Region
		l.zoneOf[m.Address] = m.Zone
	}
	for zone, nodes := range l.zones {
		slices.SortFunc(nodes, func(a, b Member) int {
			return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(hash(string(a.Node)), hash(string(b.Node))), cmp.Compare(a.Node, b.Node))
		})
		for i, m := range nodes {
			l.index[m.Address] = i
		}
		region := l.regionOf[zone]
		if old, ok := l.relayZone[region]; !ok || zone < old {
			l.relayZone[region] = zone
		}
	}
	for region := range l.relayZone {
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
	for _, nodes := range l.zones {
		all = append(all, nodes...)
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

// ZoneRelay returns the relay of a zone, which is the root of its tree.
func (l Layout) ZoneRelay(z identifier.Zone) (Member, bool) {
	if nodes := l.zones[z]; len(nodes) > 0 {
		return nodes[0], true
	}
	return Member{}, false
}

// Candidates returns the relays of the regions: the nodes that campaign for the duty of the root.
func (l Layout) Candidates() []Member {
	out := make([]Member, 0, len(l.regions))
	for _, r := range l.regions {
		out = append(out, l.zones[l.relayZone[r]][0])
	}
	return out
}

// Role is the role of a node in the layout.
type Role int

const (
	// Leaf is a node that relays only within its subtree of the zone, if at all.
	Leaf Role = iota
	// ZoneRelay is the relay of its availability zone.
	ZoneRelay
	// RegionRelay is the relay of its region and a candidate for the duty of the root.
	RegionRelay
)

// Role returns the role of the node self in the layout.
func (l Layout) Role(self Member) Role {
	nodes := l.zones[self.Zone]
	switch {
	case len(nodes) == 0 || nodes[0].Address != self.Address:
		return Leaf
	case l.relayZone[l.regionOf[self.Zone]] == self.Zone:
		return RegionRelay
	default:
		return ZoneRelay
	}
}

// backupRelayCount is the number of nodes per zone that are asked in turn when its relay does not answer.
const backupRelayCount = 2

// Parents returns the nodes that self asks, in order of preference: its ancestors in the zone, the backup relays of
// the zone, the relay and the backup relays of its region, and those of the other regions. A node that is not listed
// yet counts as the next leaf of its zone.
func (l Layout) Parents(self Member) []Member {
	nodes := l.zones[self.Zone]
	at, ok := l.index[self.Address]
	if !ok {
		at = len(nodes)
	}
	var chain []Member
	position := at
	for at > 0 {
		at = (at - 1) / l.fanOut
		chain = append(chain, nodes[at])
	}
	for i := 1; i <= backupRelayCount && i < position && i < len(nodes); i++ {
		if !slices.Contains(chain, nodes[i]) {
			chain = append(chain, nodes[i])
		}
	}
	if zone, ok := l.relayZone[self.Region]; ok && zone != self.Zone {
		chain = append(chain, l.zoneRelays(zone)...)
	}
	start, _ := slices.BinarySearch(l.regions, self.Region)
	for depth := range backupRelayCount + 1 {
		for i := range l.regions {
			r := l.regions[(start+i)%len(l.regions)]
			if gateways := l.zoneRelays(l.relayZone[r]); r != self.Region && depth < len(gateways) {
				chain = append(chain, gateways[depth])
			}
		}
	}
	return slices.DeleteFunc(chain, func(m Member) bool { return m.Address == self.Address })
}

// zoneRelays returns the relay and the backup relays of a zone.
func (l Layout) zoneRelays(z identifier.Zone) []Member {
	nodes := l.zones[z]
	return nodes[:min(len(nodes), backupRelayCount+1)]
}

// IsRegionGateway reports whether self is the relay or a backup relay of its region.
func (l Layout) IsRegionGateway(self Member) bool {
	at, ok := l.index[self.Address]
	return ok && at <= backupRelayCount && l.relayZone[self.Region] == self.Zone
}

// Precedes reports whether the node at address comes before self in the order of self's zone.
func (l Layout) Precedes(address string, self Member) bool {
	at, ok := l.index[address]
	own, listed := l.index[self.Address]
	return ok && listed && l.zoneOf[address] == self.Zone && at < own
}

// Children returns the nodes whose first parent is self.
func (l Layout) Children(self Member) []Member {
	nodes := l.zones[self.Zone]
	at, ok := l.index[self.Address]
	if !ok {
		return nil
	}
	var out []Member
	for i := at*l.fanOut + 1; i <= (at+1)*l.fanOut && i < len(nodes); i++ {
		out = append(out, nodes[i])
	}
	if l.Role(self) == RegionRelay {
		for zone, others := range l.zones {
			if l.regionOf[zone] == self.Region && zone != self.Zone {
				out = append(out, others[0])
			}
		}
	}
	return out
}

// peerSteps are the distances, in the order of the zone, from a node to the peers with which it compares digests. Each
// node has one peer per step, and a change at one node reaches 200 others in a few rounds.
var peerSteps = [...]int{1, 3, 9, 27, 81}

// Peers returns the nodes with which self compares digests: those at peerSteps in its zone and, for the relay of a
// zone, the other zone relays of the region. None is in another region, so that each region needs only one copy from
// outside.
func (l Layout) Peers(self Member) []Member {
	nodes := l.zones[self.Zone]
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
			add(nodes[(at+step)%len(nodes)])
		}
	}
	if l.Role(self) != Leaf {
		for _, zone := range slices.Sorted(maps.Keys(l.zones)) {
			if l.regionOf[zone] == self.Region && zone != self.Zone {
				add(l.zones[zone][0])
			}
		}
	}
	return out
}

// rank orders the nodes of a zone: entries first, then agents, then leaving nodes.
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

// hash spreads consecutive names over the tree, so that nodes of one rack do not form one subtree.
func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	// FNV keeps the order of names that differ only in the last letter; the finalizer of splitmix64 mixes them.
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
