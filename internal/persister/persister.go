// Package persister keeps the evidence against requests that crash targets in the key-value service, so that it outlives
// every process.
package persister

import (
	"context"
	"strings"
	"time"

	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Prefix is the prefix of the keys; the fingerprint of a request follows.
const Prefix = "crashes/"

const (
	// gatherDelay is the time between a change of the evidence and the check which requests are held back now.
	gatherDelay = 100 * time.Millisecond
	// retryPeriod is the time after which a failed call is repeated.
	retryPeriod = 500 * time.Millisecond
)

// Codec encodes evidence.
type Codec interface {
	EncodeEvidence(e isolator.Evidence) ([]byte, error)
	DecodeEvidence(data []byte) (isolator.Evidence, error)
}

// Persister stores the evidence against each request that is held back, once, and reads at its start what was stored.
type Persister struct {
	isolator *isolator.Isolator
	store    *storer.Storer
	codec    Codec
	clock    timer.Service
	log      *logger.Logger
	// stored holds the requests whose evidence is in the key-value service. Only Run uses it.
	stored map[isolator.Fingerprint]bool
}

// NewPersister returns a Persister of the evidence of i.
func NewPersister(i *isolator.Isolator, store *storer.Storer, codec Codec, clock timer.Service, log *logger.Logger) *Persister {
	return &Persister{isolator: i, store: store, codec: codec, clock: clock, log: log, stored: make(map[isolator.Fingerprint]bool)}
}

// Run reads the stored evidence and then stores evidence until ctx ends.
func (p *Persister) Run(ctx context.Context) {
	for !p.load(ctx) {
		if timer.Wait(ctx, p.clock, retryPeriod); ctx.Err() != nil {
			return
		}
	}
	for ctx.Err() == nil {
		changed := p.isolator.Changed()
		if !p.update(ctx) {
			timer.Wait(ctx, p.clock, retryPeriod)
			continue
		}
		select {
		case <-changed:
			timer.Wait(ctx, p.clock, gatherDelay)
		case <-ctx.Done():
		}
	}
}

// load reads all stored evidence and deletes what has expired. It reports whether the evidence was read.
func (p *Persister) load(ctx context.Context) bool {
	entries, out := p.store.List(ctx, Prefix)
	if out != storer.Applied {
		return false
	}
	now := p.clock.Now()
	var expired []string
	for _, e := range entries {
		evidence, err := p.codec.DecodeEvidence(e.Value)
		switch {
		case err != nil:
			p.log.Emit(logger.RecordUnreadable, "key", e.Key, "error", err)
		case evidence.ExpiresAt().Before(now):
			expired = append(expired, e.Key)
		default:
			p.isolator.Merge(evidence, now)
			for _, f := range evidence.Suspects() {
				p.stored[f] = true
			}
			p.log.Emit(logger.RequestHeld, "fingerprint", strings.TrimPrefix(e.Key, Prefix), "targets", evidence.Targets(), "store", "read")
		}
	}
	if len(expired) > 0 {
		p.store.Delete(ctx, storer.Transaction{Deletes: expired[:min(len(expired), maxDeletes)]})
	}
	return true
}

// maxDeletes is the number of keys that one transaction deletes; the next start of a process deletes the rest.
const maxDeletes = 32

// update stores the evidence against each request that is held back and was seen here, and deletes that against requests
// that turned out to be harmless. It returns false if a call failed.
func (p *Persister) update(ctx context.Context) bool {
	complete := true
	for _, f := range p.isolator.ObservedSuspects() {
		if _, held := p.isolator.HeldBack(f, p.clock.Now()); held && !p.stored[f] && !p.put(ctx, f) {
			complete = false
		}
	}
	for f := range p.stored {
		if _, held := p.isolator.HeldBack(f, p.clock.Now()); !held && !p.remove(ctx, f) {
			complete = false
		}
	}
	return complete
}

// put stores the evidence against a request.
func (p *Persister) put(ctx context.Context, f isolator.Fingerprint) bool {
	evidence := p.isolator.EvidenceOn(f)
	data, err := p.codec.EncodeEvidence(evidence)
	if err != nil {
		p.log.Emit(logger.RecordUnreadable, "key", key(f), "error", err)
		return true
	}
	out := p.store.CompareAndSwap(ctx, key(f), 0, data, 0)
	if out != storer.Applied && out != storer.Conflict {
		return false
	}
	// After a conflict another entry has stored its evidence against the same request.
	p.stored[f] = true
	p.log.Emit(logger.RequestHeld, "fingerprint", f.String(), "targets", evidence.Targets(), "store", out.String())
	return true
}

// remove deletes the evidence against a request.
func (p *Persister) remove(ctx context.Context, f isolator.Fingerprint) bool {
	if out := p.store.Delete(ctx, storer.Transaction{Deletes: []string{key(f)}}); out != storer.Applied {
		return false
	}
	delete(p.stored, f)
	p.log.Emit(logger.RequestReleased, "fingerprint", f.String())
	return true
}

func key(f isolator.Fingerprint) string { return Prefix + f.String() }
