package runner

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/publisher"
)

// Candidate reports whether the node campaigns for the duty of the root. The relays of regions do, and a backup relay
// while the relay that it replaces does not answer. All other nodes do not, so that the number of calls to the key-value
// service does not grow with the fleet.
func (d *Distribution) Candidate() bool {
	layout := d.Layout()
	return layout.Role(d.settings.Self) == distributor.RegionRelay || d.buildsDigest.Load() && layout.IsRegionGateway(d.settings.Self)
}

// resignIfPreceded ends the term of a backup relay as the root when a node that precedes it in its zone is back, as a
// request from address shows: the targets of the zone report to that node and would be missing from the root's digest.
func (d *Distribution) resignIfPreceded(address string) {
	if d.IsRoot() && d.Layout().Precedes(address, d.settings.Self) {
		select {
		case d.resign <- struct{}{}:
		default:
		}
	}
}

// lead runs one term of this node as the root of the relay tree. It returns when ctx ends or the node resigns.
func (d *Distribution) lead(ctx context.Context, t leaser.Term) {
	s := d.settings
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Drops a request to resign that was sent after the end of an earlier term.
	select {
	case <-d.resign:
	default:
	}
	d.rootFence.Store(uint64(t.Fence))
	d.Relay.SetRoot(distributor.Root{Fence: t.Fence, Address: s.Self.Address})
	d.preferRoot()
	s.Log.Emit(logger.RootBegan, "fence", t.Fence)
	var tasks sync.WaitGroup
	tasks.Go(func() { d.publisher.Follow(ctx) })
	tasks.Go(func() { d.publishVMList(ctx, t.Fence) })
	select {
	case <-d.resign:
		cancel()
	case <-ctx.Done():
	}
	tasks.Wait()
	d.rootFence.Store(0)
	s.Log.Emit(logger.RootEnded, "fence", t.Fence)
}

// listRevisionShift is the number of low bits of a list's revision that count the lists of one term. The high bits are
// the fencing number, so that a list of a later term has a higher revision.
const listRevisionShift = 32

// publishVMList reads the VM list each period and offers it to the relay if it has changed or was published in an earlier
// term.
func (d *Distribution) publishVMList(ctx context.Context, fence identifier.Fence) {
	tick := d.settings.Clock.Every(d.settings.Period)
	defer tick.Stop()
	revision := identifier.Revision(fence) << listRevisionShift
	for {
		vms, err := d.settings.Platform.VMs(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			d.settings.Log.Emit(logger.ListUnavailable, "error", err)
		default:
			body := codec.EncodeVMList(vms)
			current := d.Relay.Current(distributor.VMList)
			if current.Revision() < revision || !bytes.Equal(body, current.Body()) {
				revision = max(revision, current.Revision()) + 1
				d.Relay.Offer(distributor.VMList, distributor.NewCopy(revision, body))
			}
		}
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

// disconnectedPeriods is the age of the last proof, in periods, above which a node reads the VM list itself and, if it is
// a relay, the stored configuration. It is also the longest time between two such reads.
const disconnectedPeriods = 10

// watchVMList calls refreshDirectly while the node is not connected to a root. The first pauses are short, because a node
// without a VM list has no parent.
func (d *Distribution) watchVMList(ctx context.Context) {
	s := d.settings
	for pause := s.Period; ; pause = min(2*pause, disconnectedPeriods*s.Period) {
		age, ok := d.Age()
		noRoot := d.Relay.Root().Fence == 0
		if disconnected := noRoot || !ok || age > disconnectedPeriods*s.Period; disconnected && !d.IsRoot() {
			d.refreshDirectly(ctx)
		}
		// Half of the pause is random, so that nodes that started together do not read the list at the same time.
		if !d.wait(ctx, pause/2+rand.N(pause/2+1)) { //nolint:gosec // not used for security
			return
		}
	}
}

// refreshDirectly reads the VM list from the platform and, if the node can, the configuration from the key-value service,
// without the relay tree. A leaf reads the configuration only if it has none.
func (d *Distribution) refreshDirectly(ctx context.Context) {
	vms, err := d.settings.Platform.VMs(ctx)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		d.adoptVMs(vms)
	} else {
		d.settings.Log.Emit(logger.ListUnavailable, "error", err)
	}
	isRelay := d.Layout().Role(d.settings.Self) != distributor.Leaf
	if d.publisher != nil && (isRelay || d.Relay.Current(distributor.Config).Revision() == 0) {
		d.publisher.Refresh(ctx)
	}
}

var _ publisher.Distributor = (*distributor.Relay)(nil)
