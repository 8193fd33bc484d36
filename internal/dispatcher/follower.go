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
	// settleTries bounds the questions to an agent that does not answer.
	settleTries = 5
	// settlePause is the wait between two questions; a replaced connection needs about that long.
	settlePause = 200 * time.Millisecond
	// cancelTimeout bounds the message that stops an abandoned attempt.
	cancelTimeout = time.Second
)

// follower follows the answer of one attempt at its agent.
type follower struct {
	agents  Agents
	clock   timer.Service
	target  router.Target
	attempt identifier.Attempt
	job     *job
	// read counts the pieces of this attempt that are in the answer.
	read int
}

// follow starts the attempt and relays its answer until it ends or nothing more can be learnt about it.
func (f *follower) follow(ctx context.Context, s Start) (retrier.Event, streamer.Final) {
	verdict, delivery := f.agents.Start(ctx, f.target, s)
	switch delivery {
	case Unsent:
		return retrier.NotSent, streamer.Final{}
	case Unclear:
		if event, ended := f.settle(ctx); ended {
			return event, streamer.Final{}
		}
	case Delivered:
		if event, ended := refusal(verdict); ended {
			return event, streamer.Final{}
		}
	}
	return f.relay(ctx)
}

// refusal maps a verdict to the event that it means, unless the attempt runs.
func refusal(v gatekeeper.Verdict) (retrier.Event, bool) {
	switch v {
	case gatekeeper.Admitted, gatekeeper.Repeated:
		return 0, false
	default:
		return retrier.Refused, true
	}
}

// relay copies pieces to the answer until the final record has come and every piece before it.
func (f *follower) relay(ctx context.Context) (retrier.Event, streamer.Final) {
	for {
		if ctx.Err() != nil {
			return f.abandon(ctx), streamer.Final{}
		}
		chunk, known, delivery := f.agents.Read(ctx, f.target, f.attempt, f.read)
		switch {
		case ctx.Err() != nil:
			return f.abandon(ctx), streamer.Final{}
		case delivery != Delivered:
			if event, ended := f.settle(ctx); ended {
				return event, streamer.Final{}
			}
			continue
		case !known:
			return retrier.Gone, streamer.Final{}
		}
		f.deliver(chunk.Pieces)
		if chunk.Done() && chunk.Final.Pieces == f.read {
			return event(chunk.Final.End), f.whole(chunk.Final)
		}
	}
}

func (f *follower) deliver(pieces []streamer.Piece) {
	for _, p := range pieces {
		f.read++
		p.Target, p.Incarnation = f.target.ID, f.target.Incarnation
		if !f.job.answer.Append(p) {
			continue
		}
		f.job.tokens += p.Tokens
		if f.job.resumable() {
			f.job.text = append(f.job.text, p.Data...)
		}
	}
}

// whole corrects the counts of a resumed answer: tokens of earlier attempts were the prompt of the last one.
func (f *follower) whole(final streamer.Final) streamer.Final {
	final.Prompt -= f.job.tokens - final.Tokens
	return final
}

func event(end streamer.End) retrier.Event {
	switch end {
	case streamer.Complete:
		return retrier.Completed
	case streamer.Crashed:
		return retrier.Crashed
	case streamer.Cancelled:
		return retrier.Abandoned
	default:
		return retrier.Failed
	}
}

// settle asks the agent about an attempt whose message was lost. The second result is false when the attempt goes on.
func (f *follower) settle(ctx context.Context) (retrier.Event, bool) {
	for range settleTries {
		settlement, delivery := f.agents.Settle(ctx, f.target, f.attempt)
		if delivery == Delivered {
			switch settlement {
			case gatekeeper.Running, gatekeeper.Ran:
				return 0, false
			case gatekeeper.NeverRuns:
				return retrier.Refused, true
			default:
				return retrier.Gone, true
			}
		}
		pause := f.clock.After(settlePause)
		select {
		case <-pause.C():
		case <-ctx.Done():
			pause.Stop()
			return f.abandon(ctx), true
		}
	}
	return retrier.Gone, true
}

// abandon stops the attempt at the target, unless the request may not be repeated: then it runs to its end, so that a
// second submission with the same idempotency key finds the outcome.
func (f *follower) abandon(ctx context.Context) retrier.Event {
	if !f.job.request.Service.Once {
		ctx, cancel := timer.WithTimeout(context.WithoutCancel(ctx), f.clock, cancelTimeout)
		defer cancel()
		f.agents.Cancel(ctx, f.target, f.attempt)
	}
	return retrier.Abandoned
}
