package hoster_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/exporter"
	"github.com/mimosalb/mimosalb/internal/hoster"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/standin/keyvalue"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/tallier"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// silentStore is a key-value service whose snapshots never get an answer, as on a connection that was lost without
// being closed.
type silentStore struct {
	*keyvalue.Service
	snapshots chan struct{}
}

func (s silentStore) Snapshot(ctx context.Context, _ string) ([]storer.Entry, int64, storer.Outcome) {
	select {
	case s.snapshots <- struct{}{}:
	default:
	}
	<-ctx.Done()
	return nil, 0, storer.Unavailable
}

// stubAdapter decodes every entry as empty and accepts every report.
type stubAdapter struct{}

func (stubAdapter) Operator(storer.Entry) (hoster.OperatorEntry, error) {
	return hoster.OperatorEntry{}, nil
}

func (stubAdapter) Listing(storer.Entry) (registrar.Listing, error) { return registrar.Listing{}, nil }
func (stubAdapter) Target(string) identifier.Target                 { return "" }
func (stubAdapter) EvacuatedZone(string) identifier.Zone            { return "" }
func (stubAdapter) Report(context.Context, meter.Window, tallier.Counts, identifier.Node, identifier.Fence) tallier.Receipt {
	return tallier.Accepted
}

// Guards against a controller that waits forever for a snapshot on a silent connection and never acquires a duty that
// has become free.
func TestSilentStoreDoesNotHoldTheCampaign(t *testing.T) {
	c := qt.New(t)
	kv := silentStore{Service: keyvalue.NewService(timer.NewSystem()), snapshots: make(chan struct{}, 1)}
	kv.Write("/duty/control", []byte("1 other 1"))
	lines := logger.NewBoundedWriter(io.Discard)
	c.Cleanup(lines.Close)
	controller, err := hoster.StartController(
		hoster.Settings{Node: "c1", Window: time.Minute, Apply: time.Second, Drain: time.Second},
		hoster.Platform{KeyValue: kv, ReportReceiver: stubAdapter{}, Decoder: stubAdapter{}, OperatorPrefix: "op/", TargetPrefix: "targets/"},
		hoster.Observers{Log: logger.NewLogger("c1", "error", lines), Lines: lines, Metrics: exporter.NewHosted()},
	)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { controller.Stop(context.Background()) })
	<-kv.snapshots
	kv.Remove("/duty/control")
	ticks := time.NewTicker(20 * time.Millisecond)
	defer ticks.Stop()
	deadline := time.After(5 * time.Second)
	for {
		held, _ := kv.Get(t.Context(), "/duty/control")
		if strings.Contains(string(held.Value), "c1") {
			return
		}
		select {
		case <-ticks.C:
		case <-deadline:
			t.Fatal("the controller did not acquire the duty within 5 seconds of its release")
		}
	}
}
