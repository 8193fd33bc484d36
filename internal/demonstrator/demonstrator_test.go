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

// times matches the durations of a table and the head of their column, whose widths differ from run to run, with the
// space before the next column.
var times = regexp.MustCompile(`([0-9.]+(ms|s)\b|TIME) *`)

// Guards against a broken promise on the whole path from caller to back end.
func TestMainJob(t *testing.T) {
	c := qt.New(t)
	var out strings.Builder
	c.Assert(demonstrator.Run(context.Background(), &out, io.Discard), qt.IsNil, qt.Commentf("%s", &out))
	goldie.New(t).Assert(t, "table", []byte(times.ReplaceAllString(out.String(), "TIME ")))
}
