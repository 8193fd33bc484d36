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

// silent is a key-value service whose reads of several keys get no answer: their connection has gone silent.
type silent struct {
	*keyvalue.Service
	asked chan struct{}
}

func (s silent) Snapshot(ctx context.Context, _ string) ([]storer.Entry, int64, storer.Outcome) {
	select {
	case s.asked <- struct{}{}:
	default:
	}
	<-ctx.Done()
	return nil, 0, storer.Unavailable
}

// nothing decodes no key and takes every report.
type nothing struct{}

func (nothing) Operator(storer.Entry) (hoster.OperatorEntry, error) {
	return hoster.OperatorEntry{}, nil
}
func (nothing) Listing(storer.Entry) (registrar.Listing, error) { return registrar.Listing{}, nil }
func (nothing) Target(string) identifier.Target                 { return "" }
func (nothing) Report(context.Context, meter.Window, tallier.Counts, identifier.Node, identifier.Fence) tallier.Receipt {
	return tallier.Taken
}

// Guards against a controller that waits for ever on a connection that has gone silent and never takes the duty again.
func TestSilentStoreDoesNotHoldTheCampaign(t *testing.T) {
	c := qt.New(t)
	kv := silent{Service: keyvalue.NewService(timer.NewSystem()), asked: make(chan struct{}, 1)}
	kv.Write("/duty/control", []byte("1 other 1"))
	lines := logger.NewBoundedWriter(io.Discard)
	c.Cleanup(lines.Close)
	controller, err := hoster.StartController(
		hoster.Settings{Node: "c1", Window: time.Minute, Apply: time.Second, Drain: time.Second},
		hoster.Platform{KeyValue: kv, ReportReceiver: nothing{}, Decoder: nothing{}, OperatorPrefix: "op/", TargetPrefix: "targets/"},
		hoster.Observers{Log: logger.NewLogger("c1", "error", lines), Lines: lines, Metrics: exporter.NewHosted()},
	)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { controller.Stop(context.Background()) })
	<-kv.asked
	kv.Remove("/duty/control")
	ticks := time.NewTicker(20 * time.Millisecond)
	defer ticks.Stop()
	over := time.After(5 * time.Second)
	for {
		held, _ := kv.Get(t.Context(), "/duty/control")
		if strings.Contains(string(held.Value), "c1") {
			return
		}
		select {
		case <-ticks.C:
		case <-over:
			t.Fatal("the controller did not take the duty")
		}
	}
}
