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
	"github.com/mimosalb/mimosalb/internal/reporter"
	"github.com/mimosalb/mimosalb/internal/standin/platform"
	"github.com/mimosalb/mimosalb/internal/standin/switcher"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Guards against a report that is sent after its term, a report with an outdated fencing number that is accepted, and a
// lost response that is reported as a refusal. The last column is the number of reports that the platform holds.
func TestSendOutcomes(t *testing.T) {
	clock := timer.NewSystem()
	defer clock.Close()
	p := platform.NewPlatform()
	p.Fenced = true
	server := httptest.NewServer(p.Handler())
	client := platformclient.NewClient(server.URL, clock)
	names := map[reporter.Outcome]string{
		reporter.Accepted: "accepted", reporter.Refused: "refused", reporter.Lost: "lost", reporter.Unsent: "unsent",
	}
	var out strings.Builder
	send := func(name string, fence identifier.Fence, remaining time.Duration) {
		outcome := client.Send(context.Background(), []byte(`{"id":"a","figures":{}}`), fence, clock.Monotonic()+remaining)
		fmt.Fprintf(&out, "%s: %s, %d\n", name, names[outcome], len(p.Reports()))
	}
	send("in the term", 5, time.Minute)
	send("old number", 4, time.Minute)
	send("after the term", 5, -time.Millisecond)
	p.Switches.Set(switcher.Switches{Lose: 1})
	send("answer lost", 5, time.Minute)
	p.Switches.Set(switcher.Switches{Down: true})
	send("platform down", 5, time.Minute)
	server.Close()
	send("no connection", 5, time.Minute)
	goldie.New(t).Assert(t, "outcomes", []byte(out.String()))
}
