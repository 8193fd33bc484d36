// Package upgrader makes targets load the weight versions that trainers have announced, a few targets at a time.
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

// Report is a target's own report of its state.
type Report struct {
	// Busy is set while the target carries out an order.
	Busy bool
	// Orders is the number of orders that the target has accepted since its start.
	Orders   int
	Versions map[identifier.Model]identifier.Version
}

// LoadMode is how a target handles its running requests when it loads weights.
type LoadMode int

const (
	// RetainRequests continues running requests with the new version.
	RetainRequests LoadMode = iota + 1
	// FinishRequests lets running requests end before the load.
	FinishRequests
)

// Order is an order to a target to load a version of a model. It is immutable.
type Order struct {
	Model   identifier.Model
	Version identifier.Version
	Mode    LoadMode
	Holder  identifier.Node
	Fence   identifier.Fence
	// ExpectedOrders is the number of orders that the target must have accepted before this one. It makes the target
	// refuse an order that arrives late, after another one.
	ExpectedOrders int
}

// Verdict is a target's answer to an order.
type Verdict int

const (
	// Accepted means that the target carries out the order.
	Accepted Verdict = iota + 1
	// AlreadyServing means that the target already serves the version or a later one.
	AlreadyServing
	// OrderConflict means that the target carries out another order or that its number of orders is not the expected one.
	OrderConflict
	// StaleFence means that the target has seen a higher fencing number.
	StaleFence
	// Rejected means that the target did not report or refuses the order for another reason, or that the term has
	// ended.
	Rejected
	// Lost means that no answer arrived: the target may carry out the order, now or later.
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

// Engines sends calls to the engines of targets.
type Engines interface {
	Report(ctx context.Context, l registrar.Listing) (Report, bool)
	Order(ctx context.Context, l registrar.Listing, o Order) Verdict
}

// DesiredVersion is a weight version that a trainer has announced.
type DesiredVersion struct {
	Model   identifier.Model
	Version identifier.Version
}

const (
	// startDelay is the time from the announcement of a version to the first load. A trainer submits its next job
	// when it announces a version; items that have started continue during a load, others would have to wait for its
	// end.
	startDelay = 500 * time.Millisecond
	// loadTimeout is the maximum time to wait for one load.
	loadTimeout = 8 * time.Second
	// firstPollDelay is the time from an order to the first request for the target's report, and pollInterval the time
	// between further ones.
	firstPollDelay = 700 * time.Millisecond
	pollInterval   = 50 * time.Millisecond
	// callTimeout is the timeout of one call to a target.
	callTimeout = 800 * time.Millisecond
	// retryDelay is the delay after an order that was not accepted.
	retryDelay = 300 * time.Millisecond
	// maxPause is the maximum time between two checks of all targets.
	maxPause = time.Second
)

// Dependencies holds the collaborators and settings of an Upgrader.
type Dependencies struct {
	Navigator *navigator.Navigator
	Registrar *registrar.Registrar
	Engines   Engines
	// Work returns the recent work of each model in tokens, and false if it is not known now. It may be nil.
	Work  func(ctx context.Context) (map[identifier.Model]int, bool)
	Clock timer.Service
	Log   *logger.Logger
}

// announcement is a version that a trainer has announced, with the monotonic time at which it was received.
type announcement struct {
	version    identifier.Version
	receivedAt time.Duration
}

// Upgrader orders the weight loads during one term as the holder of the duty.
type Upgrader struct {
	Dependencies
	term  leaser.Term
	valid func() bool

	mutex   sync.Mutex
	desired map[identifier.Model]announcement
	loading map[identifier.Target]identifier.Service
	// work is the work of each model when it was last read. workRead is cleared by each announcement.
	work     map[identifier.Model]int
	workRead bool
	wake     chan struct{}
}

// NewUpgrader returns an Upgrader for a term. It sends no order once valid returns false.
func NewUpgrader(d Dependencies, term leaser.Term, valid func() bool) *Upgrader {
	return &Upgrader{
		Dependencies: d, term: term, valid: valid, desired: make(map[identifier.Model]announcement),
		loading: make(map[identifier.Target]identifier.Service), wake: make(chan struct{}, 1),
	}
}

// SetDesired sets the desired version of a model. A version that is not higher than the known one is ignored.
func (u *Upgrader) SetDesired(w DesiredVersion) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.desired[w.Model].version < w.Version {
		next := announcement{version: w.Version, receivedAt: u.Clock.Monotonic()}
		if _, known := u.desired[w.Model]; !known {
			// The first version of a model in a term was announced before the term, so its delay has passed.
			next.receivedAt -= startDelay
		}
		u.desired[w.Model] = next
		u.workRead = false
		u.notify()
	}
}

