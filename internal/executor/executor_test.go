package executor_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/gatekeeper"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// promptTarget answers every call at once.
type promptTarget struct{}

func (promptTarget) Run(context.Context, identifier.Attempt, executor.Call, func(streamer.Piece)) streamer.Final {
	return streamer.Final{}.WithEnd(streamer.Complete, "")
}

// hookClock calls a function before each reading of the wall clock.
type hookClock struct {
	timer.Manual

	hook func()
}

func (h *hookClock) Now() time.Time {
	if h.hook != nil {
		h.hook()
	}
	return h.Manual.Now()
}

// Guards against an agent at its limit that refuses the next attempt of an entry that has read the whole answer of the
// last one. Four such refusals in a row are answered to the caller as targets-busy.
func TestReadAnswerHasFreedItsSlot(t *testing.T) {
	c := qt.New(t)
	const incarnation = 1
	offer := func(request identifier.Request) gatekeeper.Offer {
		return gatekeeper.Offer{Attempt: identifier.Attempt{Request: request}, Incarnation: incarnation, Issued: time.Unix(0, 0)}
	}
	gate := gatekeeper.NewGatekeeper(incarnation, gatekeeper.WithConcurrency(1))
	clock := &hookClock{}
	verdicts := make(chan gatekeeper.Verdict, 1)
	offered := false
	clock.hook = func() {
		// The executor reads the clock between the final record and the end of the attempt in the ledger.
		stream, ok := gate.Stream(offer("first").Attempt)
		if !ok || offered {
			return
		}
		if chunk, _ := stream.Read(0); chunk.Done() {
			offered = true
			v, _ := gate.Admit(offer("second"), time.Unix(0, 0))
			verdicts <- v
		}
	}
	e := executor.NewExecutor(gate, promptTarget{}, clock, 1)
	defer e.Close()
	c.Assert(e.Start(t.Context(), offer("first"), executor.Call{}, time.Minute), qt.Equals, gatekeeper.Admitted)
	c.Assert(<-verdicts, qt.Equals, gatekeeper.Admitted)
}
