package exporter_test

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/exporter"
	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/guarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// processMetrics returns the metrics of an entry, an agent and a hosted process that have each recorded one request or attempt.
func processMetrics() []prometheus.Gatherer {
	entry, agent := exporter.NewEntry(), exporter.NewAgent()
	oneTarget := func() map[identifier.Zone]int { return map[identifier.Zone]int{"macon": 1} }
	guarded := func() guarder.State { return guarder.State{Connections: 8, Held: 9, Cut: 10, Refused: 11} }
	entry.Observe(exporter.EntryState{
		Waiting: func() int { return 2 }, Revision: func() identifier.Revision { return 7 },
		Listed: oneTarget, Serving: oneTarget, Connections: func() int { return 3 }, Guarded: guarded,
		Evacuated: func() int { return 1 }, Stranded: func() int { return 2 }, Unserved: func() int { return 3 },
	})
	agent.Observe(exporter.AgentState{Load: func() (int, bool) { return 4, true }, Connections: func() int { return 5 }, Guarded: guarded})
	entry.Ended(dispatcher.EndedRequest{
		Request: dispatcher.Request{Service: configurator.Service{Name: "matcher"}, Identity: authenticator.Identity{Team: "routing"}},
		Result:  dispatcher.Result{Attempts: 2, RunState: dispatcher.HasRun, Took: time.Second, Queued: time.Millisecond},
	})
	agent.Ended(executor.EndedAttempt{Call: executor.Call{Service: "matcher"}, Final: streamer.Final{}.WithEnd(streamer.Crashed, "connection")})
	hosted := exporter.NewHosted()
	hosted.Observe(exporter.HostedState{
		Revision: func() identifier.Revision { return 7 }, Leading: func() int { return 2 }, Late: func() int { return 1 },
		Dropped: func() int64 { return 3 }, Omitted: func() int64 { return 4 }, Held: func() int { return 5 }, Limited: func() int { return 6 },
		Cold:     func() int { return 8 },
		Unusable: func() int64 { return 7 },
		Evacuation: func() exporter.EvacuationState {
			return exporter.EvacuationState{Zones: 8, Unknown: 9, Stranded: 10}
		},
		Relaying: func() bool { return true },
		Kinds:    func() int { return 8 }, Deviation: func() float64 { return 0.5 },
		Guarded: guarded,
	})
	hosted.Request("repeatable", "not-run", "targets refused", 20*time.Millisecond)
	hosted.Item("whole", time.Second)
	hosted.Call("store", "applied", 4*time.Millisecond)
	hosted.Relayed("asked", "applied")
	hosted.InvalidStatus("target")
	return []prometheus.Gatherer{entry.Gatherer(), agent.Gatherer(), hosted.Gatherer()}
}

// Guards against a metric that docs/metrics.md does not list, or lists with a different type, labels or help text.
func TestDocumentListsEveryMetric(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile("../../../docs/metrics.md")
	c.Assert(err, qt.IsNil)
	var rows strings.Builder
	for _, d := range exporter.Definitions() {
		fmt.Fprintf(&rows, "| `%s` | %s | %s | %s |\n", d.Name, d.Kind, d.Labels, d.Help)
	}
	_, listed, _ := strings.Cut(string(text), "| --- | --- | --- | --- |\n")
	c.Assert(listed, qt.Equals, rows.String())
}

// Guards against a defined metric that no process exports, and against an exported metric without a definition.
func TestProcessesExportDefinedMetrics(t *testing.T) {
	c := qt.New(t)
	exported := make(map[string]bool)
	var out strings.Builder
	for _, g := range processMetrics() {
		families, err := g.Gather()
		c.Assert(err, qt.IsNil)
		for _, f := range families {
			if !strings.HasPrefix(f.GetName(), "mimosalb_") {
				continue
			}
			exported[f.GetName()] = true
			for _, m := range f.GetMetric() {
				out.WriteString(f.GetName())
				for _, l := range m.GetLabel() {
					fmt.Fprintf(&out, " %s=%s", l.GetName(), l.GetValue())
				}
				fmt.Fprintf(&out, " counter=%v gauge=%v count=%v\n", m.GetCounter().GetValue(), m.GetGauge().GetValue(), m.GetHistogram().GetSampleCount())
			}
		}
	}
	namePattern := regexp.MustCompile(`^mimosalb(_[a-z]+){3,4}$`)
	for _, d := range exporter.Definitions() {
		c.Check(namePattern.MatchString(d.Name), qt.IsTrue, qt.Commentf(d.Name))
		// The response counter has a listener label, so it is exported only after the first counted response.
		if d.Name != "mimosalb_httpserver_responses_total" {
			c.Check(exported[d.Name], qt.IsTrue, qt.Commentf(d.Name))
		}
		delete(exported, d.Name)
	}
	c.Check(exported, qt.HasLen, 0)
	goldie.New(t).Assert(t, "values", []byte(out.String()))
}
