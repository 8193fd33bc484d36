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

// publishDuty is the duty whose holder is the root of the relay tree.
const publishDuty = "publish"

// Lister reads the platform's VM list.
type Lister interface {
	VMs(ctx context.Context) ([]platformclient.VM, error)
}

// DistributionSettings holds the settings and dependencies of a Distribution.
type DistributionSettings struct {
	Self   distributor.Member
	Period time.Duration
	FanOut int
	Clock  timer.Service
	Log    *logger.Logger
	// Peers calls other nodes. It is separate from the client for requests, so that closing a control connection does not
	// interrupt a request.
	Peers    *rpcclient.Client
	Platform Lister
	// Config receives each adopted configuration.
	Config *configurator.Configurator
	// Folder is the folder of the saved copy; empty means that the VM has no disk.
	Folder string
	// OnVMList is called with each adopted VM list, if set.
	OnVMList func(vms []platformclient.VM)
	// OwnReport returns the report of the agent's own target. It is nil unless the node is an agent.
	OwnReport func() tracker.Row
}

// Distribution runs a node of the relay tree: it requests updates from its parent, answers its children and compares
// digests with its peers. The root also watches the key-value service and polls the VM list.
type Distribution struct {
	Relay     *distributor.Relay
	Assembler *tracker.Assembler

	settings  DistributionSettings
	upstream  distributor.Upstream
	layout    atomic.Pointer[distributor.Layout]
	archive   *archiver.Archiver
	publisher *publisher.Publisher
	leases    *leaser.Leaser

	// rootFence is the fencing number of this node's term as the root, or zero while it is not the root.
	rootFence atomic.Uint64
	// buildsDigest is set while this node builds the digest of its zone.
	buildsDigest atomic.Bool
	// lastReport is the monotonic time of the last sync request with reports. Only pollParents and the functions it calls
	// use it.
	lastReport time.Duration
	// pulls queues the addresses of nodes that have a later revision of a document. pullDocuments requests it from them.
	pulls chan string
	// resign ends the term of a root that is a backup relay, once the relay that it replaced is back.
	resign chan struct{}
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// pullLimit is the capacity of pulls. Addresses beyond it are dropped and found again by the next comparison of digests.
const pullLimit = 16

// NewDistribution returns a Distribution that is not started. Its Relay accepts copies from the beginning.
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

// Start starts the node's tasks, which run until Stop. pub and leases are nil for nodes that cannot be the root.
func (d *Distribution) Start(pub *publisher.Publisher, leases *leaser.Leaser) {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel, d.publisher, d.leases = cancel, pub, leases
	d.loadCopy()
	d.tasks.Go(func() { d.pollParents(ctx) })
	d.tasks.Go(func() { d.compareDigests(ctx) })
	d.tasks.Go(func() { d.pullDocuments(ctx) })
	d.tasks.Go(func() { d.watchVMList(ctx) })
	if leases != nil {
		d.tasks.Go(func() { leases.Campaign(ctx, publishDuty, d.lead) })
	}
	if d.archive != nil {
		d.tasks.Go(func() { d.saveProof(ctx) })
	}
}

// Stop cancels the tasks and waits for them.
func (d *Distribution) Stop() {
	if d.cancel != nil {
		d.cancel()
	}
	d.tasks.Wait()
}

// Layout returns the layout made from the last adopted VM list.
func (d *Distribution) Layout() distributor.Layout { return *d.layout.Load() }

// IsRoot reports whether this node is the root.
func (d *Distribution) IsRoot() bool { return d.rootFence.Load() > 0 }

// Age returns the time since the last proof of freshness, and false if there is none.
func (d *Distribution) Age() (time.Duration, bool) { return d.Relay.Age(d.settings.Clock.Monotonic()) }

// adoptVMs rebuilds the layout of the tree from a VM list, and passes the list to the Assembler and to OnVMList.
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
	if d.settings.OnVMList != nil {
		d.settings.OnVMList(vms)
	}
}

// wait waits for delay and reports whether it passed before ctx ended.
func (d *Distribution) wait(ctx context.Context, delay time.Duration) bool {
	sub := d.settings.Clock.After(delay)
	defer sub.Stop()
	select {
	case <-sub.C():
		return true
	case <-ctx.Done():
		return false
	}
}
