package commander_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// Guards against an order that is lost by a configuration that is applied from a file, or given twice, for an unknown zone, on an old
// revision or beside another operator's edit without the operator being told, and against one that is said to be in force while the
// store is away.
func TestZoneCommands(t *testing.T) {
	tr := newTranscript(t, newServer(qt.New(t)))
	file := tr.file("config.yaml", strings.Replace(document, "teams:", "  - {name: beaufort, region: carolina}\nteams:", 1))
	run := func(lines ...string) {
		for _, line := range lines {
			tr.run(strings.Fields(line)...)
		}
	}
	run("zone list", "zone evacuate macon", "apply -f "+file, "zone list", "zone status macon", "zone status nowhere")
	run("zone evacuate macon", "zone evacuate macon", "zone evacuate nowhere", "zone evacuate beaufort --base 1", "zone evacuate beaufort --base x")
	run("apply -f "+file, "get", "zone evacuate beaufort --base 2", "zone list -o json")
	tr.server.store.beforeSwap = func() {
		tr.server.editor.Edit(t.Context(), 0, func(d configurator.Document) configurator.Document {
			return d.WithEvacuated(evacuator.NewZones("beaufort"))
		})
	}
	run("zone take-back beaufort", "zone list")
	tr.server.store.loseNextReply = true
	run("zone take-back beaufort")
	tr.server.store.down = storer.Unavailable
	run("zone evacuate macon")
	tr.server.store.down = 0
	run("zone take-back beaufort", "zone take-back nowhere", "zone list")
	tr.assert(t)
}
