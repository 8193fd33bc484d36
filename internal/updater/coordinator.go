package updater

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/worker"
)

const (
	// coordinatorWorkers bounds the number of concurrent calls to agents.
	coordinatorWorkers = 256
	// queuedCallsPerMember is the capacity of the queue of calls for each member.
	queuedCallsPerMember = 2
	// retryPause is the delay before a failed prefetch or switch is retried.
	retryPause = 500 * time.Millisecond
)

// Agents calls the agents, which store the weights and switch their engines.
type Agents interface {
	// Prefetch makes an agent fetch the weights and reports whether it has all chunks, verified.
	Prefetch(ctx context.Context, to Member, m Manifest, members []Member) bool
	// Switch makes an agent switch its engine and returns the version that the engine reported afterwards; zero when
	// there was no answer.
	Switch(ctx context.Context, to Member, v identifier.Version, fence identifier.Fence) identifier.Version
}

// Coordinator runs weight changes: every agent prefetches the weights, and the engines switch in waves.
type Coordinator struct {
	agents Agents
	clock  timer.Service
}

// NewCoordinator returns a Coordinator that calls the given agents.
func NewCoordinator(a Agents, clock timer.Service) *Coordinator {
	return &Coordinator{agents: a, clock: clock}
}

// agentCall is a queued call to an agent: a prefetch if fetch is set, else a switch.
type agentCall struct {
	member Member
	fetch  bool
}

// Run changes the members to the weights of m. It returns true when all have switched, and false when ctx ends
// before. fence is the number of the caller's term.
func (c *Coordinator) Run(ctx context.Context, m Manifest, members []Member, change *Change, fence identifier.Fence) bool {
	queue := worker.NewQueue[agentCall](queuedCallsPerMember * len(members))
	progress := make(chan struct{}, 1)
	byTarget := make(map[identifier.Target]Member, len(members))
	for _, member := range members {
		byTarget[member.Target] = member
		queue.Offer(agentCall{member: member, fetch: true})
	}
	// Closing the pool cancels the calls and waits for them.
	pool := worker.NewPool(min(coordinatorWorkers, len(members)), queue, func(poolCtx context.Context, call agentCall) {
		if call.fetch {
			for !c.agents.Prefetch(poolCtx, call.member, m, members) {
				if !c.pause(poolCtx) {
					return
				}
			}
			change.MarkFetched(call.member.Target)
		} else if change.Observe(call.member.Target, c.agents.Switch(poolCtx, call.member, m.Version, fence)) == Failed {
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
			queue.Offer(agentCall{member: byTarget[t]})
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// pause waits for retryPause. It reports false when ctx ends first.
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
