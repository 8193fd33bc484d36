package runner

import (
	"context"
	"errors"
	"fmt"
	"sync"
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

const (
	// broadcastTimeout limits how long the response to a request that a crash ended waits for the evidence to be sent to
	// the other entries.
	broadcastTimeout = time.Second
	// maxExchanges is the number of entries that are called at a time. One after another, a single unreachable entry would
	// keep the evidence from all behind it until the call to it times out.
	maxExchanges = 16
)

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
// them when this entry has new evidence, and with all of them at once when a response waits for it.
func (e *Entry) shareEvidence(ctx context.Context, platform *platformclient.Client) {
	tick := e.clock.Every(e.period)
	defer tick.Stop()
	sharedRevision, nextPeer := 0, 0
	for {
		var waiting []chan<- struct{}
		select {
		case first := <-e.broadcasts:
			waiting = e.waitingBroadcasts(first)
		case <-tick.C():
		case <-ctx.Done():
			return
		}
		revision := e.isolator.Revision()
		vms, err := platform.VMs(ctx)
		if err == nil {
			peers := e.otherEntries(vms)
			if waiting == nil && revision == sharedRevision && len(peers) > 0 {
				nextPeer++
				peers = peers[nextPeer%len(peers):][:1]
			}
			if e.exchangeEvidence(ctx, peers) == nil {
				sharedRevision = revision
			}
		}
		for _, done := range waiting {
			close(done)
		}
	}
}

// waitingBroadcasts returns first and the other broadcasts that wait now. One exchange serves them all: a crash ends many
// requests at the same time.
func (e *Entry) waitingBroadcasts(first chan<- struct{}) []chan<- struct{} {
	waiting := []chan<- struct{}{first}
	for {
		select {
		case done := <-e.broadcasts:
			waiting = append(waiting, done)
		default:
			return waiting
		}
	}
}

// broadcastEvidence waits until the evidence of this entry was sent to the other entries, for broadcastTimeout at most. Entries that
// cannot be reached receive it in the next period.
func (e *Entry) broadcastEvidence(ctx context.Context) {
	ctx, cancel := timer.WithTimeout(ctx, e.clock, broadcastTimeout)
	defer cancel()
	done := make(chan struct{})
	select {
	case e.broadcasts <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// logHeld logs a request that is held back because it crashes targets.
func (e *Entry) logHeld(ended dispatcher.EndedRequest) {
	if ended.Result.Reason == dispatcher.ReasonCrashesTargets {
		r := ended.Request
		e.log.Emit(logger.RequestHeld, "request", r.ID, "team", r.Identity.Team, "service", r.Service.Name, "target", ended.Result.Target)
	}
}

// exchangeEvidence exchanges evidence with the entries at the given addresses, maxExchanges at a time. It returns an error if any
// exchange failed; the caller repeats it in the next period.
func (e *Entry) exchangeEvidence(ctx context.Context, peers []string) error {
	var client exchanger = rpcclient.NewExchanger(e.peers)
	failures := make(chan error, len(peers))
	slots := make(chan struct{}, maxExchanges)
	var exchanges sync.WaitGroup
	for _, address := range peers {
		slots <- struct{}{}
		exchanges.Go(func() {
			defer func() { <-slots }()
			received, err := client.Exchange(ctx, address, e.isolator.Evidence())
			if err != nil {
				failures <- err
				return
			}
			e.isolator.Merge(received, e.clock.Now())
		})
	}
	exchanges.Wait()
	close(failures)
	var errs error
	for err := range failures {
		errs = errors.Join(errs, err)
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
