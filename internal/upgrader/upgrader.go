// Package upgrader moves targets to the weight versions that trainers have named, a few targets at a time.
package upgrader

import (
	"context"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Report is what a target says of itself when it is asked.
type Report struct {
	// Busy is set while an order is being carried out.
	Busy bool
	// Orders is the number of orders that the target has accepted since its start.
	Orders   int
	Versions map[identifier.Model]identifier.Version
}

// LoadMode says what becomes of running work when the weights change.
type LoadMode int

const (
	// Retain lets runs go on under the new version.
	Retain LoadMode = iota + 1
	// Finish lets runs end first.
	Finish
)

// Order tells a target to serve a version of a model. It is immutable.
type Order struct {
	Model   identifier.Model
	Version identifier.Version
	Mode    LoadMode
	Holder  identifier.Node
	Fence   identifier.Fence
	// ExpectedOrders is the number of orders that the target must have accepted before; an order that is carried out late
	// is refused by it.
	ExpectedOrders int
}

// Verdict is a target's answer to an order.
type Verdict int

const (
	// Accepted means that the order is being carried out.
	Accepted Verdict = iota + 1
	// AlreadyServing means that the target serves the version already.
	AlreadyServing
	// Occupied means that another order is being carried out or that the number of orders differs.
	Occupied
	// Deposed means that the target has seen a higher fencing number.
	Deposed
	// Rejected means that the target takes no such order.
	Rejected
	// Lost means that the order may be carried out, now or later.
	Lost
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	names := [...]string{"none", "accepted", "holds", "occupied", "deposed", "rejected", "lost"}
	if v < 0 || int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// Engines reaches the targets.
type Engines interface {
	Report(ctx context.Context, l registrar.Listing) (Report, bool)
	Order(ctx context.Context, l registrar.Listing, o Order) Verdict
}

// DesiredVersion is a version that a trainer has named.
type DesiredVersion struct {
	Model   identifier.Model
	Version identifier.Version
}

const (
	// startDelay is the time from the naming of a version to the first load: the trainer submits its next job when it
	// names a version, and the items that have started go on during a load while others would have to wait.
	startDelay = 500 * time.Millisecond
	// loadTimeout bounds the wait for one load.
	loadTimeout = 8 * time.Second
	// firstLook is the time after an accepted order at which the target is asked first, and nextLook the time between
	// further questions.
	firstLook = 700 * time.Millisecond
	nextLook  = 150 * time.Millisecond
	// callTimeout bounds one call to a target.
	callTimeout = 800 * time.Millisecond
	// again is the pause after a load that failed.
	again = 300 * time.Millisecond
	// recheck is the longest time between two looks at all targets.
	recheck = time.Second
)

// Parts are what an Upgrader works with.
type Parts struct {
	Navigator *navigator.Navigator
	Registrar *registrar.Registrar
	Engines   Engines
	Clock     timer.Service
	Log       *logger.Logger
}

// naming is a version that a trainer has named, with the boot clock time at which it was heard of.
type naming struct {
	version identifier.Version
	at      time.Duration
}

// Upgrader orders the loads within one term of the duty.
type Upgrader struct {
	Parts
	term  leaser.Term
	valid func() bool

	mutex   sync.Mutex
	wanted  map[identifier.Model]naming
	loading map[identifier.Target]identifier.Service
	wake    chan struct{}
}

// NewUpgrader returns an Upgrader for a term. It gives no order once valid returns false.
func NewUpgrader(p Parts, term leaser.Term, valid func() bool) *Upgrader {
	return &Upgrader{
		Parts: p, term: term, valid: valid, wanted: make(map[identifier.Model]naming),
		loading: make(map[identifier.Target]identifier.Service), wake: make(chan struct{}, 1),
	}
}

// SetDesired takes over a named version.
func (u *Upgrader) SetDesired(w DesiredVersion) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.wanted[w.Model].version < w.Version {
		next := naming{version: w.Version, at: u.Clock.Boot()}
		if _, known := u.wanted[w.Model]; !known {
			// What a term finds at its beginning was named before.
			next.at -= startDelay
		}
		u.wanted[w.Model] = next
		u.signal()
	}
}

func (u *Upgrader) signal() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// Run gives orders until ctx ends or a target has seen a later term.
func (u *Upgrader) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var loads sync.WaitGroup
	defer loads.Wait()
	for ctx.Err() == nil {
		_, changed := u.Registrar.Watch()
		for _, j := range u.next() {
			loads.Go(func() {
				if u.load(ctx, j) == Deposed {
					cancel()
				}
				u.mutex.Lock()
				delete(u.loading, j.listing.ID)
				u.mutex.Unlock()
				u.signal()
			})
		}
		sub := u.Clock.After(u.pause())
		select {
		case <-changed:
		case <-u.wake:
		case <-sub.C():
		case <-ctx.Done():
		}
		sub.Stop()
	}
}

