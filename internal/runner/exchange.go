package runner

import (
	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// reportPauseDivisor divides the period to give the shortest time between two requests with reports.
const reportPauseDivisor = 2

// ReceiveReports adopts the reports of a sync request. If the sender has a later revision of a document, its address is
// queued for a pull.
func (d *Distribution) ReceiveReports(q messenger.SyncRequest) {
	now := d.settings.Clock.Monotonic()
	if !q.Peer {
		d.resignIfPreceded(q.Address)
		d.Relay.RecordCensus(q.Address, q.Census, now)
		if q.Zone == d.settings.Self.Zone {
			d.Assembler.AddRows(q.Rows, now)
			d.Assembler.AddBriefs(q.Briefs, now)
		}
		d.Assembler.MergeSummaries(q.Summaries)
	}
	if d.Relay.IsBehind(q.Known) {
		select {
		case d.pulls <- q.Address:
		default:
		}
	}
}

// Answer returns the current reply to a sync request, whether it contains updates, and a channel that is closed when a
// later copy is adopted.
func (d *Distribution) Answer(q messenger.SyncRequest) (messenger.SyncReply, bool, <-chan struct{}) {
	now := d.settings.Clock.Monotonic()
	var reply messenger.SyncReply
	// The proof is read before the documents, so that they are at least as new as the proof states.
	reply.Age, reply.Proof = d.Relay.Age(now)
	updates, changed := d.Relay.Updates(q.Known)
	hasUpdates := len(updates) > 0
	reply.Updates, reply.Root = updates, d.Relay.Root()
	if q.Peer {
		reply.Census = d.Relay.Census(d.Layout().Children(d.settings.Self), now)
		return reply, hasUpdates, changed
	}
	if q.Loads && q.Zone == d.settings.Self.Zone {
		reply.Digest = d.Assembler.Digest(q.Roster, now)
	}
	if q.Wanted {
		reply.Summaries = d.Assembler.Summaries(func(z identifier.Zone) bool { return z != q.Zone })
	}
	return reply, hasUpdates, changed
}

// syncRequest returns the node's next request to a parent. round is the number of the request: one in roundsPerSummary
// exchanges summaries.
func (d *Distribution) syncRequest(round int) messenger.SyncRequest {
	s := d.settings
	now := s.Clock.Monotonic()
	layout := d.Layout()
	known, _ := d.Relay.Known()
	q := messenger.SyncRequest{
		Envelope: messenger.Envelope{ID: string(s.Self.Node)},
		Node:     s.Self.Node, Zone: s.Self.Zone, Address: s.Self.Address, Wait: s.Period, Known: known,
		Census: d.Relay.Census(layout.Children(s.Self), now),
	}
	wantSummaries := round%roundsPerSummary == 0
	if d.buildsDigest.Load() {
		if wantSummaries {
			q.Wanted = true
			q.Summaries = d.Assembler.Summaries(d.summaryFilter(layout))
		}
		return q
	}
	// A request that follows an update within the same period does not repeat the reports.
	if d.lastReport > 0 && now-d.lastReport < s.Period/reportPauseDivisor {
		return q
	}
	d.lastReport = now
	q.Rows, q.Briefs = d.Assembler.ReportsToForward(now, round)
	if s.OwnReport == nil {
		q.Loads, q.Roster, q.Wanted = true, d.Assembler.Roster(), wantSummaries
	}
	return q
}

// roundsPerSummary is the number of sync requests per exchange of summaries of other zones. Summaries affect only the
// share of work that leaves a zone; sent in every period they would be a third of a relay's traffic.
const roundsPerSummary = 5

// summaryFilter returns a filter for the zones whose summaries this node sends to its parent: its own zone or, for the
// relay of a region, all zones of the region.
func (d *Distribution) summaryFilter(layout distributor.Layout) func(identifier.Zone) bool {
	self := d.settings.Self
	isRegionRelay := layout.Role(self) == distributor.RegionRelay
	return func(z identifier.Zone) bool {
		if z == self.Zone {
			return true
		}
		relay, ok := layout.ZoneRelay(z)
		return isRegionRelay && ok && relay.Region == self.Region
	}
}
