package logger_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/logger"
)

// Guards against an event that docs/events.md lacks or describes differently.
func TestCatalogueListsEveryEvent(t *testing.T) {
	c := qt.New(t)
	catalogue, err := os.ReadFile("../../docs/events.md")
	c.Assert(err, qt.IsNil)
	var rows strings.Builder
	last := 0
	for _, e := range logger.Events() {
		c.Assert(e.Number > last, qt.IsTrue, qt.Commentf("E%04d is out of order", e.Number))
		last = e.Number
		fmt.Fprintf(&rows, "| E%04d | %s | %s | %s |\n", e.Number, e.Level, e.Text, e.Action)
	}
	c.Assert(strings.Contains(string(catalogue), rows.String()), qt.IsTrue, qt.Commentf("want these rows:\n%s", &rows))
}

// Guards against a log line without the number of its event.
func TestEmitWritesTheEventNumber(t *testing.T) {
	var out strings.Builder
	logger.NewLogger("entry-1", "info", &out).Emit(logger.ConfigAdopted, "revision", 3)
	line := out.String()
	start := strings.Index(line, `"@timestamp"`)
	end := start + strings.Index(line[start:], ",") + 1
	goldie.New(t).Assert(t, "line", []byte(line[:start]+line[end:]))
}
