package rpcserver_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/engineclient"
	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcserver"
	"github.com/mimosalb/mimosalb/internal/gatekeeper"
	"github.com/mimosalb/mimosalb/internal/orderer"
	"github.com/mimosalb/mimosalb/internal/standin/engine"
	"github.com/mimosalb/mimosalb/internal/standin/switcher"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Guards against an order with an old fencing number that is executed, whether or not the engine checks the number, and
// against an engine failure that is reported as success.
func TestTargetRefusesStaleFences(t *testing.T) {
	clock := timer.NewSystem()
	defer clock.Close()
	names := map[orderer.Outcome]string{
		orderer.Accepted: "accepted", orderer.Rejected: "rejected", orderer.Stale: "stale", orderer.Lost: "lost",
	}
	var out strings.Builder
	for _, unfenced := range []bool{false, true} {
		var opts []engine.Option
		if unfenced {
			opts = append(opts, engine.WithUnfenced())
		}
		eng := engine.NewEngine(clock, opts...)
		server := httptest.NewServer(eng.Handler())
		defer server.Close()
		target := rpcserver.NewTarget(gatekeeper.NewGatekeeper(1), engineclient.NewEngine(server.URL), clock)
		apply := func(o orderer.EngineOrder) {
			var reply messenger.EngineReply
			_ = target.Engine(messenger.EngineRequest{Envelope: messenger.NewEnvelope(context.Background(), "x"), Order: o}, &reply)
			adapters, role := eng.AdaptersAndRole()
			fmt.Fprintf(&out, "%s %d: %s; version %d, adapters %v, role %q\n", o.Kind, o.Fence, names[reply.Outcome], eng.Version(), adapters, role)
		}
		drain := func(request messenger.DrainRequest) {
			var reply messenger.DrainReply
			_ = target.Drain(request, &reply)
			fmt.Fprintf(&out, "drain %d: stale %v, idle %v\n", request.Fence, reply.Stale, reply.Idle)
		}
		fmt.Fprintf(&out, "# engine ignores numbers: %v\n", unfenced)
		apply(orderer.EngineOrder{Kind: orderer.LoadVersion, Version: 7, Fence: 3})
		apply(orderer.EngineOrder{Kind: orderer.LoadVersion, Version: 6, Fence: 2})
		apply(orderer.EngineOrder{Kind: orderer.LoadAdapter, Name: "blankets", Fence: 3})
		apply(orderer.EngineOrder{Kind: orderer.LoadAdapter, Name: "blankets", Fence: 3})
		apply(orderer.EngineOrder{Kind: orderer.ChangeRole, Name: "decode", Fence: 4})
		apply(orderer.EngineOrder{Kind: orderer.ChangeRole, Name: "prefill", Fence: 3})
		eng.Switches.Set(switcher.Switches{Swap: 1})
		apply(orderer.EngineOrder{Kind: orderer.LoadVersion, Version: 8, Fence: 4})
		drain(messenger.DrainRequest{Fence: 3})
		drain(messenger.DrainRequest{Operator: true})
		drain(messenger.DrainRequest{Fence: 5})
	}
	goldie.New(t).Assert(t, "target", []byte(out.String()))
}
