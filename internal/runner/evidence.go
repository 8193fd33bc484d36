package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcserver"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// warnTimeout bounds how long a caller waits for the other entries to be warned about its request.
const warnTimeout = time.Second

// exchanger swaps crash evidence with another entry. The relay can take its place.
type exchanger interface {
	Exchange(ctx context.Context, address string, e isolator.Evidence) (isolator.Evidence, error)
}

// servePeers joins the relay tree and serves the calls of other nodes.
func (e *Entry) servePeers(s loader.Settings, parts treeParts, options []rpcserver.Option) error {
	server := rpcserver.NewServer(options...)
	if err := server.Register("Evidence", rpcserver.NewEvidence(e.isolator, e.clock)); err != nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	l, err := listen(s.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	e.Peers = l.Addr().String()
	e.tree, err = newTree(s, parts, server, l)
	return err
}

// shareEvidence swaps crash evidence with the listed entries: each period with one of them in turn, and with all of
// them when this entry has learnt something.
func (e *Entry) shareEvidence(ctx context.Context, list *platformclient.Client) {
	tick := e.clock.Every(e.period)
	defer tick.Stop()
	shared, turn := 0, 0
	for {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
		known := e.isolator.Revision()
		vms, err := list.VMs(ctx)
		if err != nil {
			continue
		}
		peers := e.otherEntries(vms)
		if known == shared && len(peers) > 0 {
			turn++
			peers = peers[turn%len(peers):][:1]
		}
		if e.exchange(ctx, peers) == nil {
			shared = known
		}
	}
}

// warn tells the other entries at once about a request that is held back.
func (e *Entry) warn(ctx context.Context) {
	ctx, cancel := timer.WithTimeout(ctx, e.clock, warnTimeout)
	defer cancel()
	vms, err := e.list.VMs(ctx)
	if err != nil {
		return
	}
	// Those that it does not reach get the evidence in the next period.
	_ = e.exchange(ctx, e.otherEntries(vms))
}

// logHeld logs a request that is held back from now on.
func (e *Entry) logHeld(ended dispatcher.EndedRequest) {
	if ended.Result.Reason == dispatcher.ReasonCrashesTargets {
		r := ended.Request
		e.log.Emit(logger.RequestHeld, "request", r.ID, "team", r.Identity.Team, "service", r.Service.Name, "target", ended.Result.Target)
	}
}

// exchange swaps evidence with the given entries. Those that do not answer are tried again in the next period.
func (e *Entry) exchange(ctx context.Context, peers []string) error {
	var via exchanger = rpcclient.NewExchanger(e.peers)
	var failed error
	for _, address := range peers {
		theirs, err := via.Exchange(ctx, address, e.isolator.Evidence())
		if err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		e.isolator.Merge(theirs, e.clock.Now())
	}
	return failed
}

func (e *Entry) otherEntries(vms []platformclient.VM) []string {
	var peers []string
	for _, vm := range vms {
		if vm.Role == platformclient.RoleEntry && vm.Address != e.Peers {
			peers = append(peers, vm.Address)
		}
	}
	return peers
}
