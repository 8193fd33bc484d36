package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/adapter/kvclient"
	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcserver"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/publisher"
	"github.com/mimosalb/mimosalb/internal/runner"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/tracker"
)

// FleetPlan describes a fleet.
type FleetPlan struct {
	// Zones holds the number of nodes in each availability zone.
	Zones []ZonePlan
	// Period is the time between two probes of a peer.
	Period time.Duration
	// Store is the base URL of the key-value service.
	Store string
	// TTL is the TTL of leases; zero means the default.
	TTL time.Duration
}

// ZonePlan is the number of nodes in an availability zone.
type ZonePlan struct {
	Location

	Entries int
	Agents  int
}

// EvenZonePlans distributes entries evenly over 17 availability zones in 5 regions, or over as many zones as there are
// entries if those are fewer.
func EvenZonePlans(entries int) []ZonePlan {
	const zones, regions = 17, 5
	n := min(zones, entries)
	out := make([]ZonePlan, n)
	for i := range out {
		out[i] = ZonePlan{
			Location: Location{Zone: fmt.Sprintf("zone-%02d", i), Region: fmt.Sprintf("region-%d", i%regions)},
			Entries:  entries/n + min(1, max(0, entries%n-i)),
		}
	}
	return out
}

// Fleet is a set of nodes of the relay tree in one process. Each node has its own connections, its own copies of the
// distributed documents and its own goroutines.
type Fleet struct {
	// Nodes holds all nodes, including crashed ones.
	Nodes []*FleetNode

	plan       FleetPlan
	clock      *timer.System
	list       vmList
	lastNumber int
}

// FleetNode is one node of a fleet.
type FleetNode struct {
	VM           platformclient.VM
	Distribution *runner.Distribution
	Config       *configurator.Configurator
	// Publisher is nil for agents.
	Publisher *publisher.Publisher
	// Draining is the draining state that an agent reports.
	Draining atomic.Bool
	// Traffic is the number of bytes that the node sent and received, over accepted connections and its own.
	Traffic atomic.Int64

	server  *rpcserver.Server
	peers   *rpcclient.Client
	crashed atomic.Bool
}

// vmList is a stand-in for the VM list of the platform.
type vmList struct {
	mu  sync.Mutex
	vms []platformclient.VM
}

// VMs returns a copy of the list.
func (l *vmList) VMs(context.Context) ([]platformclient.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]platformclient.VM(nil), l.vms...), nil
}

// update replaces the list by the result of f, which gets a copy.
func (l *vmList) update(f func([]platformclient.VM) []platformclient.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = f(append([]platformclient.VM(nil), l.vms...))
}

// NewFleet starts the nodes of a plan. Close stops them.
func NewFleet(p FleetPlan) (*Fleet, error) {
	f := &Fleet{plan: p, clock: timer.NewSystem()}
	for _, z := range p.Zones {
		for range z.Entries {
			if err := f.Add(z.Location, platformclient.RoleEntry); err != nil {
				return nil, errors.Join(err, f.Close())
			}
		}
		for range z.Agents {
			if err := f.Add(z.Location, platformclient.RoleTarget); err != nil {
				return nil, errors.Join(err, f.Close())
			}
		}
	}
	// Nodes start after the list is complete, because nodes of a running deployment also start with a complete list.
	for _, n := range f.Nodes {
		f.start(n)
	}
	return f, nil
}

// Add creates a node that accepts connections and adds its VM to the list. start runs its goroutines.
func (f *Fleet) Add(location Location, role platformclient.Role) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", loopback)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	f.lastNumber++
	n := &FleetNode{Config: &configurator.Configurator{}, server: rpcserver.NewServer()}
	n.VM = platformclient.VM{
		Name: identifier.Node("vm-" + strconv.Itoa(f.lastNumber)), Role: role, Zone: identifier.Zone(location.Zone),
		Region: identifier.Region(location.Region), State: platformclient.StateLive, Address: l.Addr().String(),
	}
	s := runner.DistributionSettings{
		Period: f.plan.Period, FanOut: distributor.DefaultFanOut, Clock: f.clock, Platform: &f.list, Config: n.Config,
		Self: distributor.Member{Node: n.VM.Name, Zone: n.VM.Zone, Region: n.VM.Region, Address: n.VM.Address},
	}
	if role == platformclient.RoleTarget {
		n.VM.Service, n.VM.Target = "sortmind", identifier.Target("target-"+strconv.Itoa(f.lastNumber))
		s.Self.Agent = true
		incarnation := identifier.Incarnation(f.clock.Now().UnixNano())
		s.OwnReport = func() tracker.Row {
			return tracker.Row{
				Target: n.VM.Target, Incarnation: incarnation, Running: int(f.clock.Monotonic()/time.Second) % 200,
				Draining: n.Draining.Load(), Version: 7,
			}
		}
	}
	n.peers = rpcclient.NewClient(f.clock, rpcclient.WithDialer(n.dial))
	s.Peers = n.peers
	n.Distribution = runner.NewDistribution(s)
	if err := n.server.Register("Relay", rpcserver.NewRelay(n.Distribution, f.clock)); err != nil {
		return fmt.Errorf("register relay service: %w", err)
	}
	n.server.Start(&countingListener{Listener: l, node: n})
	f.list.update(func(vms []platformclient.VM) []platformclient.VM { return append(vms, n.VM) })
	f.Nodes = append(f.Nodes, n)
	return nil
}