// pause returns the time until the next look at all targets.
func (u *Upgrader) pause() time.Duration {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	now, wait := u.Clock.Boot(), recheck
	for _, n := range u.wanted {
		if due := n.at + startDelay - now; due > 0 {
			wait = min(wait, due)
		}
	}
	return wait
}

// next returns the loads that may begin now, and counts them as running.
func (u *Upgrader) next() []job {
	plan := u.Navigator.Current()
	u.mutex.Lock()
	defer u.mutex.Unlock()
	now := u.Clock.Boot()
	wanted := make(map[identifier.Model]identifier.Version, len(u.wanted))
	for m, n := range u.wanted {
		if now-n.at >= startDelay {
			wanted[m] = n.version
		}
	}
	jobs := choose(plan, u.Registrar.Listings(), wanted, u.loading)
	for _, j := range jobs {
		u.loading[j.listing.ID] = j.listing.Service
	}
	return jobs
}

// change returns what becomes of running work: where a route wants one version in each answer, runs end first.
func change(plan navigator.Plan, s identifier.Service) LoadMode {
	if plan.RequiresSingleVersion(s) {
		return Finish
	}
	return Retain
}

// load moves one target to a version.
func (u *Upgrader) load(ctx context.Context, j job) Verdict {
	verdict := u.order(ctx, j)
	began := u.Clock.Boot()
	u.Log.Emit(logger.LoadOrdered, "target", j.listing.ID, "model", j.model, "version", j.version, "had", j.listing.Versions[j.model],
		"fence", u.term.Fence, "verdict", verdict.String())
	switch verdict {
	case Accepted, Lost, Occupied:
	case AlreadyServing:
		u.Registrar.RecordVersion(j.listing.ID, j.model, j.version)
		return verdict
	default:
		timer.Wait(ctx, u.Clock, again)
		return verdict
	}
	defer func() {
		u.Log.Emit(logger.LoadEnded, "target", j.listing.ID, "model", j.model, "version", j.version, "took", u.Clock.Boot()-began)
	}()
	timer.Wait(ctx, u.Clock, firstLook)
	for ctx.Err() == nil && u.Clock.Boot()-began < loadTimeout {
		r, ok := u.report(ctx, j.listing)
		switch {
		case ok && r.Versions[j.model] >= j.version:
			u.Registrar.RecordVersion(j.listing.ID, j.model, r.Versions[j.model])
			return verdict
		case ok && !r.Busy && u.Clock.Boot()-began > firstLook+reportLag:
			return verdict
		}
		timer.Wait(ctx, u.Clock, nextLook)
	}
	return verdict
}

// reportLag is how old a target's report may be.
const reportLag = 500 * time.Millisecond

// order asks a target where it stands and gives the order on that condition.
func (u *Upgrader) order(ctx context.Context, j job) Verdict {
	r, ok := u.report(ctx, j.listing)
	switch {
	case !ok:
		return Rejected
	case r.Versions[j.model] >= j.version:
		return AlreadyServing
	case r.Busy:
		return Occupied
	case !u.valid():
		return Rejected
	}
	ctx, cancel := timer.WithTimeout(ctx, u.Clock, callTimeout)
	defer cancel()
	return u.Engines.Order(ctx, j.listing, Order{
		Model: j.model, Version: j.version, Mode: j.change, Holder: u.term.Holder, Fence: u.term.Fence, ExpectedOrders: r.Orders,
	})
}

func (u *Upgrader) report(ctx context.Context, l registrar.Listing) (Report, bool) {
	ctx, cancel := timer.WithTimeout(ctx, u.Clock, callTimeout)
	defer cancel()
	return u.Engines.Report(ctx, l)
}
