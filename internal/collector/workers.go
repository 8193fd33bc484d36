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

// Classes of work items: a hedge runs before new work, since a step waits for it.
const (
	classHedge = iota
	classNew
)

// failureDelay is the wait after a failed attempt, so that a run without targets does not spin.
const failureDelay = 200 * time.Millisecond

// ownerTerm is one owner's term of a run, shared by its work items.
type ownerTerm struct {
	ctx   context.Context //nolint:containedctx // ends with the term; a worker's context ends with the process
	owner *Owner
	// queued counts the work items that wait for a worker.
	queued atomic.Int64
}

// workItem requests a worker for a run. Unless task is set, the worker takes the run's next rollout when it starts, so
// that a rollout's duration does not include the wait for a worker.
type workItem struct {
	term *ownerTerm
	task *Task
}

// lead claims the run, and queues work items for its rollouts and hedges until the term ends or a configuration excludes this entry.
func (c *Collector) lead(ctx context.Context, k *knownRun, t leaser.Term) {
	duty := k.spec.Run.Duty()
	valid := func() bool {
		now, ok := c.campaigner.Term(duty)
		return ok && now.Fence == t.Fence
	}
	onCancel := WithCancel(func(r AttemptID) {
		if cancel, ok := c.cancels.Get(attemptKey{run: k.spec.Run, fence: t.Fence, attempt: r}); ok {
			cancel()
		}
	})
	if !c.mayHold(k.spec, c.settings.Region) {
		return
	}
	record := OwnerRecord{Fence: t.Fence, Address: c.settings.Address, Region: c.settings.Region}
	o, out := ClaimRun(ctx, c.store, c.codec, c.clock, k.spec.Run, record, rand.Text(), valid, onCancel)
	if out != storer.Applied {
		c.sleep(ctx, claimRetryDelay)
		return
	}
	k.owner.Store(o)
	defer o.End()
	defer k.owner.Store(nil)
	tick := c.clock.Every(tickPeriod)
	defer tick.Stop()
	tm := &ownerTerm{ctx: ctx, owner: o}
	for ctx.Err() == nil {
		changed := o.run.Changed()
		c.queueWork(tm)
		select {
		case <-changed:
		case <-tick.C():
			if !c.mayHold(k.spec, c.settings.Region) {
				return
			}
			_, newest, due := c.fleet.Versions(k.spec.Service)
			o.run.SetVersions(newest, due)
			c.queueHedges(tm)
		case <-ctx.Done():
		}
	}
}

// queueWork queues a work item for each waiting rollout, up to the number of workers.
func (c *Collector) queueWork(tm *ownerTerm) {
	waiting, cost := tm.owner.run.WaitingRollouts()
	for n := tm.queued.Load(); n < int64(min(waiting, c.settings.Workers)); n++ {
		if !c.enqueue(workItem{term: tm}, classNew, cost) {
			return
		}
	}
}

// queueHedges queues the hedges that the run allows. A hedge that the queue refuses ends as failed.
func (c *Collector) queueHedges(tm *ownerTerm) {
	for {
		task, ok := tm.owner.run.NextHedge(c.clock.Monotonic())
		if !ok {
			return
		}
		if !c.enqueue(workItem{term: tm, task: &task}, classHedge, task.Prompt.Limit) {
			tm.owner.run.Finish(task.Rollout, nil, c.clock.Monotonic())
			return
		}
	}
}

// enqueue queues a work item. Runs share the workers evenly by tokens regardless of their teams; the dispatcher shares
// the engines by team.
func (c *Collector) enqueue(item workItem, class scheduler.Class, cost identifier.Tokens) bool {
	tm := item.term
	tm.queued.Add(1)
	decision := c.queue.Offer(scheduler.Item[workItem]{
		Team: identifier.Team(tm.owner.run.Spec().Run), Cost: cost, Class: class, Work: item,
	}, c.clock.Monotonic())
	if decision.Refused {
		tm.queued.Add(-1)
	}
	return !decision.Refused
}

// runItem runs the attempt of a work item.
func (c *Collector) runItem(ctx context.Context, item workItem) {
	item.term.queued.Add(-1)
	run := item.term.owner.run
	task := item.task
	if task == nil {
		oldest, _, _ := c.fleet.Versions(run.Spec().Service)
		next, ok := run.Next(c.clock.Monotonic(), oldest)
		if !ok {
			return
		}
		task = &next
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(item.term.ctx, cancel)()
	key := attemptKey{run: run.Spec().Run, fence: run.Fence(), attempt: task.Rollout}
	c.cancels.Put(key, cancel)
	defer c.cancels.Delete(key)
	sample, ok := c.runAttempt(ctx, run, *task)
	if !ok {
		c.sleep(ctx, failureDelay)
		run.Finish(task.Rollout, nil, c.clock.Monotonic())
		return
	}
	run.Finish(task.Rollout, &sample, c.clock.Monotonic())
}

// runAttempt submits an attempt to the engines and reads its answer until it is complete. It returns false when the
// answer is incomplete or no longer needed.
func (c *Collector) runAttempt(ctx context.Context, run *Run, task Task) (Sample, bool) {
	request, ok := c.fleet.Request(run.Spec(), task)
	if !ok {
		return Sample{}, false
	}
	answer, refusal := c.submitter.Submit(ctx, request)
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
			tokens, oldest := countTokens(pieces)
			if !run.RecordProgress(task.Rollout, tokens, oldest, c.clock.Monotonic()) {
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
	complete := result.RunState == dispatcher.HasRun && result.Final.End == streamer.Complete && result.Final.Pieces == len(pieces)
	if !complete {
		return Sample{}, false
	}
	return NewSample(task.Rollout.Group, task.Rollout.Index, pieces), true
}

// countTokens returns the number of tokens in the pieces and their oldest known version.
func countTokens(pieces []streamer.Piece) (identifier.Tokens, identifier.Version) {
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

// sleep waits for d or the end of the context.
func (c *Collector) sleep(ctx context.Context, d time.Duration) {
	timeout := c.clock.After(d)
	defer timeout.Stop()
	select {
	case <-timeout.C():
	case <-ctx.Done():
	}
}
