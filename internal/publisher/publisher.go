// Package publisher writes accepted edits of the configuration to the key-value service and offers the stored document
// to this node's distributor.
package publisher

import (
	"context"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// DocumentKey is the key of the configuration document in the key-value service.
const DocumentKey = "/config/doc"

// Store is the part of the key-value service that a publisher uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, storer.Outcome)
	GetIfChanged(ctx context.Context, key string, after int64) (storer.Entry, storer.Outcome)
	CompareAndSwap(ctx context.Context, key string, changed int64, value []byte, lease storer.Lease) storer.Outcome
	Watch(ctx context.Context, key string, after int64, changed func(storer.Entry)) storer.Outcome
}

// Codec encodes and decodes documents.
type Codec interface {
	Encode(d configurator.Document) []byte
	Decode(data []byte) (configurator.Document, error)
}

// Distributor puts stored documents in force at this node and distributes them to other nodes.
type Distributor interface {
	Offer(t distributor.Topic, c distributor.Copy) distributor.Outcome
	Current(t distributor.Topic) distributor.Copy
	MarkFresh(at time.Duration)
}

// Publisher stores edits and follows the stored document.
type Publisher struct {
	store Store
	codec Codec
	dist  Distributor
	clock timer.Service
}

// NewPublisher returns a Publisher that offers stored documents to dist.
func NewPublisher(store Store, codec Codec, dist Distributor, clock timer.Service) *Publisher {
	return &Publisher{store: store, codec: codec, dist: dist, clock: clock}
}

// Result is the outcome of an edit.
type Result struct {
	Edit     configurator.EditOutcome
	Outcome  storer.Outcome
	Document configurator.Document
	Problems []configurator.Problem
}

// Accepted reports whether the edit is stored, so that it will be in force at every node.
func (r Result) Accepted() bool {
	return r.Edit == configurator.Accepted && r.Outcome == storer.Applied
}

// Edit applies change to the stored document and stores the result. base is the revision that the operator edited;
// zero accepts any revision, for changes that do not depend on the rest of the document.
func (p *Publisher) Edit(ctx context.Context, base identifier.Revision, change func(configurator.Document) configurator.Document) Result {
	entry, out := p.store.Get(ctx, DocumentKey)
	if out != storer.Applied {
		return Result{Edit: configurator.Accepted, Outcome: storer.Unavailable}
	}
	current, err := p.decode(entry)
	if err != nil {
		return Result{Edit: configurator.InvalidEdit, Problems: []configurator.Problem{{Field: DocumentKey, Want: err.Error()}}}
	}
	if base == 0 {
		base = current.Revision()
	}
	next, edit, problems := configurator.Propose(current, change(current), base)
	if edit != configurator.Accepted {
		return Result{Edit: edit, Document: current, Problems: problems}
	}
	// The identifier of the write makes the value differ from that of every other edit, even one with equal
	// content.
	next = next.WithWrite(identifier.NewWrite())
	body := p.codec.Encode(next)
	out = p.store.CompareAndSwap(ctx, DocumentKey, entry.Changed, body, 0)
	if out == storer.Conflict {
		return Result{Edit: configurator.Conflicting, Outcome: out, Document: current}
	}
	if out == storer.Applied {
		p.dist.Offer(distributor.Config, distributor.NewCopy(next.Revision(), body))
	}
	return Result{Edit: edit, Outcome: out, Document: next}
}

// RefreshPeriod is the time between two reads that prove that the node is up to date, and the pause before a watch
// that failed is restarted.
const RefreshPeriod = time.Second

// Follow offers the stored document and each later one to the distributor until ctx ends. Only the node that holds the
// duty of the root calls it.
func (p *Publisher) Follow(ctx context.Context) {
	var watching sync.WaitGroup
	defer watching.Wait()
	watching.Go(func() { p.watch(ctx) })
	tick := p.clock.Every(RefreshPeriod)
	defer tick.Stop()
	for {
		p.Refresh(ctx)
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}

// Refresh reads the stored document and offers it to the distributor if it has changed. A successful read proves that
// the node is up to date.
func (p *Publisher) Refresh(ctx context.Context) storer.Outcome {
	sent := p.clock.Monotonic()
	entry, out := p.store.GetIfChanged(ctx, DocumentKey, p.dist.Current(distributor.Config).Stored())
	if out == storer.Applied && (entry.Changed == 0 || p.offer(entry)) {
		p.dist.MarkFresh(sent)
	}
	return out
}

// watch offers each change of the stored document to the distributor, starting after the revision that the node has.
func (p *Publisher) watch(ctx context.Context) {
	for ctx.Err() == nil {
		p.store.Watch(ctx, DocumentKey, p.dist.Current(distributor.Config).Stored(), func(e storer.Entry) { p.offer(e) })
		pause := p.clock.After(RefreshPeriod)
		select {
		case <-pause.C():
		case <-ctx.Done():
			pause.Stop()
		}
	}
}

// offer passes a stored document to the distributor, and reports whether the node then has this document or a later
// one. A document that cannot be decoded is ignored, and the current one stays in force.
func (p *Publisher) offer(e storer.Entry) bool {
	d, err := p.decode(e)
	if err != nil || d.Revision() == 0 {
		return false
	}
	outcome := p.dist.Offer(distributor.Config, distributor.NewCopy(d.Revision(), e.Value).WithStored(e.Changed))
	return outcome == distributor.Adopted || outcome == distributor.Stale
}

// decode returns the document of an entry, or the zero document if there is no entry.
func (p *Publisher) decode(e storer.Entry) (configurator.Document, error) {
	if e.Changed == 0 || len(e.Value) == 0 {
		return configurator.Document{}, nil
	}
	return p.codec.Decode(e.Value)
}
