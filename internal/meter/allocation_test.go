//go:build !lockcheck

package meter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/meter"
)

// The lock order check allocates, so this test is excluded from builds with it.

// Guards against an allocation for each request on the counting path. Receipts are kept in a slice that grows by
// doubling, so the mean over many requests is below one; AllocsPerRun rounds it down.
func TestCountDoesNotAllocate(t *testing.T) {
	m := meter.NewMeter("entry.1", meter.Calendar{})
	now := time.Unix(1000, 0)
	f := meter.Figures{Requests: 1, Input: 3}
	r := meter.Receipt{Attempt: identifier.Attempt{Request: "r"}, Agent: "agent"}
	qt.Assert(t, testing.AllocsPerRun(10000, func() { m.Count(now, "routing", f, r) }), qt.Equals, 0.0)
}
