package hoster

import (
	"context"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/limiter"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// coldTargets tells the limiter which targets are cold: by their listings, before a view with them is adopted, by the plan, before it
// is adopted, and by what shows that a target has restarted. A nil coldTargets does nothing.
type coldTargets struct {
	bound   limiter.ColdBound
	limiter *limiter.Limiter
	log     *logger.Logger
	clock   timer.Service
	lock    sync.Mutex
	plan    navigator.Plan
	// suspects are the targets that may have restarted, with the time until which they are asked for their start.
	suspects map[identifier.Target]suspect
	wake     chan struct{}
	// starts are the later starts as which targets were seen to serve before their listings.
	starts map[identifier.Target]identifier.Incarnation
}

func newColdTargets(b limiter.ColdBound, l *limiter.Limiter, clock timer.Service, log *logger.Logger) *coldTargets {
	return &coldTargets{
		bound: b, limiter: l, clock: clock, log: log, suspects: make(map[identifier.Target]suspect), wake: make(chan struct{}, 1),
		starts: make(map[identifier.Target]identifier.Incarnation),
	}
}

// planned takes in a plan, and returns whether targets of any of its services go cold, or did so by the plan before.
func (c *coldTargets) planned(p navigator.Plan) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	before := c.plan
	c.plan = p
	return goesCold(before) || goesCold(p)
}

func goesCold(p navigator.Plan) bool {
	for _, s := range p.Services() {
		if s.GoesCold() {
			return true
		}
	}
	return false
}

// service returns a service of the present plan if its targets go cold.
func (c *coldTargets) service(name identifier.Service) (navigator.Service, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	s, ok := c.plan.Service(name)
	return s, ok && s.GoesCold()
}

// listed takes in a listing. ended holds the listings of the incarnations that it and others replaced: a target that restarted is cold
// also if the first listing of its new start does not say so.
func (c *coldTargets) listed(l registrar.Listing, ended []registrar.Listing) {
	if c == nil {
		return
	}
	s, ok := c.service(l.Service)
	left := l.Cold
	if !ok || l.Draining {
		left = 0
	} else if left == 0 {
		for _, e := range ended {
			if e.ID == l.ID && e.Incarnation < l.Incarnation {
				left = s.ColdFor
			}
		}
	}
	c.set(s, limiter.Coldness{Target: l.ID, Incarnation: l.Incarnation, Service: l.Service, Left: left})
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.starts[l.ID] <= l.Incarnation {
		delete(c.starts, l.ID)
	}
}

// servesAs takes in that a target serves as a later start than the listed one. Its time is counted from the first time that this
// start is seen.
func (c *coldTargets) servesAs(t router.Target, serving identifier.Incarnation) {
	c.lock.Lock()
	known := c.starts[t.ID] >= serving
	if !known {
		c.starts[t.ID] = serving
	}
	c.lock.Unlock()
	if !known {
		c.restarted(t)
	}
}

// restarted takes in that an answer shows that a target, as it is listed, has ended. What serves under its ID until its new
// listing is read is cold.
func (c *coldTargets) restarted(t router.Target) {
	if s, ok := c.service(t.Service); ok {
		c.set(s, limiter.Coldness{Target: t.ID, Incarnation: t.Incarnation, Service: t.Service, Left: s.ColdFor, Assumed: true})
	}
}

func (c *coldTargets) set(s navigator.Service, k limiter.Coldness) {
	k.Rate, k.Fallback = c.bound.Rates(s.ColdRate)
	if c.limiter.SetCold(k) == limiter.Limited {
		c.log.Emit(logger.TargetCold, "target", k.Target, "incarnation", k.Incarnation, "left", k.Left, "rate", k.Rate, "restarted", k.Assumed)
	}
}

// startObserver is a forwarder.StartReader that takes in which targets have restarted.
type startObserver struct {
	forwarder.StartReader

	cold *coldTargets
}

// Start asks a target for its start.
func (o startObserver) Start(ctx context.Context, t router.Target) (identifier.Incarnation, time.Time, bool) {
	serving, asked, ok := o.StartReader.Start(ctx, t)
	switch {
	case ok && serving > t.Incarnation:
		o.cold.servesAs(t, serving)
	case ok:
		o.cold.limiter.Confirm(t.ID, t.Incarnation)
	}
	return serving, asked, ok
}
