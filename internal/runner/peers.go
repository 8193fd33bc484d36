package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// compareDigests compares digests with one peer each period until ctx ends, even if nothing has changed.
func (d *Distribution) compareDigests(ctx context.Context) {
	tick := d.settings.Clock.Every(d.settings.Period)
	defer tick.Stop()
	for round := 0; ; round++ {
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
		layout := d.Layout()
		peers := layout.Peers(d.settings.Self)
		if layout.Role(d.settings.Self) == distributor.RegionRelay {
			peers = append(peers, layout.Candidates()...)
		}
		if len(peers) > 0 {
			d.syncWithPeer(ctx, peers[round%len(peers)].Address)
		}
	}
}

// pullDocuments requests updates from the queued nodes that have a later revision of a document.
func (d *Distribution) pullDocuments(ctx context.Context) {
	for {
		select {
		case address := <-d.pulls:
			d.syncWithPeer(ctx, address)
		case <-ctx.Done():
			return
		}
	}
}

// syncWithPeer adopts later documents of another node. Errors are ignored: a peer that does not answer is asked again
// when its turn comes.
func (d *Distribution) syncWithPeer(ctx context.Context, address string) {
	if address == d.settings.Self.Address {
		return
	}
	_, _ = d.requestSync(ctx, address)
}

func (d *Distribution) requestSync(ctx context.Context, address string) (messenger.SyncReply, error) {
	s := d.settings
	known, _ := d.Relay.Known()
	sent := s.Clock.Monotonic()
	reply, err := s.Peers.Sync(ctx, address, messenger.SyncRequest{
		Envelope: messenger.Envelope{ID: string(s.Self.Node)}, Node: s.Self.Node, Zone: s.Self.Zone, Address: s.Self.Address,
		Peer: true, Known: known,
	}, syncTimeoutPeriods*s.Period)
	if err != nil {
		return reply, fmt.Errorf("sync with node at %s: %w", address, err)
	}
	reply.Digest, reply.Summaries = emptyDigest, nil
	d.applyReply(reply, sent)
	return reply, nil
}

// emptyDigest replaces the digest in the reply of a peer. It has no maker, so that every Assembler refuses it.
var emptyDigest = messenger.SyncReply{}.Digest

// Adoption is the progress of a revision of the configuration.
type Adoption struct {
	// Revision is the highest revision that any node has adopted, and Nodes the number of nodes that have adopted it. Listed
	// is the number of listed nodes that are not leaving.
	Revision identifier.Revision
	Nodes    int
	Listed   int
	// Complete is true if exactly the listed nodes have adopted the requested revision or a later one.
	Complete bool
	// Behind holds some of the nodes that have not adopted it or do not report. It is empty if Complete is true.
	Behind []identifier.Node
}

// errNoRoot means that no root of the relay tree is known.
var errNoRoot = errors.New("the address of the relay tree's root is not known")

// Adoption requests the census of the root and returns which nodes have adopted revision r.
func (d *Distribution) Adoption(ctx context.Context, r identifier.Revision) (Adoption, error) {
	var listed []distributor.Member
	for _, m := range d.Layout().Members() {
		if !m.Leaving {
			listed = append(listed, m)
		}
	}
	census, err := d.treeCensus(ctx)
	if err != nil {
		return Adoption{}, err
	}
	a := Adoption{
		Revision: census.Revision, Nodes: census.Nodes, Listed: len(listed), Complete: census.Covers(listed, r),
	}
	for _, address := range census.Behind {
		if a.Complete {
			break
		}
		if m, ok := d.Layout().At(address); ok {
			a.Behind = append(a.Behind, m.Node)
		}
	}
	return a, nil
}

func (d *Distribution) treeCensus(ctx context.Context) (distributor.Census, error) {
	if d.IsRoot() {
		return d.Relay.Census(d.Layout().Children(d.settings.Self), d.settings.Clock.Monotonic()), nil
	}
	root := d.Relay.Root().Address
	if root == "" {
		return distributor.Census{}, errNoRoot
	}
	reply, err := d.requestSync(ctx, root)
	return reply.Census, err
}

// AwaitAdoption waits until every listed node has adopted revision r or ctx ends, and returns the last known state.
func (d *Distribution) AwaitAdoption(ctx context.Context, r identifier.Revision) Adoption {
	var last Adoption
	for {
		if a, err := d.Adoption(ctx, r); err == nil {
			last = a
		}
		if last.Complete || !d.wait(ctx, d.settings.Period/pauseDivisor) {
			return last
		}
	}
}

// proofSavePeriod is the time between two saves of the last proof of freshness. After a restart the age of the proof is
// overestimated by up to this time, so that keys expire too early by as much.
const proofSavePeriod = time.Minute

// saveProof periodically saves the current configuration with the time of its last proof of freshness.
func (d *Distribution) saveProof(ctx context.Context) {
	for d.wait(ctx, proofSavePeriod) {
		if c := d.Relay.Current(distributor.Config); c.Revision() > 0 {
			d.save(c)
		}
	}
}
