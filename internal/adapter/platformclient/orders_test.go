package platformclient_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/orderer"
	"github.com/mimosalb/mimosalb/internal/placer"
	"github.com/mimosalb/mimosalb/internal/standin/platform"
	"github.com/mimosalb/mimosalb/internal/standin/switcher"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Guards against a lost response or a platform failure that is reported as a rejected order, and against an order that
// starts a second target when it is sent again. The last columns are the result of the look-up by ID and the number of
// orders that the platform carried out.
func TestOrderOutcomes(t *testing.T) {
	clock := timer.NewSystem()
	defer clock.Close()
	vm := platform.VM{Role: "target", Zone: "macon", Region: "south", State: "stopped", Service: "matcher"}
	first, second := vm, vm
	first.Target, second.Target = "t1", "t2"
	p := platform.NewPlatform(first, second)
	p.Fenced = true
	server := httptest.NewServer(p.Handler())
	orders := platformclient.NewOrders(platformclient.NewClient(server.URL, clock), "south")
	names := map[orderer.Outcome]string{
		orderer.Accepted: "accepted", orderer.Rejected: "rejected", orderer.Stale: "stale", orderer.Lost: "lost", orderer.Unsent: "unsent",
	}
	var out strings.Builder
	send := func(name, id string, fence identifier.Fence, remaining time.Duration) {
		o := orderer.Order{ID: id, Kind: placer.Start, Service: "matcher", Zone: "macon"}
		target, outcome := orders.Order(context.Background(), o, fence, clock.Monotonic()+remaining)
		foundTarget, found, ok := orders.Find(context.Background(), id)
		fmt.Fprintf(&out, "%s: %s %q, found %v %q, answered %v, %d carried out\n", name, names[outcome], target, found, foundTarget, ok, len(p.Orders()))
	}
	send("first", "a", 2, time.Minute)
	send("again", "a", 2, time.Minute)
	send("old number", "b", 1, time.Minute)
	send("after the term", "b", 2, -time.Millisecond)
	p.Switches.Set(switcher.Switches{Lose: 1})
	send("answer lost", "c", 2, time.Minute)
	send("no target left", "d", 2, time.Minute)
	p.Switches.Set(switcher.Switches{Down: true})
	send("platform down", "e", 2, time.Minute)
	p.Switches.Set(switcher.Switches{})
	vms, ok := orders.List(context.Background())
	fmt.Fprintln(&out, vms, ok)
	server.Close()
	send("no connection", "e", 2, time.Minute)
	goldie.New(t).Assert(t, "orders", []byte(out.String()))
}
