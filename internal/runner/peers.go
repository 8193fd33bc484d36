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

// compare compares digests with one peer each period until ctx ends, also when nothing changes.
func (d *Distribution) compare(ctx context.Context) {
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
			d.askPeer(ctx, peers[round%len(peers)].Address)
		}
	}
}

// pull asks the nodes that turned out to have a later document.
func (d *Distribution) pull(ctx context.Context) {
	for {
		select {
		case address := <-d.pulls:
			d.askPeer(ctx, address)
		case <-ctx.Done():
			return
		}
	}
}

// askPeer takes over what another node has that this one lacks. A peer that does not answer is asked again in turn.
func (d *Distribution) askPeer(ctx context.Context, address string) {
	if address == d.settings.Self.Address {
		return
	}
	_, _ = d.exchangeWith(ctx, address)
}

func (d *Distribution) exchangeWith(ctx context.Context, address string) (messenger.SyncReply, error) {
	s := d.settings
	known, _ := d.Relay.Known()
	sent := s.Clock.Boot()
	reply, err := s.Peers.Sync(ctx, address, messenger.SyncRequest{
		Envelope: messenger.Envelope{ID: string(s.Self.Node)}, Node: s.Self.Node, Zone: s.Self.Zone, Address: s.Self.Address,
		Peer: true, Known: known,
	}, 2*s.Period)
	if err != nil {
		return reply, fmt.Errorf("compare with %s: %w", address, err)
	}
	reply.Digest, reply.Summaries = emptyDigest, nil
	d.absorb(reply, sent)
	return reply, nil
}

// emptyDigest is the digest of an answer to a peer, which no zone accepts.
var emptyDigest = messenger.SyncReply{}.Digest

// Adoption tells how far a revision of the configuration has come.
type Adoption struct {
	// Revision is the highest revision that a node has adopted, and Nodes the number of nodes that have.
	Revision identifier.Revision
	Nodes    int
	Listed   int
	// Everywhere is true when exactly the listed nodes have adopted the revision that was asked for, or a later one.
	Everywhere bool
	// Behind names some nodes that have not, or that do not report.
	Behind []identifier.Node
}

// errNoRoot means that the root of the relay tree is not known.
var errNoRoot = errors.New("the root is not known")

// Adoption asks the root which nodes have adopted revision r.
func (d *Distribution) Adoption(ctx context.Context, r identifier.Revision) (Adoption, error) {
	var listed []distributor.Member
	for _, m := range d.Layout().Members() {
		if !m.Leaving {
			listed = append(listed, m)
		}
	}
	census, err := d.wholeCensus(ctx)
	if err != nil {
		return Adoption{}, err
	}
	a := Adoption{
		Revision: census.Revision, Nodes: census.Nodes, Listed: len(listed), Everywhere: census.Covers(listed, r),
	}
	for _, address := range census.Behind {
		if a.Everywhere {
			break
		}
		if m, ok := d.Layout().At(address); ok {
			a.Behind = append(a.Behind, m.Node)
		}
	}
	return a, nil
}

func (d *Distribution) wholeCensus(ctx context.Context) (distributor.Census, error) {
	if d.Leading() {
		return d.Relay.Census(d.Layout().Children(d.settings.Self), d.settings.Clock.Boot()), nil
	}
	root := d.Relay.Root().Address
	if root == "" {
		return distributor.Census{}, errNoRoot
	}
	reply, err := d.exchangeWith(ctx, root)
	return reply.Census, err
}

// AwaitEverywhere waits until every listed node has adopted revision r, and returns the last state when ctx ends first.
func (d *Distribution) AwaitEverywhere(ctx context.Context, r identifier.Revision) Adoption {
	var last Adoption
	for {
		if a, err := d.Adoption(ctx, r); err == nil {
			last = a
		}
		if last.Everywhere || !d.wait(ctx, d.settings.Period/pauseShare) {
			return last
		}
	}
}

// proofSaveTime is how often the time of the last proof is saved; the use of keys after a restart errs by that much.
const proofSaveTime = time.Minute

// saveProof saves the time of the last proof of freshness with the present copy.
func (d *Distribution) saveProof(ctx context.Context) {
	for d.wait(ctx, proofSaveTime) {
		if c := d.Relay.Current(distributor.Config); c.Revision() > 0 {
			d.save(c)
		}
	}
}
