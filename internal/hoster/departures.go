package hoster

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// departureSource tells other entries which targets said to this one that they leave, and takes in what they tell.
type departureSource struct{ *Entry }

// Observed returns what answers said after a revision, and the present revision.
func (s departureSource) Observed(after int) (registrar.DepartureNotices, int) {
	return s.departures.ObservedAt(s.clock.Monotonic(), after)
}

// Changed returns a channel that is closed when an answer says that a target leaves.
func (s departureSource) Changed() <-chan struct{} { return s.departures.Changed() }

// IsEmpty reports whether a new entry would have to be told nothing.
func (s departureSource) IsEmpty() bool { return s.departures.IsEmpty() }

// ApplyDepartures takes in what another entry tells.
func (s departureSource) ApplyDepartures(n registrar.DepartureNotices) {
	if s.departures.Apply(n, s.clock.Monotonic()) {
		s.targets.update(nil)
	}
}

const (
	// maxStartQuestions is the capacity of the queue. Targets beyond it are not asked.
	maxStartQuestions = 256
	// startAttempts is how often a target is asked for its start, and startPause the time between.
	startAttempts = 3
	startPause    = 200 * time.Millisecond
)

// startQueue asks leaving targets for their present start and records that start as leaving too. A target may have restarted
// under its ID before its new listing was read; without the question that listing would bring it back into use.
type startQueue struct {
	starts     forwarder.StartReader
	departures *registrar.Departures
	clock      timer.Service
	targets    chan router.Target
	changed    func()
}

func newStartQueue(starts forwarder.StartReader, d *registrar.Departures, clock timer.Service, changed func()) startQueue {
	return startQueue{starts: starts, departures: d, clock: clock, targets: make(chan router.Target, maxStartQuestions), changed: changed}
}

// add takes a target out of the views and queues the question for its start.
func (q startQueue) add(t router.Target) {
	q.changed()
	select {
	case q.targets <- t:
	default:
	}
}

// run asks targets until ctx ends.
func (q startQueue) run(ctx context.Context) {
	for {
		select {
		case t := <-q.targets:
			q.ask(ctx, t)
		case <-ctx.Done():
			return
		}
	}
}

// ask records the start that serves now as leaving too.
func (q startQueue) ask(ctx context.Context, t router.Target) {
	for range startAttempts {
		start, _, ok := q.starts.Start(ctx, t)
		switch {
		case ok && start > t.Incarnation && q.departures.Record(t.ID, start, q.clock.Monotonic()):
			q.changed()
			return
		case ok:
			return
		}
		if timer.Wait(ctx, q.clock, startPause); ctx.Err() != nil {
			return
		}
	}
}