// start starts the goroutines of a node. An entry can also edit the configuration and is a candidate for the duty of the
// root.
func (f *Fleet) start(n *FleetNode) {
	if n.VM.Role == platformclient.RoleTarget {
		n.Distribution.Start(nil, nil)
		return
	}
	store := storer.NewStorer(kvclient.NewDriver(f.plan.Store), f.clock)
	n.Publisher = publisher.NewPublisher(store.WithPurpose(storer.PurposeConfig), codec.Documents{}, n.Distribution.Relay, f.clock)
	opts := []leaser.Option{leaser.WithEligible(func(identifier.Duty) bool { return n.Distribution.Candidate() })}
	if f.plan.TTL > 0 {
		opts = append(opts, leaser.WithTTL(f.plan.TTL))
	}
	n.Distribution.Start(n.Publisher, leaser.NewLeaser(n.VM.Name, store.WithPurpose(storer.PurposeLease), f.clock, opts...))
}

// Crash stops a node like a crash of its process. Its VM stays on the list.
func (f *Fleet) Crash(n *FleetNode) error {
	n.crashed.Store(true)
	n.Distribution.Stop()
	n.peers.Close()
	return n.server.Close()
}

// Replace crashes a node, removes its VM from the list and starts a new node at the same location.
func (f *Fleet) Replace(n *FleetNode) error {
	err := f.Crash(n)
	f.list.update(func(vms []platformclient.VM) []platformclient.VM {
		kept := vms[:0]
		for _, vm := range vms {
			if vm.Name != n.VM.Name {
				kept = append(kept, vm)
			}
		}
		return kept
	})
	if err = errors.Join(err, f.Add(Location{Zone: string(n.VM.Zone), Region: string(n.VM.Region)}, n.VM.Role)); err != nil {
		return err
	}
	f.start(f.Nodes[len(f.Nodes)-1])
	return nil
}

// Live returns the nodes that have not crashed.
func (f *Fleet) Live() []*FleetNode {
	live := make([]*FleetNode, 0, len(f.Nodes))
	for _, n := range f.Nodes {
		if !n.crashed.Load() {
			live = append(live, n)
		}
	}
	return live
}

// Root returns the live node that holds the duty of the root of the relay tree.
func (f *Fleet) Root() (*FleetNode, bool) {
	for _, n := range f.Live() {
		if n.Distribution.IsRoot() {
			return n, true
		}
	}
	return nil, false
}

// AwaitRevision waits until every live node has revision r of the configuration or a later one. It returns how long each
// took, and an error if nodes lack the revision when ctx ends.
func (f *Fleet) AwaitRevision(ctx context.Context, r identifier.Revision) ([]time.Duration, error) {
	began := f.clock.Monotonic()
	live := f.Live()
	took := make([]time.Duration, len(live))
	var waiting sync.WaitGroup
	var missing atomic.Int64
	for i, n := range live {
		waiting.Go(func() {
			for {
				doc, changed := n.Config.Watch()
				if doc.Revision() >= r {
					took[i] = f.clock.Monotonic() - began
					return
				}
				select {
				case <-changed:
				case <-ctx.Done():
					missing.Add(1)
					return
				}
			}
		})
	}
	waiting.Wait()
	if missing.Load() > 0 {
		return took, fmt.Errorf("configuration revision %d is missing at %d of %d nodes", r, missing.Load(), len(live))
	}
	return took, nil
}

// Close stops all nodes.
func (f *Fleet) Close() error {
	errs := make([]error, len(f.Nodes))
	var closing sync.WaitGroup
	for i, n := range f.Nodes {
		if !n.crashed.Load() {
			closing.Go(func() { errs[i] = f.Crash(n) })
		}
	}
	closing.Wait()
	f.clock.Close()
	return errors.Join(errs...)
}
