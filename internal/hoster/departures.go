package hoster

import "github.com/mimosalb/mimosalb/internal/registrar"

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
