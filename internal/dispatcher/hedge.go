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

// lead is an attempt up to the first pieces of its answer, or to its end. It is Running when it has pieces.
type lead struct {
	follower *follower
	ctx      context.Context
	cancel   context.CancelFunc
	discard  bool
	event    retrier.Event
	final    streamer.Final
	chunk    streamer.Chunk
}

// begin starts an attempt. If its answer does not begin in the usual time, a second one starts elsewhere, and the one
// whose answer begins first is taken.
func (d *Dispatcher) begin(ctx context.Context, j *job, target router.Target, id identifier.Attempt) lead {
	start := d.clock.Boot()
	wait, known := d.pace.HedgeDelay(j.request.Service.Name)
	var l lead
	if known && !j.request.Service.Once && !d.isolator.Suspected(j.request.Call.Fingerprint) {
		alarm := d.clock.After(wait)
		defer alarm.Stop()
		l = d.race(ctx, j, d.prepare(ctx, j, target, id), alarm.C())
	} else {
		l = d.prepare(ctx, j, target, id).start()
	}
	if l.event == retrier.Running {
		d.pace.Observe(j.request.Service.Name, d.clock.Boot()-start)
	}
	return l
}

// prepared is an attempt that was not offered yet.
type prepared struct {
	lead
	message Start
}

func (d *Dispatcher) prepare(ctx context.Context, j *job, target router.Target, id identifier.Attempt) prepared {
	j.attempts++
	j.tried = append(j.tried, target)
	call, discard := j.next()
	ctx, cancel := context.WithCancel(ctx)
	issued := d.clock.Now()
	if j.claim.Attempt == id {
		issued = j.claim.Issued
	}
	f := &follower{agents: d.agents, clock: d.clock, target: target, attempt: id, issued: issued, once: call.Once}
	return prepared{
		lead:    lead{follower: f, ctx: ctx, cancel: cancel, discard: discard},
		message: Start{Attempt: id, Issued: issued, Timeout: max(j.latest-d.clock.Boot(), 0), Call: call},
	}
}

// start offers the attempt and waits for the first pieces of its answer.
func (p prepared) start() lead {
	l := p.lead
	event := l.follower.offer(l.ctx, p.message)
	l.event, l.final = l.follower.pursue(l.ctx, event, func(c streamer.Chunk) bool {
		l.chunk = c
		return true
	})
	return l
}

// race starts first and, when alarm fires before its answer begins, one more attempt elsewhere.
func (d *Dispatcher) race(ctx context.Context, j *job, first prepared, alarm <-chan time.Time) lead {
	leads := make(chan lead, 2)
	launch := func(p prepared) { j.losers.Go(func() { leads <- p.start() }) }
	launch(first)
	select {
	case l := <-leads:
		return l
	case <-alarm:
	}
	need := router.Requirements{
		Service: j.request.Service.Name, Zone: d.settings.Zone, Region: d.settings.Region,
		Avoid: append(slices.Clone(j.used), first.follower.target.ID),
	}
	target, ok := d.router.Choose(need)
	if ok && !d.budget.Spend() {
		d.router.Release(target.ID)
		ok = false
	}
	if !ok {
		return <-leads
	}
	second := d.prepare(ctx, j, target, identifier.Attempt{Request: j.request.ID, Number: j.attempts})
	launch(second)
	l := <-leads
	loser := second
	if l.follower == second.follower {
		loser = first
	}
	if l.event == retrier.Running || l.event == retrier.Completed || ctx.Err() != nil {
		loser.cancel()
		j.losers.Go(func() {
			if late := <-leads; late.event == retrier.Running {
				late.follower.lost(late.ctx)
			}
			d.router.Release(loser.follower.target.ID)
		})
		return l
	}
	// The attempt that ended first has no answer; the other one may have.
	d.witness(l.follower.target.ID, l.event, l.final)
	j.ran = j.ran || l.event.MayHaveRun()
	j.used = append(j.used, l.follower.target.ID)
	l.cancel()
	d.router.Release(l.follower.target.ID)
	return <-leads
}
