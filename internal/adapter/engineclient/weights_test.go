package engineclient_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/engineclient"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/standin/engine"
	"github.com/mimosalb/mimosalb/internal/standin/switcher"
	"github.com/mimosalb/mimosalb/internal/streamer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Guards against a failed weight switch that is reported as done, a switch whose response was lost that is reported as
// failed, and a call pinned to a version that gets tokens of another one.
func TestLoadAndPinnedVersions(t *testing.T) {
	clock := timer.NewSystem()
	defer clock.Close()
	standin := engine.NewEngine(clock)
	server := httptest.NewServer(standin.Handler())
	defer server.Close()
	e := engineclient.NewEngine(server.URL)
	ctx := context.Background()

	var out strings.Builder
	standin.Switches.Set(switcher.Switches{Swap: 1})
	fmt.Fprintf(&out, "failed switch to 2: reported %d\n", e.Load(ctx, 2, 0))
	fmt.Fprintf(&out, "again: reported %d\n", e.Load(ctx, 2, 0))
	standin.Switches.Set(switcher.Switches{Lose: 1})
	fmt.Fprintf(&out, "switch to 3 with a lost answer: reported %d\n", e.Load(ctx, 3, 0))
	standin.Switches.Set(switcher.Switches{Down: true})
	fmt.Fprintf(&out, "engine down: reported %d, last known %d\n", e.Load(ctx, 4, 0), e.Version())
	standin.Switches.Set(switcher.Switches{})
	for _, pin := range []identifier.Version{0, 2, 3} {
		tokens := 0
		call := executor.Call{Prompt: "p", Limit: 3, Version: pin}
		final := e.Run(ctx, identifier.Attempt{Request: "r"}, call, func(streamer.Piece) { tokens++ })
		fmt.Fprintf(&out, "pinned to %d: %d tokens, %v %s\n", pin, tokens, final.End, final.Reason)
	}
	goldie.New(t).Assert(t, "pins", []byte(out.String()))
}
