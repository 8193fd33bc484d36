package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/archiver"
	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/publisher"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/tracker"
)

// publishDuty is the duty of the root of the relay tree.
const publishDuty = "publish"

// Lister reads the platform's VM list.
type Lister interface {
	VMs(ctx context.Context) ([]platformclient.VM, error)
}

// DistributionSettings are what a Distribution is built from.
type DistributionSettings struct {
	Self   distributor.Member
	Period time.Duration
	FanOut int
	Clock  timer.Service
	Log    *logger.Logger
	// Peers calls other nodes. It is not used for requests, so that a closed control connection cuts no request.
	Peers    *rpcclient.Client
	Platform Lister
	// Config is where the configuration is put in force.
	Config *configurator.Configurator
	// Folder holds the saved copy; empty means that the VM has no disk.
	Folder string
	// Listed is called with each VM list, if set.
	Listed func(vms []platformclient.VM)
	// Own returns the report of the agent's own target, if the node is an agent.
	Own func() tracker.Row
}

// Distribution is a node's part in the relay tree: it asks its parent, answers its children and compares digests with
// its peers. The root also follows the key-value service and the VM list.
type Distribution struct {
	Relay     *distributor.Relay
	Assembler *tracker.Assembler

	settings DistributionSettings
	upstream distributor.Upstream
	layout   atomic.Pointer[distributor.Layout]
	archive  *archiver.Archiver
	publish  *publisher.Publisher
	leases   *leaser.Leaser

	// leading is the fencing number of this node's term as the root; zero while it has none.
	leading atomic.Uint64
	// acting tells whether this node makes the digest of its zone.
	acting atomic.Bool
	// reported is when the last question with reports was sent; only follow uses it.
	reported time.Duration
	// pulls holds the addresses of nodes that have a later document.
	pulls chan string
	// resign ends the term of a root that stands in for a relay that is back.
	resign chan struct{}
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// pullLimit bounds the addresses that wait; further ones are found by the next comparison of digests.
const pullLimit = 16

// NewDistribution returns a Distribution that is not running. Its Relay can take copies already.
func NewDistribution(s DistributionSettings) *Distribution {
	d := &Distribution{settings: s, pulls: make(chan string, pullLimit), resign: make(chan struct{}, 1)}
	d.Assembler = tracker.NewAssembler(s.Self.Zone, s.Period)
	d.Relay = distributor.NewRelay(s.Self, s.Period, [distributor.TopicCount]distributor.Adopter{
		distributor.Config: configAdopter{d}, distributor.VMList: listAdopter{d},
	})
	if s.Folder != "" {
		d.archive = archiver.NewArchiver(s.Folder, "config.copy")
	}
	d.layout.Store(&distributor.Layout{})
	return d
}

// Start runs the node's tasks until Stop. publish and leases are nil for nodes that can't be the root.
func (d *Distribution) Start(publish *publisher.Publisher, leases *leaser.Leaser) {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel, d.publish, d.leases = cancel, publish, leases
	d.loadCopy()
	d.tasks.Go(func() { d.follow(ctx) })
	d.tasks.Go(func() { d.compare(ctx) })
	d.tasks.Go(func() { d.pull(ctx) })
	d.tasks.Go(func() { d.watchList(ctx) })
	if leases != nil {
		d.tasks.Go(func() { leases.Campaign(ctx, publishDuty, d.lead) })
	}
	if d.archive != nil {
		d.tasks.Go(func() { d.saveProof(ctx) })
	}
}

// Stop ends the tasks and waits for them.
func (d *Distribution) Stop() {
	if d.cancel != nil {
		d.cancel()
	}
	d.tasks.Wait()
}

// Layout returns the layout in use.
func (d *Distribution) Layout() distributor.Layout { return *d.layout.Load() }

// Leading reports whether this node is the root.
func (d *Distribution) Leading() bool { return d.leading.Load() > 0 }

// Age returns the time since the last proof of freshness; false without one.
func (d *Distribution) Age() (time.Duration, bool) { return d.Relay.Age(d.settings.Clock.Boot()) }

// adoptVMs lays out the tree anew.
func (d *Distribution) adoptVMs(vms []platformclient.VM) {
	members := make([]distributor.Member, 0, len(vms))
	var targets []tracker.Member
	for _, vm := range vms {
		leaving := vm.State == platformclient.StateLeaving
		if vm.Address == "" {
			continue
		}
		members = append(members, distributor.Member{
			Node: vm.Name, Zone: vm.Zone, Region: vm.Region, Address: vm.Address,
			Agent: vm.Role == platformclient.RoleTarget, Leaving: leaving,
		})
		if vm.Role == platformclient.RoleTarget {
			targets = append(targets, tracker.Member{
				Target: vm.Target, Service: vm.Service, Zone: vm.Zone, Region: vm.Region, Address: vm.Address, Leaving: leaving,
			})
		}
	}
	layout := distributor.NewLayout(members, d.settings.FanOut)
	d.layout.Store(&layout)
	d.upstream.SetParents(layout.Parents(d.settings.Self))
	d.Assembler.AdoptList(targets)
	if d.settings.Listed != nil {
		d.settings.Listed(vms)
	}
}

// wait reports whether t passed before ctx ended.
func (d *Distribution) wait(ctx context.Context, t time.Duration) bool {
	sub := d.settings.Clock.After(t)
	defer sub.Stop()
	select {
	case <-sub.C():
		return true
	case <-ctx.Done():
		return false
	}
}