func (u *Upgrader) notify() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// Run sends orders until ctx ends or a target has seen a later term.
func (u *Upgrader) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		_, changed := u.Registrar.Watch()
		u.readWork(ctx)
		for _, w := range u.startable() {
			running.Go(func() {
				if u.load(ctx, w) == StaleFence {
					cancel()
				}
				u.mutex.Lock()
				delete(u.loading, w.listing.ID)
				u.mutex.Unlock()
				u.notify()
			})
		}
		timeout := u.Clock.After(u.pause())
		select {
		case <-changed:
		case <-u.wake:
		case <-timeout.C():
		case <-ctx.Done():
		}
		timeout.Stop()
	}
}

// readWork reads the work of the models once after each announcement. If it can't be read, the previous figures are kept.
func (u *Upgrader) readWork(ctx context.Context) {
	u.mutex.Lock()
	skip := u.workRead || u.Work == nil || len(u.desired) == 0
	u.workRead = true
	u.mutex.Unlock()
	if skip {
		return
	}
	ctx, cancel := timer.WithTimeout(ctx, u.Clock, callTimeout)
	defer cancel()
	if work, ok := u.Work(ctx); ok {
		u.mutex.Lock()
		u.work = work
		u.mutex.Unlock()
	}
}

// pause returns the time until the next check of all targets.
func (u *Upgrader) pause() time.Duration {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	now, wait := u.Clock.Monotonic(), maxPause
	for _, n := range u.desired {
		if due := n.receivedAt + startDelay - now; due > 0 {
			wait = min(wait, due)
		}
	}
	return wait
}

// startable returns the loads that may start now, and marks their targets as loading.
func (u *Upgrader) startable() []weightLoad {
	plan := u.Navigator.Current()
	u.mutex.Lock()
	defer u.mutex.Unlock()
	now := u.Clock.Monotonic()
	desired := make(map[identifier.Model]identifier.Version, len(u.desired))
	for m, n := range u.desired {
		if now-n.receivedAt >= startDelay {
			desired[m] = n.version
		}
	}
	loads := chooseLoads(plan, u.Registrar.Listings(), desired, u.work, u.loading)
	for _, w := range loads {
		u.loading[w.listing.ID] = w.listing.Service
	}
	return loads
}

// loadMode returns the mode of loads at a service: FinishRequests if a route requires one version in each answer,
// otherwise RetainRequests.
func loadMode(plan navigator.Plan, s identifier.Service) LoadMode {
	if plan.RequiresSingleVersion(s) {
		return FinishRequests
	}
	return RetainRequests
}

// load orders one target to load a version and waits for the end of the load.
func (u *Upgrader) load(ctx context.Context, w weightLoad) Verdict {
	verdict := u.order(ctx, w)
	began := u.Clock.Monotonic()
	u.Log.Emit(logger.LoadOrdered, "target", w.listing.ID, "model", w.model, "version", w.version, "had", w.listing.Versions[w.model],
		"fence", u.term.Fence, "verdict", verdict.String())
	switch verdict {
	case Accepted, Lost, OrderConflict:
	case AlreadyServing:
		u.Registrar.RecordVersion(w.listing.ID, w.model, w.version)
		return verdict
	default:
		timer.Wait(ctx, u.Clock, retryDelay)
		return verdict
	}
	defer func() {
		u.Log.Emit(logger.LoadEnded, "target", w.listing.ID, "model", w.model, "version", w.version, "took", u.Clock.Monotonic()-began)
	}()
	timer.Wait(ctx, u.Clock, firstPollDelay)
	for ctx.Err() == nil && u.Clock.Monotonic()-began < loadTimeout {
		r, ok := u.report(ctx, w.listing)
		switch {
		case ok && r.Versions[w.model] >= w.version:
			u.Registrar.RecordVersion(w.listing.ID, w.model, r.Versions[w.model])
			return verdict
		case ok && !r.Busy && u.Clock.Monotonic()-began > firstPollDelay+maxReportAge:
			return verdict
		}
		timer.Wait(ctx, u.Clock, pollInterval)
	}
	return verdict
}

// maxReportAge is the maximum age of a target's report when it is read.
const maxReportAge = 500 * time.Millisecond

// order reads a target's report and, if the target needs the load and is free, sends the order with the reported
// number of orders.
func (u *Upgrader) order(ctx context.Context, w weightLoad) Verdict {
	r, ok := u.report(ctx, w.listing)
	switch {
	case !ok:
		return Rejected
	case r.Versions[w.model] >= w.version:
		return AlreadyServing
	case r.Busy:
		return OrderConflict
	case !u.valid():
		return Rejected
	}
	ctx, cancel := timer.WithTimeout(ctx, u.Clock, callTimeout)
	defer cancel()
	return u.Engines.Order(ctx, w.listing, Order{
		Model: w.model, Version: w.version, Mode: w.mode, Holder: u.term.Holder, Fence: u.term.Fence, ExpectedOrders: r.Orders,
	})
}

func (u *Upgrader) report(ctx context.Context, l registrar.Listing) (Report, bool) {
	ctx, cancel := timer.WithTimeout(ctx, u.Clock, callTimeout)
	defer cancel()
	return u.Engines.Report(ctx, l)
}
