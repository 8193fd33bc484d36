package isolator

import "github.com/mimosalb/mimosalb/internal/identifier"

// ReservedTargets returns the targets on which this entry is retrying a suspected request, and a channel that is closed when
// one of them is released. Suspected requests run on separate targets, so that the next crash has only one of them as a
// suspect.
func (i *Isolator) ReservedTargets() ([]identifier.Target, <-chan struct{}) {
	i.lock.Lock()
	defer i.lock.Unlock()
	if i.released == nil {
		i.released = make(chan struct{})
	}
	targets := make([]identifier.Target, 0, len(i.reserved))
	for t := range i.reserved {
		targets = append(targets, t)
	}
	return targets, i.released
}

// Reserve reserves t for the retry of one suspected request. It reports false if t is already reserved.
func (i *Isolator) Reserve(t identifier.Target) bool {
	i.lock.Lock()
	defer i.lock.Unlock()
	if i.reserved == nil {
		i.reserved = make(map[identifier.Target]struct{})
	}
	if _, taken := i.reserved[t]; taken {
		return false
	}
	i.reserved[t] = struct{}{}
	return true
}

// Unreserve ends the reservation of t.
func (i *Isolator) Unreserve(t identifier.Target) {
	i.lock.Lock()
	defer i.lock.Unlock()
	delete(i.reserved, t)
	if i.released != nil {
		close(i.released)
		i.released = nil
	}
}
