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

// FleetPlan is the size of a fleet.
type FleetPlan struct {
	// Zones lists the nodes of each availability zone.
	Zones  []ZonePlan
	Period time.Duration
	// Store is the base URL of the key-value service.
	Store string
	// TTL is that of leases; zero means the usual one.
	TTL time.Duration
}

// ZonePlan is the size of an availability zone.
type ZonePlan struct {
	Location

	Entries int
	Agents  int
}

// EvenZonePlans spreads entries over 17 zones in 5 regions, or over as many as there are entries.
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

// Fleet is a set of nodes of the relay tree in one process, each with connections, copies and tasks of its own.
type Fleet struct {
	Nodes []*FleetNode

	plan  FleetPlan
	clock *timer.System
	list  fleetList
	last  int
}

// FleetNode is one node of a fleet.
type FleetNode struct {
	VM           platformclient.VM
	Distribution *runner.Distribution
	Config       *configurator.Configurator
	// Publisher is nil for agents.
	Publisher *publisher.Publisher
	// Draining is what an agent reports.
	Draining atomic.Bool
	// Traffic counts the bytes that passed through the node's listener and its own connections.
	Traffic atomic.Int64

	server *rpcserver.Server
	peers  *rpcclient.Client
	cut    atomic.Bool
}

// fleetList is the platform's VM list.
type fleetList struct {
	mu  sync.Mutex
	vms []platformclient.VM
}

// VMs returns the list.
func (l *fleetList) VMs(context.Context) ([]platformclient.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]platformclient.VM(nil), l.vms...), nil
}

func (l *fleetList) change(f func([]platformclient.VM) []platformclient.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = f(append([]platformclient.VM(nil), l.vms...))
}

// NewFleet starts the nodes of a plan. Close ends them.
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
	// The nodes start with the whole list, as those of a running deployment do.
	for _, n := range f.Nodes {
		f.start(n)
	}
	return f, nil
}

// Add lists a new VM and makes its node, which Start runs.
func (f *Fleet) Add(at Location, role platformclient.Role) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", loopback)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	f.last++
	n := &FleetNode{Config: &configurator.Configurator{}, server: rpcserver.NewServer()}
	n.VM = platformclient.VM{
		Name: identifier.Node("vm-" + strconv.Itoa(f.last)), Role: role, Zone: identifier.Zone(at.Zone),
		Region: identifier.Region(at.Region), State: platformclient.StateLive, Address: l.Addr().String(),
	}
	s := runner.DistributionSettings{
		Period: f.plan.Period, FanOut: distributor.DefaultFanOut, Clock: f.clock, Platform: &f.list, Config: n.Config,
		Self: distributor.Member{Node: n.VM.Name, Zone: n.VM.Zone, Region: n.VM.Region, Address: n.VM.Address},
	}
	if role == platformclient.RoleTarget {
		n.VM.Service, n.VM.Target = "sortmind", identifier.Target("target-"+strconv.Itoa(f.last))
		s.Self.Agent = true
		incarnation := identifier.Incarnation(f.clock.Now().UnixNano())
		s.Own = func() tracker.Row {
			return tracker.Row{
				Target: n.VM.Target, Incarnation: incarnation, Running: int(f.clock.Boot()/time.Second) % 200,
				Draining: n.Draining.Load(), Version: 7,
			}
		}
	}
	n.peers = rpcclient.NewClient(f.clock, rpcclient.WithDialer(n.dial))
	s.Peers = n.peers
	n.Distribution = runner.NewDistribution(s)
	if err := n.server.Register("Relay", rpcserver.NewRelay(n.Distribution, f.clock)); err != nil {
		return fmt.Errorf("serve relay: %w", err)
	}
	n.server.Start(&countedListener{Listener: l, node: n})
	f.list.change(func(vms []platformclient.VM) []platformclient.VM { return append(vms, n.VM) })
	f.Nodes = append(f.Nodes, n)
	return nil
}

// start runs the tasks of a node.
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

// Crash ends a node's process like a crash; the VM list still names it.
func (f *Fleet) Crash(n *FleetNode) error {
	n.cut.Store(true)
	n.Distribution.Stop()
	n.peers.Close()
	return n.server.Close()
}

// Replace crashes a node, takes it off the VM list and starts another in its place.
func (f *Fleet) Replace(n *FleetNode) error {
	err := f.Crash(n)
	f.list.change(func(vms []platformclient.VM) []platformclient.VM {
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

// Live returns the nodes that run.
func (f *Fleet) Live() []*FleetNode {
	live := make([]*FleetNode, 0, len(f.Nodes))
	for _, n := range f.Nodes {
		if !n.cut.Load() {
			live = append(live, n)
		}
	}
	return live
}

// Root returns the node that holds the duty of the root.
func (f *Fleet) Root() (*FleetNode, bool) {
	for _, n := range f.Live() {
		if n.Distribution.Leading() {
			return n, true
		}
	}
	return nil, false
}

// AwaitRevision waits until every live node has at least revision r, and returns how long each took.
func (f *Fleet) AwaitRevision(ctx context.Context, r identifier.Revision) ([]time.Duration, error) {
	began := f.clock.Boot()
	live := f.Live()
	took := make([]time.Duration, len(live))
	var waiting sync.WaitGroup
	var late atomic.Int64
	for i, n := range live {
		waiting.Go(func() {
			for {
				doc, changed := n.Config.Watch()
				if doc.Revision() >= r {
					took[i] = f.clock.Boot() - began
					return
				}
				select {
				case <-changed:
				case <-ctx.Done():
					late.Add(1)
					return
				}
			}
		})
	}
	waiting.Wait()
	if late.Load() > 0 {
		return took, fmt.Errorf("revision %d: %d of %d nodes do not have it", r, late.Load(), len(live))
	}
	return took, nil
}

// Close ends all nodes.
func (f *Fleet) Close() error {
	errs := make([]error, len(f.Nodes))
	var closing sync.WaitGroup
	for i, n := range f.Nodes {
		if !n.cut.Load() {
			closing.Go(func() { errs[i] = f.Crash(n) })
		}
	}
	closing.Wait()
	f.clock.Close()
	return errors.Join(errs...)
}
