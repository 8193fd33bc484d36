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

// Candidate reports whether the node campaigns for the duty of the root: only the relays of the regions do, so that
// the calls to the key-value service do not grow with the fleet, and a deputy while its relay does not answer.
func (d *Distribution) Candidate() bool {
	layout := d.Layout()
	return layout.Role(d.settings.Self) == distributor.RegionRelay || d.acting.Load() && layout.Gateway(d.settings.Self)
}

// heardFrom ends the term of a deputy when the node at address, for which it stands in, is back: the targets of the
// zone report to that node, and the root's own digest would lack them.
func (d *Distribution) heardFrom(address string) {
	if d.Leading() && d.Layout().Precedes(address, d.settings.Self) {
		select {
		case d.resign <- struct{}{}:
		default:
		}
	}
}

// lead is the node's term as the root of the relay tree.
func (d *Distribution) lead(ctx context.Context, t leaser.Term) {
	s := d.settings
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A request to resign that came after the end of an earlier term is void.
	select {
	case <-d.resign:
	default:
	}
	d.leading.Store(uint64(t.Fence))
	d.Relay.SetRoot(distributor.Root{Fence: t.Fence, Address: s.Self.Address})
	d.prefer()
	s.Log.Emit(logger.RootBegan, "fence", t.Fence)
	var tasks sync.WaitGroup
	tasks.Go(func() { d.publish.Follow(ctx) })
	tasks.Go(func() { d.publishList(ctx, t.Fence) })
	select {
	case <-d.resign:
		cancel()
	case <-ctx.Done():
	}
	tasks.Wait()
	d.leading.Store(0)
	s.Log.Emit(logger.RootEnded, "fence", t.Fence)
}

// listShift makes room for the number of a list within a term: a list of a later term has a higher revision.
const listShift = 32

// publishList reads the VM list each period and relays it when it has changed.
func (d *Distribution) publishList(ctx context.Context, fence identifier.Fence) {
	tick := d.settings.Clock.Every(d.settings.Period)
	defer tick.Stop()
	revision := identifier.Revision(fence) << listShift
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

// aloneAfter is the age of the last proof, in periods, from which a node looks for the VM list and, as a relay, for the
// configuration itself. It is also the time between two looks.
const aloneAfter = 10

// watchList reads the VM list and, as the last resort, the stored configuration while the node hears of no root. It
// begins with short pauses, because a node without a list has no parent.
func (d *Distribution) watchList(ctx context.Context) {
	s := d.settings
	for pause := s.Period; ; pause = min(2*pause, aloneAfter*s.Period) {
		age, ok := d.Age()
		rootless := d.Relay.Root().Fence == 0
		if alone := rootless || !ok || age > aloneAfter*s.Period; alone && !d.Leading() {
			d.lookAround(ctx)
		}
		// Half of the pause is random, so that nodes that started together do not look together.
		if !d.wait(ctx, pause/2+rand.N(pause/2+1)) { //nolint:gosec // no secret depends on it
			return
		}
	}
}

// lookAround does without the tree what a node needs most.
func (d *Distribution) lookAround(ctx context.Context) {
	vms, err := d.settings.Platform.VMs(ctx)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		d.adoptVMs(vms)
	} else {
		d.settings.Log.Emit(logger.ListUnavailable, "error", err)
	}
	relays := d.Layout().Role(d.settings.Self) != distributor.Leaf
	if d.publish != nil && (relays || d.Relay.Current(distributor.Config).Revision() == 0) {
		d.publish.Refresh(ctx)
	}
}

var _ publisher.Distributor = (*distributor.Relay)(nil)
