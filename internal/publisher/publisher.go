// Package publisher writes accepted edits of the configuration to the key-value service and keeps a node up to date.
package publisher

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Key is where the configuration document is stored.
const Key = "/config/doc"

// Store is the part of the key-value service that a publisher uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, storer.Outcome)
	Swap(ctx context.Context, key string, changed int64, value []byte, lease storer.Lease) storer.Outcome
	Watch(ctx context.Context, key string, after int64, changed func(storer.Entry)) storer.Outcome
}

// Form encodes and decodes documents.
type Form interface {
	Encode(d configurator.Document) []byte
	Decode(data []byte) (configurator.Document, error)
}

// Publisher proposes edits and follows the stored document.
type Publisher struct {
	store  Store
	form   Form
	config *configurator.Configurator
	clock  timer.Service
}

// NewPublisher returns a Publisher that adopts stored documents into config.
func NewPublisher(store Store, form Form, config *configurator.Configurator, clock timer.Service) *Publisher {
	return &Publisher{store: store, form: form, config: config, clock: clock}
}

// Result is the outcome of an edit.
type Result struct {
	Edit     configurator.Edit
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
	out = p.store.Swap(ctx, Key, entry.Changed, p.form.Encode(next), 0)
	if out == storer.Conflict {
		return Result{Edit: configurator.Conflicting, Outcome: out, Document: current}
	}
	if out == storer.Applied {
		p.config.Adopt(next)
	}
	return Result{Edit: edit, Outcome: out, Document: next}
}

// followPause is the wait before the stored document is watched again after a failure.
const followPause = time.Second

// Follow adopts the stored document and each later one until ctx ends.
func (p *Publisher) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		if entry, out := p.store.Get(ctx, Key); out == storer.Applied {
			p.adopt(entry)
			// The watch begins where the read ended, so that no change between the two is missed.
			p.store.Watch(ctx, Key, entry.Changed, p.adopt)
		}
		pause := p.clock.After(followPause)
		select {
		case <-pause.C():
		case <-ctx.Done():
			pause.Stop()
		}
	}
}

// adopt offers a stored document to the node. One that can't be read is passed over; the present one stays in force.
func (p *Publisher) adopt(e storer.Entry) {
	if d, err := p.decode(e); err == nil {
		p.config.Adopt(d)
	}
}

func (p *Publisher) decode(e storer.Entry) (configurator.Document, error) {
	if e.Changed == 0 || len(e.Value) == 0 {
		return configurator.Document{}, nil
	}
	return p.form.Decode(e.Value)
}
