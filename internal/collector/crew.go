package collector

import (
	"context"
	"crypto/rand"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/scheduler"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// Classes of tickets: a hedge goes before new work, since a step waits for it.
const (
	classHedge = iota
	classFresh
)

// failedPause is the wait after a rollout that failed, so that a run without targets does not spin.
const failedPause = 200 * time.Millisecond

// term is one owner's time with a run, as the workers see it.
type term struct {
	ctx   context.Context //nolint:containedctx // ends with the term; a worker's context ends with the process
	owner *Owner
	// queued counts the tickets that wait for a worker.
	queued atomic.Int64
}

// ticket entitles a run to a worker. The worker takes the next rollout when it starts, so that a rollout's time does
// not include the wait.
type ticket struct {
	term *term
	task *Task
}

// lead claims the run and keeps it supplied with workers until the term ends.
func (c *Collector) lead(ctx context.Context, k *known, t leaser.Term) {
	duty := k.spec.Run.Duty()
	valid := func() bool {
		now, ok := c.duties.Term(duty)
		return ok && now.Fence == t.Fence
	}
	drop := WithCancel(func(r Rollout) {
		if cancel, ok := c.cancels.Get(running{run: k.spec.Run, fence: t.Fence, rollout: r}); ok {
			cancel()
		}
	})
	place := OwnerRecord{Fence: t.Fence, Address: c.settings.Address}
	o, out := Claim(ctx, c.store, c.form, c.clock, k.spec.Run, place, rand.Text(), valid, drop)
	if out != storer.Applied {
		c.pause(ctx, claimPause)
		return
	}
	k.owner.Store(o)
	defer o.End()
	defer k.owner.Store(nil)
	tick := c.clock.Every(tickPeriod)
	defer tick.Stop()
	tm := &term{ctx: ctx, owner: o}
	for ctx.Err() == nil {
		changed := o.run.Changed()
		c.feed(tm)
		select {
		case <-changed:
		case <-tick.C():
			_, newest, due := c.fleet.Versions(k.spec.Service)
			o.run.SetVersions(newest, due)
			c.hedge(tm)
		case <-ctx.Done():
		}
	}
}

// feed queues tickets while rollouts wait.
func (c *Collector) feed(tm *term) {
	waiting, cost := tm.owner.run.Waiting()
	for n := tm.queued.Load(); n < int64(min(waiting, c.settings.Workers)); n++ {
		if !c.offer(ticket{term: tm}, classFresh, cost) {
			return
		}
	}
}

func (c *Collector) hedge(tm *term) {
	for {
		task, ok := tm.owner.run.Hedge(c.clock.Boot())
		if !ok {
			return
		}
		if !c.offer(ticket{term: tm, task: &task}, classHedge, task.Prompt.Limit) {
			tm.owner.run.Finish(task.Rollout, nil, c.clock.Boot())
			return
		}
	}
}

// offer queues a ticket. Runs share the workers evenly by tokens, whatever team they belong to; the dispatcher shares
// the engines by team.
func (c *Collector) offer(t ticket, class scheduler.Class, cost identifier.Tokens) bool {
	tm := t.term
	tm.queued.Add(1)
	verdict := c.queue.Offer(scheduler.Item[ticket]{
		Team: identifier.Team(tm.owner.run.Spec().Run), Cost: cost, Class: class, Work: t,
	}, c.clock.Boot())
	if verdict.Refused {
		tm.queued.Add(-1)
	}
	return !verdict.Refused
}

// work runs one rollout.
func (c *Collector) work(ctx context.Context, t ticket) {
	t.term.queued.Add(-1)
	run := t.term.owner.run
	task := t.task
	if task == nil {
		oldest, _, _ := c.fleet.Versions(run.Spec().Service)
		next, ok := run.Next(c.clock.Boot(), oldest)
		if !ok {
			return
		}
		task = &next
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(t.term.ctx, cancel)()
	key := running{run: run.Spec().Run, fence: run.Fence(), rollout: task.Rollout}
	c.cancels.Put(key, cancel)
	defer c.cancels.Delete(key)
	sample, ok := c.roll(ctx, run, *task)
	if !ok {
		c.pause(ctx, failedPause)
		run.Finish(task.Rollout, nil, c.clock.Boot())
		return
	}
	run.Finish(task.Rollout, &sample, c.clock.Boot())
}

// roll runs a rollout on the engines and follows its answer.
func (c *Collector) roll(ctx context.Context, run *Run, task Task) (Sample, bool) {
	request, ok := c.fleet.Request(run.Spec(), task)
	if !ok {
		return Sample{}, false
	}
	answer, refusal := c.submit.Submit(ctx, request)
	if refusal.Refused() {
		return Sample{}, false
	}
	var pieces []streamer.Piece
	for {
		chunk, changed := answer.Read(len(pieces))
		pieces = append(pieces, chunk.Pieces...)
		if chunk.Done() {
			break
		}
		if len(chunk.Pieces) > 0 {
			tokens, oldest := progress(pieces)
			if !run.RecordProgress(task.Rollout, tokens, oldest, c.clock.Boot()) {
				return Sample{}, false
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Sample{}, false
		}
	}
	result := answer.Result()
	whole := result.RunState == dispatcher.HasRun && result.Final.End == streamer.Complete && result.Final.Pieces == len(pieces)
	if !whole {
		return Sample{}, false
	}
	return NewSample(task.Rollout.Group, task.Rollout.Index, pieces), true
}

// progress counts the tokens of the pieces and finds their oldest known version.
func progress(pieces []streamer.Piece) (identifier.Tokens, identifier.Version) {
	var tokens identifier.Tokens
	var oldest identifier.Version
	for _, p := range pieces {
		tokens += p.Tokens
		if p.Version != 0 && (oldest == 0 || p.Version < oldest) {
			oldest = p.Version
		}
	}
	return tokens, oldest
}

func (c *Collector) pause(ctx context.Context, d time.Duration) {
	sub := c.clock.After(d)
	defer sub.Stop()
	select {
	case <-sub.C():
	case <-ctx.Done():
	}
}
