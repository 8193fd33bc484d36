package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/retrier"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// startedAttempt is an attempt that was followed until its first pieces arrived or it ended. event is Running when
// chunk holds pieces. discard is set when the attempt generates only the final record, as nextCall describes.
type startedAttempt struct {
	follower *follower
	ctx      context.Context
	cancel   context.CancelFunc
	discard  bool
	event    retrier.Event
	final    streamer.Final
	chunk    streamer.Chunk
}

// startAttempt starts an attempt. If no piece of its answer arrives in the usual time for the service, a second attempt
// starts on another target, and the attempt whose first piece arrives first is taken.
func (d *Dispatcher) startAttempt(ctx context.Context, j *job, target router.Target, id identifier.Attempt) startedAttempt {
	start := d.clock.Monotonic()
	delay, known := d.latencies.HedgeDelay(j.request.Service.Name)
	var started startedAttempt
	if known && !j.request.Service.Once && !d.isolator.IsSuspected(j.request.Call.Fingerprint) {
		hedgeTimer := d.clock.After(delay)
		defer hedgeTimer.Stop()
		started = d.startHedged(ctx, j, d.prepareAttempt(ctx, j, target, id), hedgeTimer.C())
	} else {
		started = d.prepareAttempt(ctx, j, target, id).start()
	}
	if started.event == retrier.Running {
		d.latencies.Observe(j.request.Service.Name, d.clock.Monotonic()-start)
	}
	return started
}

// preparedAttempt is an attempt that has not been offered to its agent.
type preparedAttempt struct {
	startedAttempt
	message Start
}

func (d *Dispatcher) prepareAttempt(ctx context.Context, j *job, target router.Target, id identifier.Attempt) preparedAttempt {
	j.attempts++
	j.attemptTargets = append(j.attemptTargets, target)
	call, discard := j.nextCall()
	ctx, cancel := context.WithCancel(ctx)
	issued := d.clock.Now()
	if j.claim.Attempt == id {
		issued = j.claim.Issued
	}
	f := &follower{agents: d.agents, clock: d.clock, target: target, attempt: id, issued: issued, once: call.Once}
	return preparedAttempt{
		startedAttempt: startedAttempt{follower: f, ctx: ctx, cancel: cancel, discard: discard},
		message: Start{
			Attempt: id, Issued: issued, Timeout: max(j.deadline-d.clock.Monotonic(), 0), Call: call, Permitted: d.permit(j.request, target),
		},
	}
}

// start offers the attempt and waits for the first pieces of its answer.
func (p preparedAttempt) start() startedAttempt {
	started := p.startedAttempt
	event := started.follower.offer(started.ctx, p.message)
	started.event, started.final = started.follower.follow(started.ctx, event, func(c streamer.Chunk) bool {
		started.chunk = c
		return true
	})
	return started
}

// startHedged starts the attempt first. If hedge fires before its first piece arrives, a second attempt starts on
// another target.
func (d *Dispatcher) startHedged(ctx context.Context, j *job, first preparedAttempt, hedge <-chan time.Time) startedAttempt {
	starts := make(chan startedAttempt, 2)
	launch := func(p preparedAttempt) { j.hedges.Go(func() { starts <- p.start() }) }
	launch(first)
	select {
	case started := <-starts:
		return started
	case <-hedge:
	}
	requirements := router.Requirements{
		Service: j.request.Service.Name, Zone: d.settings.Zone, Region: d.settings.Region, Regions: d.scope(j.request).Regions,
		Avoid: append(slices.Clone(j.failedTargets), first.follower.target.ID),
	}
	target, ok := d.router.Choose(requirements)
	if ok && !d.retryBudget.Spend() {
		d.router.Release(target.ID)
		ok = false
	}
	if !ok {
		return <-starts
	}
	second := d.prepareAttempt(ctx, j, target, identifier.Attempt{Request: j.request.ID, Number: j.attempts})
	launch(second)
	started := <-starts
	slower := second
	if started.follower == second.follower {
		slower = first
	}
	if started.event == retrier.Running || started.event == retrier.Completed || ctx.Err() != nil {
		slower.cancel()
		j.hedges.Go(func() {
			if other := <-starts; other.event == retrier.Running {
				other.follower.lostOrAbandoned(other.ctx)
			}
			d.router.Release(slower.follower.target.ID)
		})
		return started
	}
	// The attempt that ended first has no answer; the other attempt may still get one.
	d.recordCrash(started.follower.target.ID, started.event, started.final)
	j.mayHaveRun = j.mayHaveRun || started.event.MayHaveRun()
	j.failedTargets = append(j.failedTargets, started.follower.target.ID)
	started.cancel()
	d.router.Release(started.follower.target.ID)
	return <-starts
}
