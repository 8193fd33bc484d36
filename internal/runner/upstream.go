package runner

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/tracker"
)

// pauseDivisor divides the period to give the minimum time between the starts of two sync requests if the first one
// failed or returned no update.
const pauseDivisor = 4

// syncTimeoutPeriods is the time limit of a sync request in periods.
const syncTimeoutPeriods = 2

// pollParents sends sync requests to the current parent until ctx ends. The root has no parent; it builds the digest of
// its zone.
func (d *Distribution) pollParents(ctx context.Context) {
	s := d.settings
	lastParent := ""
	for round := 0; ctx.Err() == nil; round++ {
		if d.IsRoot() {
			d.buildsDigest.Store(true)
			d.Assembler.BuildDigest(s.Self.Node, s.Clock.Monotonic(), s.Clock.Now())
			d.wait(ctx, s.Period)
			continue
		}
		d.addOwnReport()
		began := s.Clock.Monotonic()
		parent, ok := d.upstream.Next(began, s.Period)
		if !ok {
			d.buildDigest()
			d.wait(ctx, s.Period/pauseDivisor)
			continue
		}
		if parent != lastParent {
			lastParent, d.lastReport = parent, 0
			d.Assembler.ResetForwarded()
		}
		d.buildsDigest.Store(!d.inZone(parent))
		d.buildDigest()
		if d.pollParent(ctx, parent, round) {
			continue
		}
		if took := s.Clock.Monotonic() - began; took < s.Period/pauseDivisor {
			d.wait(ctx, s.Period/pauseDivisor-took)
		}
	}
}

// pollParent sends one sync request to a parent and reports whether the next one may follow without a pause.
func (d *Distribution) pollParent(ctx context.Context, parent string, round int) bool {
	s := d.settings
	requestCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	q := d.syncRequest(round)
	known, changed := d.Relay.Known()
	if known != q.Known {
		return true
	}
	// A document that arrives from another node cancels the request, so that the next one tells the parent about it.
	go func() {
		select {
		case <-changed:
			cancel()
		case <-requestCtx.Done():
		}
	}()
	sent := s.Clock.Monotonic()
	reply, err := s.Peers.Sync(requestCtx, parent, q, syncTimeoutPeriods*s.Period)
	switch {
	case err == nil:
		d.upstream.RecordSuccess(parent)
		return d.applyReply(reply, sent)
	case requestCtx.Err() != nil:
		return true
	default:
		d.Assembler.ResetForwarded()
		if d.upstream.RecordFailure(parent, s.Clock.Monotonic()) {
			s.Log.Emit(logger.ParentSilent, "relay", parent, "error", err)
		}
		return false
	}
}

// applyReply applies the reply to a sync request that was sent at the given monotonic time. It reports whether a later
// document was adopted.
func (d *Distribution) applyReply(reply messenger.SyncReply, sent time.Duration) bool {
	s := d.settings
	allApplied, updated := true, false
	for _, u := range reply.Updates {
		switch outcome := d.Relay.Merge(u); outcome {
		case distributor.Adopted:
			updated = true
		case distributor.Stale:
		default:
			allApplied = false
			s.Log.Emit(logger.DocumentRefused, "topic", int(u.Topic), "revision", u.Revision, "outcome", int(outcome))
		}
	}
	if reply.Proof && allApplied {
		d.Relay.MarkFresh(sent - reply.Age)
	}
	d.Relay.SetRoot(reply.Root)
	d.preferRoot()
	now := s.Clock.Monotonic()
	if !d.buildsDigest.Load() {
		d.Assembler.AcceptDigest(reply.Digest, now)
	}
	d.Assembler.MergeSummaries(reply.Summaries)
	return updated
}

// preferRoot makes candidates for the root send their sync requests to the root before the relays of other regions.
func (d *Distribution) preferRoot() {
	root := d.Relay.Root().Address
	if root == d.settings.Self.Address || !d.Candidate() {
		root = ""
	}
	d.upstream.SetRoot(root)
}

// addOwnReport adds the report of the agent's own target to the reports that are forwarded to the parent.
func (d *Distribution) addOwnReport() {
	if d.settings.OwnReport != nil {
		d.Assembler.AddRows([]tracker.Row{d.settings.OwnReport()}, d.settings.Clock.Monotonic())
	}
}

// buildDigest builds the digest of the zone if this node is responsible for it.
func (d *Distribution) buildDigest() {
	if d.buildsDigest.Load() {
		d.Assembler.BuildDigest(d.settings.Self.Node, d.settings.Clock.Monotonic(), d.settings.Clock.Now())
	}
}

// inZone reports whether the node at address is in this node's zone.
func (d *Distribution) inZone(address string) bool {
	m, ok := d.Layout().At(address)
	return ok && m.Zone == d.settings.Self.Zone
}
