package runner

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/engineclient"
	"github.com/mimosalb/mimosalb/internal/adapter/exporter"
	"github.com/mimosalb/mimosalb/internal/adapter/kvclient"
	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/streamer"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/updater"
)

// Guards against answers of engines, services, the key-value service and the platform whose status the protocol does not allow and
// that are passed on, taken for a refusal, or logged without their value.
func TestInvalidStatuses(t *testing.T) {
	var line string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		fmt.Fprintf(conn, "HTTP/1.1 %s Status\r\nContent-Length: 2\r\n\r\n{}", line)
		_ = conn.Close()
	}))
	defer server.Close()
	var log, out strings.Builder
	metrics := exporter.NewAgent()
	report := reportStatuses(logger.NewLogger("test", "warn", &log), metrics, "d")
	final := func(run func(context.Context, identifier.Attempt, executor.Call, func(streamer.Piece)) streamer.Final) string {
		f := run(t.Context(), identifier.Attempt{}, executor.Call{Method: "POST", Path: "/x"}, func(streamer.Piece) {})
		return fmt.Sprint(f.End, " ", f.Reason, " ", f.Status)
	}
	calls := []func(context.Context) string{
		func(context.Context) string {
			return "service " + final(engineclient.NewService(server.URL, report).Run)
		},
		func(context.Context) string {
			return "engine " + final(engineclient.NewEngine(server.URL, report).Run)
		},
		func(ctx context.Context) string {
			_, ok := engineclient.NewOrigin(server.URL, report).Chunk(ctx, updater.Manifest{Chunk: 2}, 0)
			return fmt.Sprint("weights ", ok)
		},
		func(ctx context.Context) string {
			return "store " + kvclient.NewDriver(server.URL, report).Commit(ctx, storer.Transaction{}).String()
		},
		func(ctx context.Context) string {
			_, err := platformclient.NewClient(server.URL, timer.NewSystem(), report).VMs(ctx)
			return fmt.Sprint("platform ", err != nil)
		},
	}
	for _, line = range []string{"000", "042", "101", "199", "600", "999", "404"} {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		fmt.Fprint(&out, line)
		for _, call := range calls {
			log.Reset()
			fmt.Fprint(&out, " | ", call(ctx), ", logged ", strings.Contains(log.String(), `"status":`+strings.TrimLeft(line, "0")))
		}
		out.WriteString("\n")
		cancel()
	}
	families, err := metrics.Gatherer().Gather()
	qt.Assert(t, err, qt.IsNil)
	for _, f := range families {
		if strings.Contains(f.GetName(), "invalid_statuses") {
			fmt.Fprintln(&out, "counted", f.GetMetric()[0].GetCounter().GetValue())
		}
	}
	goldie.New(t).Assert(t, "statuses", []byte(out.String()))
}
