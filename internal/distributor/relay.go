package distributor

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Outcome is the outcome of offering a copy or an update to a node.
type Outcome int

const (
	// Adopted means that the document is in force and is relayed.
	Adopted Outcome = iota + 1
	// Stale means that the node already has this revision or a later one.
	Stale
	// Conflict means that the node has this revision with other content; it keeps its own.
	Conflict
	// Damaged means that the update did not fit the node's copy; the node asks for the whole document next.
	Damaged
	// Refused means that the node could not adopt the document; it is not relayed.
	Refused
)

// Adopter puts a document in force at the node. It returns false for one that can't be.
type Adopter interface {
	Adopt(c Copy) bool
}

// Root is the process that holds the duty of the root. Roots of later terms have larger fences.
type Root struct {
	Fence   identifier.Fence
	Address string
}

// child is the last report of a node below.
type child struct {
	census Census
	seen   time.Duration
}

// childLimit bounds the reports that a relay keeps, whatever asks it.
const childLimit = 1024

// Relay holds a node's copies of the relayed documents and what its children report. NewRelay makes one.
//
// Invariants: the revision of a topic only rises; a copy is relayed only after it was adopted; proof of freshness only
// moves forward. Lock rank: container.RankDistributor. Copies are taken one at a time: turn is held while an Adopter
// runs, which may take locks of lower rank.
type Relay struct {
	self     Member
	period   time.Duration
	adopters [TopicCount]Adopter
	turn     chan struct{}

	lock     container.Lock[container.Distributor]
	docs     [TopicCount]document
	changed  chan struct{}
	proven   time.Duration
	proof    bool
	root     Root
	children map[string]child
}

// NewRelay returns the relay of the node self. Children that are silent for three periods are not counted.
func NewRelay(self Member, period time.Duration, adopters [TopicCount]Adopter) *Relay {
	return &Relay{
		self: self, period: period, adopters: adopters, turn: make(chan struct{}, 1), changed: make(chan struct{}),
		children: make(map[string]child),
	}
}

// Offer offers a whole copy.
func (r *Relay) Offer(t Topic, c Copy) Outcome {
	r.turn <- struct{}{}
	defer func() { <-r.turn }()
	return r.take(t, c)
}

// Merge offers an update.
func (r *Relay) Merge(u Update) Outcome {
	t := u.Topic
	if t < 0 || t >= TopicCount {
		return Refused
	}
	r.turn <- struct{}{}
	defer func() { <-r.turn }()
	if u.Revision <= r.Current(t).revision {
		return Stale
	}
	c, ok := r.merged(t, u)
	if !ok {
		return Damaged
	}
	return r.take(t, c)
}

// Current returns the copy of a topic.
func (r *Relay) Current(t Topic) Copy {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.docs[t].current
}

// Known returns what the node has of each topic, and a channel that is closed when that changes.
func (r *Relay) Known() (known [TopicCount]Known, changed <-chan struct{}) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for t := range r.docs {
		known[t] = r.docs[t].known()
	}
	return known, r.changed
}

// Updates returns what a node with the given documents lacks, and a channel that is closed when there is more.
func (r *Relay) Updates(known [TopicCount]Known) (updates []Update, changed <-chan struct{}) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for t := range r.docs {
		if u := r.docs[t].update(known[t]); u.Revision > 0 {
			u.Topic = Topic(t)
			updates = append(updates, u)
		}
	}
	return updates, r.changed
}

// IsBehind reports whether a node with the given documents has a later one than this node.
func (r *Relay) IsBehind(known [TopicCount]Known) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	for t := range r.docs {
		if known[t].Revision > r.docs[t].current.revision {
			return true
		}
	}
	return false
}

// MarkFresh records that the root had contact with the key-value service at the given boot clock time of this node, and
// that this node had every revision accepted before.
func (r *Relay) MarkFresh(at time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.proof || at > r.proven {
		r.proven, r.proof = at, true
	}
}

// Age returns the time since the last proof of freshness; false without one.
func (r *Relay) Age(now time.Duration) (time.Duration, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return max(now-r.proven, 0), r.proof
}

// SetRoot records the root of a term. A root of an earlier term is ignored.
func (r *Relay) SetRoot(root Root) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if root.Fence > r.root.Fence {
		r.root = root
	}
}

// Root returns the root of the last known term.
func (r *Relay) Root() Root {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.root
}

// Report records the census of the subtree below the node at address.
func (r *Relay) Report(address string, c Census, now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.expire(now)
	if _, ok := r.children[address]; ok || len(r.children) < childLimit {
		r.children[address] = child{census: c, seen: now}
	}
}

// Census returns the census of the node and of those below it. expected are the nodes that should report to it.
func (r *Relay) Census(expected []Member, now time.Duration) Census {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.expire(now)
	all := NewCensus(r.self.Address, r.docs[Config].current.revision)
	for n, c := range r.children {
		all = all.With(n, c.census)
	}
	for _, m := range expected {
		if _, ok := r.children[m.Address]; !ok {
			all = all.WithBehind(m.Address)
		}
	}
	return all
}

func (r *Relay) expire(now time.Duration) {
	for n, c := range r.children {
		if now-c.seen > 3*r.period {
			delete(r.children, n)
		}
	}
}

func (r *Relay) take(t Topic, c Copy) Outcome {
	current := r.Current(t)
	switch {
	case c.revision == current.revision && c.digest != current.digest:
		return Conflict
	case c.revision == current.revision && c.stored > current.stored:
		r.note(t, c)
		return Stale
	case c.revision <= current.revision:
		return Stale
	case r.adopters[t] != nil && !r.adopters[t].Adopt(c):
		return Refused
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.docs[t].replace(c)
	close(r.changed)
	r.changed = make(chan struct{})
	return Adopted
}

// note records the store revision of the current copy, which the node did not know.
func (r *Relay) note(t Topic, c Copy) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.docs[t].current = r.docs[t].current.WithStored(c.stored)
}

func (r *Relay) merged(t Topic, u Update) (Copy, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	c, ok := r.docs[t].merge(u)
	r.docs[t].whole = !ok
	return c, ok
}
