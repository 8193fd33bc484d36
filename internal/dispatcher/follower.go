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
	// settleInterval is the wait between two Settle calls to an agent; replacing a broken connection takes about as long.
	settleInterval = 200 * time.Millisecond
	// cancelTimeout bounds the Cancel call that stops an abandoned attempt.
	cancelTimeout = time.Second
)

// follower follows one attempt at its agent and reports its state as retrier events. Package retrier decides the next
// step.
type follower struct {
	agents  Agents
	clock   timer.Service
	target  router.Target
	attempt identifier.Attempt
	issued  time.Time
	once    bool
	// settleCalls counts the Settle calls since the last successful Read.
	settleCalls int
	// read counts the pieces of this attempt that were received.
	read int
}

// offer sends the attempt to its agent and maps the agent's verdict to an event.
func (f *follower) offer(ctx context.Context, s Start) retrier.Event {
	verdict, delivery := f.agents.Start(ctx, f.target, s)
	switch {
	case delivery == Unsent:
		return retrier.Unsent
	case delivery != Delivered:
		return f.lostOrAbandoned(ctx)
	case verdict == gatekeeper.Admitted, verdict == gatekeeper.Repeated:
		return retrier.Running
	case verdict == gatekeeper.Draining:
		return retrier.Draining
	default:
		return retrier.Refused
	}
}

// follow reads the answer of an open attempt and passes each chunk with pieces to take. It returns when the attempt has
// ended, or with the event Running when take returns true.
func (f *follower) follow(ctx context.Context, event retrier.Event, take func(streamer.Chunk) bool) (retrier.Event, streamer.Final) {
	for {
		step, ended := retrier.DecideOpen(f.settleCalls, event)
		switch step {
		case retrier.Settle:
			event = f.settle(ctx)
			continue
		case retrier.Follow:
		default:
			return ended, streamer.Final{}
		}
		var chunk streamer.Chunk
		if chunk, event = f.nextChunk(ctx); event != retrier.Running {
			continue
		}
		if len(chunk.Pieces) > 0 && take(chunk) {
			return retrier.Running, streamer.Final{}
		}
		if chunk.Done() {
			return f.finalEvent(chunk.Final)
		}
	}
}

// nextChunk waits for the next pieces of the answer or its final record.
func (f *follower) nextChunk(ctx context.Context) (streamer.Chunk, retrier.Event) {
	chunk, known, delivery := f.agents.Read(ctx, f.target, f.attempt, f.read)
	switch {
	case delivery != Delivered || ctx.Err() != nil:
		return chunk, f.lostOrAbandoned(ctx)
	case !known:
		return chunk, retrier.Unknown
	default:
		f.settleCalls = 0
		for i := range chunk.Pieces {
			chunk.Pieces[i].Target, chunk.Pieces[i].Incarnation = f.target.ID, f.target.Incarnation
		}
		return chunk, retrier.Running
	}
}

// finalEvent maps a final record to an event. An answer with missing pieces is Failed, whatever its record says.
func (f *follower) finalEvent(final streamer.Final) (retrier.Event, streamer.Final) {
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
	case streamer.PlannedStop:
		return retrier.PlannedStop, final
	case streamer.Unreached:
		return retrier.Unreached, final
	case streamer.NoAnswer:
		return retrier.Unknown, final
	case streamer.Invalid:
		return retrier.Invalid, final
	default:
		return retrier.Failed, final
	}
}

// settle asks the agent for the state of the attempt after a lost reply. It pauses before all but the first call.
func (f *follower) settle(ctx context.Context) retrier.Event {
	if f.settleCalls > 0 {
		if !f.pause(ctx) {
			return f.lostOrAbandoned(ctx)
		}
	}
	f.settleCalls++
	settlement, delivery := f.agents.Settle(ctx, f.target, f.attempt, f.issued)
	switch {
	case delivery != Delivered || ctx.Err() != nil:
		return f.lostOrAbandoned(ctx)
	case settlement == gatekeeper.Running, settlement == gatekeeper.Ran:
		return retrier.Running
	case settlement == gatekeeper.NeverRuns:
		return retrier.Refused
	default:
		return retrier.Unknown
	}
}

func (f *follower) pause(ctx context.Context) bool {
	pause := f.clock.After(settleInterval)
	defer pause.Stop()
	select {
	case <-pause.C():
		return true
	case <-ctx.Done():
		return false
	}
}

// lostOrAbandoned returns Lost for a reply that did not arrive, and Abandoned if ctx has ended. An abandoned attempt is
// cancelled, unless its call may not be repeated: then it runs to its end, so that a second submission with the same
// idempotency key gets the outcome.
func (f *follower) lostOrAbandoned(ctx context.Context) retrier.Event {
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
