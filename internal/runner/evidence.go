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

// broadcastTimeout limits how long the response to a held back request waits for the evidence to be sent to the other
// entries.
const broadcastTimeout = time.Second

// exchanger exchanges crash evidence with another entry. It is an interface so that an exchange over the relay tree could
// replace the direct calls.
type exchanger interface {
	Exchange(ctx context.Context, address string, e isolator.Evidence) (isolator.Evidence, error)
}

// servePeers creates the node of the relay tree and serves the calls of other nodes.
func (e *Entry) servePeers(s loader.Settings, deps treeNodeDependencies, options []rpcserver.Option) error {
	server := rpcserver.NewServer(options...)
	if err := server.Register("Evidence", rpcserver.NewEvidence(e.isolator, e.clock)); err != nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	l, err := listen(s.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	e.Peers = l.Addr().String()
	e.tree, err = newTreeNode(s, deps, server, l)
	return err
}

// shareEvidence exchanges crash evidence with the listed entries: in each period with one of them in turn, or with all of
// them when this entry has new evidence.
func (e *Entry) shareEvidence(ctx context.Context, platform *platformclient.Client) {
	tick := e.clock.Every(e.period)
	defer tick.Stop()
	sharedRevision, nextPeer := 0, 0
	for {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
		revision := e.isolator.Revision()
		vms, err := platform.VMs(ctx)
		if err != nil {
			continue
		}
		peers := e.otherEntries(vms)
		if revision == sharedRevision && len(peers) > 0 {
			nextPeer++
			peers = peers[nextPeer%len(peers):][:1]
		}
		if e.exchange(ctx, peers) == nil {
			sharedRevision = revision
		}
	}
}

// broadcastEvidence sends the evidence about a held back request to the other entries without waiting for the next period.
func (e *Entry) broadcastEvidence(ctx context.Context) {
	ctx, cancel := timer.WithTimeout(ctx, e.clock, broadcastTimeout)
	defer cancel()
	vms, err := e.platform.VMs(ctx)
	if err != nil {
		return
	}
	// Entries that cannot be reached receive the evidence in the next period.
	_ = e.exchange(ctx, e.otherEntries(vms))
}

// logHeld logs a request that is held back because it crashes targets.
func (e *Entry) logHeld(ended dispatcher.EndedRequest) {
	if ended.Result.Reason == dispatcher.ReasonCrashesTargets {
		r := ended.Request
		e.log.Emit(logger.RequestHeld, "request", r.ID, "team", r.Identity.Team, "service", r.Service.Name, "target", ended.Result.Target)
	}
}

// exchange exchanges evidence with the entries at the given addresses. It returns an error if any exchange failed; the
// caller repeats it in the next period.
func (e *Entry) exchange(ctx context.Context, peers []string) error {
	var client exchanger = rpcclient.NewExchanger(e.peers)
	var errs error
	for _, address := range peers {
		received, err := client.Exchange(ctx, address, e.isolator.Evidence())
		if err != nil {
			errs = errors.Join(errs, err)
			continue
		}
		e.isolator.Merge(received, e.clock.Now())
	}
	return errs
}

// otherEntries returns the addresses of the listed entries except this one.
func (e *Entry) otherEntries(vms []platformclient.VM) []string {
	var peers []string
	for _, vm := range vms {
		if vm.Role == platformclient.RoleEntry && vm.Address != e.Peers {
			peers = append(peers, vm.Address)
		}
	}
	return peers
}
