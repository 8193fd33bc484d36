package hoster

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/limiter"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/worker"
)

const (
	// suspicionTime is how long a target counts as cold after a call that broke, unless it confirms its start.
	suspicionTime = 2 * time.Second
	// questionPeriod is the time between two questions for the start of a target, and questionsEnd the time after the last such call
	// from which it is not asked any more.
	questionPeriod = 500 * time.Millisecond
	questionsEnd   = 30 * time.Second
	// questionWorkers is the number of questions at a time, and questionQueue the number that wait.
	questionWorkers = 8
	questionQueue   = 256
)

// suspect is a target that may have restarted. limited is set if it counts as cold until it answers.
type suspect struct {
	target  router.Target
	end     time.Duration
	limited bool
}

// failed takes in that a call to a target failed: it may have restarted, and its new listing may be read late or, while the key-value
// service is not reached, never. A connection that the target had closed before the call is common, so that the target is only asked.
func (c *coldTargets) failed(t router.Target, fault forwarder.Fault) {
	if _, ok := c.service(t.Service); !ok {
		return
	}
	c.suspect(t, fault != forwarder.Stale)
	c.askSuspects()
}

// returning takes in that the zone of targets is about to be taken back. While nothing was sent to a target, no failed call could show
// that it has restarted, so that it counts as cold until it answers. The caller calls askSuspects once the zone is taken back.
func (c *coldTargets) returning(targets []router.Target) {
	for _, t := range targets {
		if _, ok := c.service(t.Service); ok {
			c.suspect(t, true)
		}
	}
}

// suspect makes a target a suspect, which is limited from now on if it is said so.
func (c *coldTargets) suspect(t router.Target, limited bool) {
	c.lock.Lock()
	s := c.suspects[t.ID]
	s.target, s.end, s.limited = t, c.clock.Monotonic()+questionsEnd, s.limited || limited
	c.suspects[t.ID] = s
	c.lock.Unlock()
	c.assume(s)
}

// askSuspects makes run ask the suspects now, unless it does so already.
func (c *coldTargets) askSuspects() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// assume limits a suspect for suspicionTime.
func (c *coldTargets) assume(s suspect) {
	service, ok := c.service(s.target.Service)
	if ok && s.limited {
		t := s.target
		c.set(service, limiter.Coldness{Target: t.ID, Incarnation: t.Incarnation, Service: t.Service, Left: suspicionTime, Assumed: true})
	}
}

// due returns the targets to be asked for their start, and limits them until they answer.
func (c *coldTargets) due() []router.Target {
	c.lock.Lock()
	now := c.clock.Monotonic()
	all := make([]suspect, 0, len(c.suspects))
	for id, s := range c.suspects {
		if s.end <= now {
			delete(c.suspects, id)
			continue
		}
		all = append(all, s)
	}
	c.lock.Unlock()
	targets := make([]router.Target, 0, len(all))
	for _, s := range all {
		c.assume(s)
		targets = append(targets, s.target)
	}
	return targets
}

// ask asks a target for its start. One that answers is no suspect any more.
func (c *coldTargets) ask(ctx context.Context, starts forwarder.StartReader, t router.Target) {
	if _, _, ok := starts.Start(ctx, t); ok {
		c.lock.Lock()
		delete(c.suspects, t.ID)
		c.lock.Unlock()
	}
}

// run asks suspects for their start until ctx ends.
func (c *coldTargets) run(ctx context.Context, starts forwarder.StartReader) {
	queue := worker.NewQueue[router.Target](questionQueue)
	pool := worker.NewPool(questionWorkers, worker.Source[router.Target](queue), func(ctx context.Context, t router.Target) { c.ask(ctx, starts, t) })
	defer pool.Close()
	for ctx.Err() == nil {
		due := c.due()
		for _, t := range due {
			queue.Offer(t) // a target that finds no place is asked in the next period
		}
		if len(due) > 0 {
			timer.Wait(ctx, c.clock, questionPeriod)
			continue
		}
		select {
		case <-c.wake:
		case <-ctx.Done():
		}
	}
}
