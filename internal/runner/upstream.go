package runner

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/tracker"
)

// pauseShare is the part of a period between two questions that brought nothing, or whose parent was found dead at once.
const pauseShare = 4

// follow asks a parent again and again until ctx ends. The root has no parent; it makes the digest of its zone.
func (d *Distribution) follow(ctx context.Context) {
	s := d.settings
	last := ""
	for round := 0; ctx.Err() == nil; round++ {
		if d.Leading() {
			d.acting.Store(true)
			d.Assembler.BuildDigest(s.Self.Node, s.Clock.Boot(), s.Clock.Now())
			d.wait(ctx, s.Period)
			continue
		}
		d.report()
		began := s.Clock.Boot()
		parent, ok := d.upstream.Next(began, s.Period)
		if !ok {
			d.makeDigest()
			d.wait(ctx, s.Period/pauseShare)
			continue
		}
		if parent != last {
			last, d.reported = parent, 0
			d.Assembler.ResetForwarded()
		}
		d.acting.Store(!d.inZone(parent))
		d.makeDigest()
		if d.ask(ctx, parent, round) {
			continue
		}
		if took := s.Clock.Boot() - began; took < s.Period/pauseShare {
			d.wait(ctx, s.Period/pauseShare-took)
		}
	}
}

// ask asks one parent and reports whether the next question may follow at once.
func (d *Distribution) ask(ctx context.Context, parent string, round int) bool {
	s := d.settings
	askCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	q := d.question(round)
	known, changed := d.Relay.Known()
	if known != q.Known {
		return true
	}
	// A document from elsewhere ends the question, so that the parent hears of it with the next one.
	go func() {
		select {
		case <-changed:
			cancel()
		case <-askCtx.Done():
		}
	}()
	sent := s.Clock.Boot()
	reply, err := s.Peers.Sync(askCtx, parent, q, 2*s.Period)
	switch {
	case err == nil:
		d.upstream.Succeed(parent)
		return d.absorb(reply, sent)
	case askCtx.Err() != nil:
		return true
	default:
		d.Assembler.ResetForwarded()
		if d.upstream.Fail(parent, s.Clock.Boot()) {
			s.Log.Emit(logger.ParentSilent, "relay", parent, "error", err)
		}
		return false
	}
}

// absorb takes over an answer to a question that was sent at the given boot clock time. It reports whether it had a
// later document.
func (d *Distribution) absorb(reply messenger.SyncReply, sent time.Duration) bool {
	s := d.settings
	whole, progress := true, false
	for _, u := range reply.Updates {
		switch taking := d.Relay.Merge(u); taking {
		case distributor.Adopted:
			progress = true
		case distributor.Stale:
		default:
			whole = false
			s.Log.Emit(logger.DocumentRefused, "topic", int(u.Topic), "revision", u.Revision, "outcome", int(taking))
		}
	}
	if reply.Proof && whole {
		d.Relay.MarkFresh(sent - reply.Age)
	}
	d.Relay.SetRoot(reply.Root)
	d.prefer()
	now := s.Clock.Boot()
	if !d.acting.Load() {
		d.Assembler.Accept(reply.Digest, now)
	}
	d.Assembler.Merge(reply.Summaries)
	return progress
}

// prefer makes the relay of a region ask the root before the relays of other regions.
func (d *Distribution) prefer() {
	root := d.Relay.Root().Address
	if root == d.settings.Self.Address || !d.Candidate() {
		root = ""
	}
	d.upstream.SetRoot(root)
}

// report puts the report of the agent's own target among those that are passed on.
func (d *Distribution) report() {
	if d.settings.Own != nil {
		d.Assembler.AddRows([]tracker.Row{d.settings.Own()}, d.settings.Clock.Boot())
	}
}

// makeDigest makes the digest of the zone if that falls to this node.
func (d *Distribution) makeDigest() {
	if d.acting.Load() {
		d.Assembler.BuildDigest(d.settings.Self.Node, d.settings.Clock.Boot(), d.settings.Clock.Now())
	}
}

// inZone reports whether the node at address is of this node's zone.
func (d *Distribution) inZone(address string) bool {
	m, ok := d.Layout().At(address)
	return ok && m.Zone == d.settings.Self.Zone
}
