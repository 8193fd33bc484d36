// Package publisher writes accepted edits of the configuration to the key-value service and keeps a node up to date.
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

// Key is where the configuration document is stored.
const Key = "/config/doc"

// Store is the part of the key-value service that a publisher uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, storer.Outcome)
	GetIfChanged(ctx context.Context, key string, after int64) (storer.Entry, storer.Outcome)
	CompareAndSwap(ctx context.Context, key string, changed int64, value []byte, lease storer.Lease) storer.Outcome
	Watch(ctx context.Context, key string, after int64, changed func(storer.Entry)) storer.Outcome
}

// Form encodes and decodes documents.
type Form interface {
	Encode(d configurator.Document) []byte
	Decode(data []byte) (configurator.Document, error)
}

// Distributor takes stored documents into force at this node and passes them on.
type Distributor interface {
	Take(t distributor.Topic, c distributor.Copy) distributor.Taking
	Current(t distributor.Topic) distributor.Copy
	Prove(at time.Duration)
}

// Publisher proposes edits and follows the stored document.
type Publisher struct {
	store Store
	form  Form
	taker Distributor
	clock timer.Service
}

// NewPublisher returns a Publisher that hands stored documents to taker.
func NewPublisher(store Store, form Form, taker Distributor, clock timer.Service) *Publisher {
	return &Publisher{store: store, form: form, taker: taker, clock: clock}
}

// Result is the outcome of an edit.
type Result struct {
	Edit     configurator.EditOutcome
	Outcome  storer.Outcome
	Document configurator.Document
	Problems []configurator.Problem
}

// Accepted reports whether the edit is stored and will be in force everywhere.
func (r Result) Accepted() bool {
	return r.Edit == configurator.Accepted && r.Outcome == storer.Applied
}

// Edit applies change to the stored document and stores the result. base is the revision that the operator saw; zero
// accepts any, for changes that do not depend on the rest of the document.
func (p *Publisher) Edit(ctx context.Context, base identifier.Revision, change func(configurator.Document) configurator.Document) Result {
	entry, out := p.store.Get(ctx, Key)
	if out != storer.Applied {
		return Result{Edit: configurator.Accepted, Outcome: storer.Unavailable}
	}
	current, err := p.decode(entry)
	if err != nil {
		return Result{Edit: configurator.Faulty, Problems: []configurator.Problem{{Field: Key, Want: err.Error()}}}
	}
	if base == 0 {
		base = current.Revision()
	}
	next, edit, problems := configurator.Propose(current, change(current), base)
	if edit != configurator.Accepted {
		return Result{Edit: edit, Document: current, Problems: problems}
	}
	// The identity of the write makes the value unlike that of any other edit, also of one with the same content.
	next = next.WithWrite(identifier.NewWrite())
	body := p.form.Encode(next)
	out = p.store.CompareAndSwap(ctx, Key, entry.Changed, body, 0)
	if out == storer.Conflict {
		return Result{Edit: configurator.Conflicting, Outcome: out, Document: current}
	}
	if out == storer.Applied {
		p.taker.Take(distributor.Config, distributor.NewCopy(next.Revision(), body))
	}
	return Result{Edit: edit, Outcome: out, Document: next}
}

// Period is the time between two reads that prove that the node is up to date, and the wait before the stored
// document is watched again after a failure.
const Period = time.Second

// Follow takes the stored document and each later one until ctx ends. Only the holder of the duty of the root follows.
func (p *Publisher) Follow(ctx context.Context) {
	var watching sync.WaitGroup
	defer watching.Wait()
	watching.Go(func() { p.watch(ctx) })
	tick := p.clock.Every(Period)
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

// Refresh takes the stored document if it has changed. A read that succeeds proves that the node is up to date.
func (p *Publisher) Refresh(ctx context.Context) storer.Outcome {
	sent := p.clock.Boot()
	entry, out := p.store.GetIfChanged(ctx, Key, p.taker.Current(distributor.Config).Stored())
	if out == storer.Applied && (entry.Changed == 0 || p.take(entry)) {
		p.taker.Prove(sent)
	}
	return out
}

// watch takes each change of the stored document. It begins after the revision that the node has.
func (p *Publisher) watch(ctx context.Context) {
	for ctx.Err() == nil {
		p.store.Watch(ctx, Key, p.taker.Current(distributor.Config).Stored(), func(e storer.Entry) { p.take(e) })
		pause := p.clock.After(Period)
		select {
		case <-pause.C():
		case <-ctx.Done():
			pause.Stop()
		}
	}
}

// take offers a stored document to the node. One that can't be read is passed over; the present one stays in force. It
// reports whether the node has the document or a later one.
func (p *Publisher) take(e storer.Entry) bool {
	d, err := p.decode(e)
	if err != nil || d.Revision() == 0 {
		return false
	}
	taking := p.taker.Take(distributor.Config, distributor.NewCopy(d.Revision(), e.Value).WithStored(e.Changed))
	return taking == distributor.Taken || taking == distributor.Old
}

func (p *Publisher) decode(e storer.Entry) (configurator.Document, error) {
	if e.Changed == 0 || len(e.Value) == 0 {
		return configurator.Document{}, nil
	}
	return p.form.Decode(e.Value)
}
