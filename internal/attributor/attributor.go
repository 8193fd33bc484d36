package attributor

import (
	"context"
	"maps"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// retention is how long the origin of a stream is kept. Streams with all attempts of their callers are shorter.
	retention = 2 * time.Minute
	// forgetPeriod is the time between two searches for origins that are older than that.
	forgetPeriod = 10 * time.Second
	// searchPause is the time after which an origin that was not found is searched once more: the entry that knows it may be
	// about to store it.
	searchPause = 2 * saveInterval
)

// Archive stores origins so that they outlive every process.
type Archive interface {
	// Save stores origins and reports whether all are durable.
	Save(ctx context.Context, all []Attribution) bool
	// Read returns the stored origins of a shard. It is false if they can't be read now.
	Read(ctx context.Context, shard int) ([]Attribution, bool)
}

// Peer is the entry that stores and reads origins on behalf of its region, so that the calls to the key-value service do not
// grow with the number of entries.
type Peer interface {
	// Save hands origins to the peer and reports whether all are durable. It is false if this process is that entry itself.
	Save(ctx context.Context, all []Attribution) bool
	// Find returns the origin that the peer has for a key, which is zero if it has none. It is false if the peer can't tell.
	Find(ctx context.Context, k Key) (Origin, bool)
}

// known is an origin with the monotonic time at which this process learned of it.
type known struct {
	origin Origin
	at     time.Duration
}

// Attributor is the table of the origins that a process knows. Run must be called for origins to be stored.
//
// Invariants: a stream with two different origins has no certain one; an origin that is not stored waits in a queue. Lock rank:
// container.RankAttributor.
type Attributor struct {
	lock    container.Lock[container.Attributor]
	origins map[Key]known
	// own holds the origins of streams that began here, accepted those that other entries handed over.
	own, accepted batch
	wake          chan struct{}

	// reading has a token for each shard that is not being read, so that callers that search in the same one read it once.
	reading [shardCount]chan struct{}
	archive Archive
	peer    Peer
	clock   timer.Service
}

// NewAttributor returns an Attributor without origins.
func NewAttributor(archive Archive, peer Peer, clock timer.Service) *Attributor {
	a := &Attributor{archive: archive, peer: peer, clock: clock, origins: make(map[Key]known), wake: make(chan struct{}, 1)}
	for i := range a.reading {
		a.reading[i] = make(chan struct{}, 1)
		a.reading[i] <- struct{}{}
	}
	return a
}

// Record keeps the origin of a stream that is about to begin here. It is stored shortly after.
func (a *Attributor) Record(team identifier.Team, id identifier.Request, o Origin) {
	a.enqueue(&a.own, Attribution{Key: NewKey(team, id), Origin: o})
}

// RecordDurably is like Record, but returns once the origin is stored. It is false if that took too long.
func (a *Attributor) RecordDurably(ctx context.Context, team identifier.Team, id identifier.Request, o Origin) bool {
	return a.await(ctx, a.enqueue(&a.own, Attribution{Key: NewKey(team, id), Origin: o}))
}

// Accept keeps and stores origins that another entry hands over. It is false if that took too long.
func (a *Attributor) Accept(ctx context.Context, all []Attribution) bool {
	return a.await(ctx, a.enqueue(&a.accepted, all...))
}

// enqueue adds origins to the table and to a queue. It returns a channel that is closed once they are stored.
func (a *Attributor) enqueue(to *batch, all ...Attribution) <-chan struct{} {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.merge(all)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return to.add(all)
}

// merge adds origins to the table. The caller holds the lock.
func (a *Attributor) merge(all []Attribution) {
	now := a.clock.Monotonic()
	for _, n := range all {
		origin := n.Origin
		if old, ok := a.origins[n.Key]; ok && old.origin != origin {
			origin = Origin{}
		}
		a.origins[n.Key] = known{origin: origin, at: now}
	}
}

// await waits until a channel is closed, for a limited time.
func (a *Attributor) await(ctx context.Context, stored <-chan struct{}) bool {
	timeout := a.clock.After(acceptTimeout)
	defer timeout.Stop()
	select {
	case <-stored:
		return true
	case <-timeout.C():
		return false
	case <-ctx.Done():
		return false
	}
}

// Lookup returns the origin of the stream that an attempt of a team's caller began. It is false if that is not certain.
func (a *Attributor) Lookup(ctx context.Context, team identifier.Team, id identifier.Request) (Origin, bool) {
	k := NewKey(team, id)
	for attempt := 0; ; attempt++ {
		if o, ok := a.local(k); ok {
			return o, o != Origin{}
		}
		if o, told := a.peer.Find(ctx, k); told && o != (Origin{}) {
			a.learn([]Attribution{{Key: k, Origin: o}})
			return o, true
		} else if !told {
			if o, found := a.Find(ctx, k); found && o != (Origin{}) {
				return o, true
			}
		}
		if attempt > 0 || ctx.Err() != nil {
			return Origin{}, false
		}
		timer.Wait(ctx, a.clock, searchPause)
	}
}

// Find returns the origin that this process or the archive has for a key, which is zero if they have none. It is false if the
// archive can't be read.
func (a *Attributor) Find(ctx context.Context, k Key) (Origin, bool) {
	reading := a.reading[k.shard()]
	select {
	case <-reading:
		defer func() { reading <- struct{}{} }()
	case <-ctx.Done():
		return Origin{}, false
	}
	if o, ok := a.local(k); ok {
		return o, true
	}
	all, ok := a.archive.Read(ctx, k.shard())
	if !ok {
		return Origin{}, false
	}
	a.learn(all)
	o, _ := a.local(k)
	return o, true
}

// local returns the origin that this process knows of.
func (a *Attributor) local(k Key) (Origin, bool) {
	a.lock.Lock()
	defer a.lock.Unlock()
	n, ok := a.origins[k]
	return n.origin, ok
}

// learn adds origins that are stored already.
func (a *Attributor) learn(all []Attribution) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.merge(all)
}

// forget drops the origins that are older than retention.
func (a *Attributor) forget() {
	a.lock.Lock()
	defer a.lock.Unlock()
	now := a.clock.Monotonic()
	maps.DeleteFunc(a.origins, func(_ Key, n known) bool { return now-n.at > retention })
}
