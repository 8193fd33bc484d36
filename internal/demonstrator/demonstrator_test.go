package demonstrator_test

import (
	"context"
	"io"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/demonstrator"
)

// durations matches the durations in the table, which differ between runs, and the heading of their column. It includes
// the spaces after them, because the longest duration sets the width of the column.
var durations = regexp.MustCompile(`([0-9.]+(ms|s)\b|TIME) *`)

// Guards against a failed step of the demo scenario, which covers the whole path from caller to back end.
func TestDemoScenario(t *testing.T) {
	c := qt.New(t)
	var out strings.Builder
	c.Assert(demonstrator.Run(context.Background(), &out, io.Discard), qt.IsNil, qt.Commentf("%s", &out))
	goldie.New(t).Assert(t, "table", []byte(durations.ReplaceAllString(out.String(), "TIME ")))
}
