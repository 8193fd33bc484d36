package jobpeer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/jobpeer"
	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/rationer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Guards against reads of results that break off because a report on the same connection meets a process of an earlier release, which does not
// know the method: the pattern is a rolling update while slots are short.
func TestUnknownMethodKeepsTheConnection(t *testing.T) {
	c := qt.New(t)
	address, stop := serve(t, "127.0.0.1:0", &handler{})
	defer stop()
	var dials atomic.Int64
	client := jobpeer.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		dials.Add(1)
		return dial(ctx, address)
	}, timer.NewSystem(), nil)
	for range 3 {
		c.Assert(client.ReportUsage(t.Context(), address, rationer.Report{From: "n"}), qt.IsFalse)
		c.Assert(client.NotifyLoad(t.Context(), address, conductor.LoadNotice{}), qt.IsFalse)
		_, led := client.Results(t.Context(), address, "led", 0, 0)
		c.Assert(led, qt.IsTrue)
	}
	c.Assert(dials.Load(), qt.Equals, int64(1))
}
