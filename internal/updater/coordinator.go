package updater

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/worker"
)

const (
	// coordinatorWorkers bounds the agents that are called at a time.
	coordinatorWorkers = 256
	// retryPause is the wait before a failed prefetch or switch is tried again.
	retryPause = 500 * time.Millisecond
)

// Agents reaches the agents that hold and switch weights.
type Agents interface {
	// Prefetch lets an agent fetch the weights and reports whether it has them, verified.
	Prefetch(ctx context.Context, to Member, m Manifest, members []Member) bool
	// Switch lets an agent switch its engine and returns the version that the engine reported afterwards; zero when
	// there was no answer.
	Switch(ctx context.Context, to Member, v identifier.Version, fence identifier.Fence) identifier.Version
}

// Coordinator leads weight changes: prefetch everywhere, then switches in waves.
type Coordinator struct {
	agents Agents
	clock  timer.Service
}

// NewCoordinator returns a Coordinator over agents.
func NewCoordinator(a Agents, clock timer.Service) *Coordinator {
	return &Coordinator{agents: a, clock: clock}
}

// job is one call to one agent.
type job struct {
	member Member
	fetch  bool
}

// Lead brings m to the members until all have switched or ctx ends, and reports whether all have. fence is the number
// of the caller's term.
func (c *Coordinator) Lead(ctx context.Context, m Manifest, members []Member, change *Change, fence identifier.Fence) bool {
	queue := worker.NewQueue[job](2 * len(members))
	progress := make(chan struct{}, 1)
	byName := make(map[identifier.Target]Member, len(members))
	for _, member := range members {
		byName[member.Target] = member
		queue.Offer(job{member: member, fetch: true})
	}
	// Closing the pool ends the calls and waits for them.
	pool := worker.NewPool(min(coordinatorWorkers, len(members)), queue, func(poolCtx context.Context, j job) {
		if j.fetch {
			for !c.agents.Prefetch(poolCtx, j.member, m, members) {
				if !c.pause(poolCtx) {
					return
				}
			}
			change.MarkFetched(j.member.Target)
		} else if change.Observe(j.member.Target, c.agents.Switch(poolCtx, j.member, m.Version, fence)) == Failed {
			c.pause(poolCtx)
		}
		select {
		case progress <- struct{}{}:
		default:
		}
	})
	defer pool.Close()
	for !change.Done() {
		for _, t := range change.Next() {
			queue.Offer(job{member: byName[t]})
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// pause waits before a retry. It reports false when ctx ended.
func (c *Coordinator) pause(ctx context.Context) bool {
	sub := c.clock.After(retryPause)
	defer sub.Stop()
	select {
	case <-sub.C():
		return true
	case <-ctx.Done():
		return false
	}
}
