package dispatcher

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/gatekeeper"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/retrier"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/streamer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// settlePause is the wait between two questions to an agent; a replaced connection needs about that long.
	settlePause = 200 * time.Millisecond
	// cancelTimeout bounds the message that stops an abandoned attempt.
	cancelTimeout = time.Second
)

// follower follows one attempt at its agent and tells how it stands. What follows from that is the retrier's decision.
type follower struct {
	agents  Agents
	clock   timer.Service
	target  router.Target
	attempt identifier.Attempt
	issued  time.Time
	once    bool
	// settles counts the questions about the attempt since its agent last answered.
	settles int
	// read counts the pieces of this attempt that were taken.
	read int
}

// offer sends the attempt to its agent.
func (f *follower) offer(ctx context.Context, s Start) retrier.Event {
	verdict, delivery := f.agents.Start(ctx, f.target, s)
	switch {
	case delivery == Unsent:
		return retrier.NotSent
	case delivery != Delivered:
		return f.lost(ctx)
	case verdict == gatekeeper.Admitted, verdict == gatekeeper.Repeated:
		return retrier.Running
	case verdict == gatekeeper.Draining:
		return retrier.Draining
	default:
		return retrier.Refused
	}
}

// pursue follows an open attempt until it ends or take returns true, which leaves it running. take gets the chunks.
func (f *follower) pursue(ctx context.Context, event retrier.Event, take func(streamer.Chunk) bool) (retrier.Event, streamer.Final) {
	for {
		step, ended := retrier.DecideOpen(f.settles, event)
		switch step {
		case retrier.Settle:
			event = f.settle(ctx)
			continue
		case retrier.Follow:
		default:
			return ended, streamer.Final{}
		}
		var chunk streamer.Chunk
		if chunk, event = f.next(ctx); event != retrier.Running {
			continue
		}
		if len(chunk.Pieces) > 0 && take(chunk) {
			return retrier.Running, streamer.Final{}
		}
		if chunk.Done() {
			return f.end(chunk.Final)
		}
	}
}

// next waits for pieces that were not taken yet.
func (f *follower) next(ctx context.Context) (streamer.Chunk, retrier.Event) {
	chunk, known, delivery := f.agents.Read(ctx, f.target, f.attempt, f.read)
	switch {
	case delivery != Delivered || ctx.Err() != nil:
		return chunk, f.lost(ctx)
	case !known:
		return chunk, retrier.Gone
	default:
		f.settles = 0
		for i := range chunk.Pieces {
			chunk.Pieces[i].Target, chunk.Pieces[i].Incarnation = f.target.ID, f.target.Incarnation
		}
		return chunk, retrier.Running
	}
}

// end maps the final record. An answer of which pieces are missing is not whole, whatever its record says.
func (f *follower) end(final streamer.Final) (retrier.Event, streamer.Final) {
	if final.Pieces != f.read {
		return retrier.Failed, final
	}
	switch final.End {
	case streamer.Complete:
		return retrier.Completed, final
	case streamer.Crashed:
		return retrier.Crashed, final
	case streamer.Cancelled:
		return retrier.Stopped, final
	case streamer.Moved:
		return retrier.Moved, final
	case streamer.Unreached:
		return retrier.Unreached, final
	case streamer.Unheard:
		return retrier.Gone, final
	default:
		return retrier.Failed, final
	}
}

// settle asks the agent about an attempt after a lost reply.
func (f *follower) settle(ctx context.Context) retrier.Event {
	if f.settles > 0 {
		if !f.pause(ctx) {
			return f.lost(ctx)
		}
	}
	f.settles++
	settlement, delivery := f.agents.Settle(ctx, f.target, f.attempt, f.issued)
	switch {
	case delivery != Delivered || ctx.Err() != nil:
		return f.lost(ctx)
	case settlement == gatekeeper.Running, settlement == gatekeeper.Ran:
		return retrier.Running
	case settlement == gatekeeper.NeverRuns:
		return retrier.Refused
	default:
		return retrier.Gone
	}
}

func (f *follower) pause(ctx context.Context) bool {
	pause := f.clock.After(settlePause)
	defer pause.Stop()
	select {
	case <-pause.C():
		return true
	case <-ctx.Done():
		return false
	}
}

// lost tells apart a reply that did not come and one that is not waited for any more. An attempt that nobody waits for
// is stopped, unless it may not be repeated: then it runs to its end, so that a second submission with the same
// idempotency key finds the outcome.
func (f *follower) lost(ctx context.Context) retrier.Event {
	if ctx.Err() == nil {
		return retrier.Lost
	}
	if !f.once {
		ctx, cancel := timer.WithTimeout(context.WithoutCancel(ctx), f.clock, cancelTimeout)
		defer cancel()
		f.agents.Cancel(ctx, f.target, f.attempt)
	}
	return retrier.Abandoned
}
