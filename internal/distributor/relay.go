package distributor

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Outcome tells what a node did with a copy or an update that was offered to it.
type Outcome int

const (
	// Adopted means that the node has put the document in force and relays it.
	Adopted Outcome = iota + 1
	// Stale means that the node already has this revision or a later one.
	Stale
	// Conflict means that the node has this revision with different content; it keeps its own.
	Conflict
	// Damaged means that the update could not be applied to the node's copy; the node requests the whole document
	// next.
	Damaged
	// Refused means that the node could not adopt the document; it is not relayed.
	Refused
)

// Adopter puts a document in force at the node. It returns false for a document that it refuses.
type Adopter interface {
	Adopt(c Copy) bool
}

// Root is the process that holds the duty of the root. The fence is larger in each later term.
type Root struct {
	Fence   identifier.Fence
	Address string
}

// childReport is the last census that a child reported and the time at which it arrived.
type childReport struct {
	census Census
	seen   time.Duration
}

// childReportPeriods is the age, in periods, above which the report of a child is dropped.
const childReportPeriods = 3

// maxChildReports bounds the memory for reports, however many nodes send one.
const maxChildReports = 1024

// Relay holds a node's copies of the relayed documents and the reports of its children. NewRelay makes one.
//
// Invariants: the revision of a topic only rises; a copy is relayed only after it was adopted; the time of the last
// proof of freshness only rises. Lock rank: container.RankDistributor. Copies are adopted one at a time: adopting
// serves as a lock that is held while an Adopter runs, which may take locks of lower rank.
type Relay struct {
	self     Member
	period   time.Duration
	adopters [TopicCount]Adopter
	adopting chan struct{}

	lock     container.Lock[container.Distributor]
	docs     [TopicCount]document
	changed  chan struct{}
	freshAt  time.Duration
	hasProof bool
	root     Root
	children map[string]childReport
}

// NewRelay returns the relay of the node self. Children that have not reported for three periods are not counted.
func NewRelay(self Member, period time.Duration, adopters [TopicCount]Adopter) *Relay {
	return &Relay{
		self: self, period: period, adopters: adopters, adopting: make(chan struct{}, 1), changed: make(chan struct{}),
		children: make(map[string]childReport),
	}
}

// Offer adopts a whole copy of a topic if it is later than the current one and the adopter accepts it.
func (r *Relay) Offer(t Topic, c Copy) Outcome {
	r.adopting <- struct{}{}
	defer func() { <-r.adopting }()
	return r.offer(t, c)
}

// Merge applies an update to the node's copy and offers the result like Offer.
func (r *Relay) Merge(u Update) Outcome {
	t := u.Topic
	if t < 0 || t >= TopicCount {
		return Refused
	}
	r.adopting <- struct{}{}
	defer func() { <-r.adopting }()
	if u.Revision <= r.Current(t).revision {
		return Stale
	}
	c, ok := r.mergeUpdate(t, u)
	if !ok {
		return Damaged
	}
	return r.offer(t, c)
}

// Current returns the copy of a topic that is in force.
func (r *Relay) Current(t Topic) Copy {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.docs[t].current
}

// Known identifies the node's copy of each topic. It also returns a channel that is closed when a copy changes.
func (r *Relay) Known() (known [TopicCount]Known, changed <-chan struct{}) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for t := range r.docs {
		known[t] = r.docs[t].known()
	}
	return known, r.changed
}

// Updates returns the updates for a node that has the given copies, and a channel that is closed when a later copy is
// adopted.
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

// IsBehind reports whether a node with the given copies has a later revision of any document than this node.
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

// MarkFresh records a proof of freshness: that the root had contact with the key-value service at the given monotonic
// time of this node, and that this node has every revision accepted before that time.
func (r *Relay) MarkFresh(at time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.hasProof || at > r.freshAt {
		r.freshAt, r.hasProof = at, true
	}
}

// Age returns the time since the last proof of freshness; false without one.
func (r *Relay) Age(now time.Duration) (time.Duration, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return max(now-r.freshAt, 0), r.hasProof
}

// SetRoot records the root of a term, unless a root of the same or a later term is known.
func (r *Relay) SetRoot(root Root) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if root.Fence > r.root.Fence {
		r.root = root
	}
}

// Root returns the root of the latest known term.
func (r *Relay) Root() Root {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.root
}

// RecordCensus records the census of the subtree whose root is the node at address.
func (r *Relay) RecordCensus(address string, c Census, now time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.expire(now)
	if _, ok := r.children[address]; ok || len(r.children) < maxChildReports {
		r.children[address] = childReport{census: c, seen: now}
	}
}

// Census returns the census of the node's subtree. The nodes in expected that have not reported are listed as behind.
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

// expire drops the reports of children that have not reported for childReportPeriods. The caller holds the lock.
func (r *Relay) expire(now time.Duration) {
	for n, c := range r.children {
		if now-c.seen > childReportPeriods*r.period {
			delete(r.children, n)
		}
	}
}

// offer adopts a copy as Offer does. The caller holds adopting.
func (r *Relay) offer(t Topic, c Copy) Outcome {
	current := r.Current(t)
	switch {
	case c.revision == current.revision && c.digest != current.digest:
		return Conflict
	case c.revision == current.revision && c.stored > current.stored:
		r.recordStored(t, c)
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

// recordStored records the key-value service's revision of the current copy, which the node did not know.
func (r *Relay) recordStored(t Topic, c Copy) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.docs[t].current = r.docs[t].current.WithStored(c.stored)
}

// mergeUpdate applies an update to the current or an earlier copy. After a failure the node requests the whole document.
func (r *Relay) mergeUpdate(t Topic, u Update) (Copy, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	c, ok := r.docs[t].merge(u)
	r.docs[t].requestWhole = !ok
	return c, ok
}
