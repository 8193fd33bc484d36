package commander_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/commander"
)

// Guards against output of explain that misses a line about the ID, includes a line about another ID of which it is a
// prefix, or is not in order of time across files.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	first, second := "testdata/explain-first.log", "testdata/explain-second.log"
	var out, errOut bytes.Buffer
	for _, id := range []string{"i1", "356109710", "j1", "nothing"} {
		out.WriteString("# " + id + "\n")
		code := commander.Run(t.Context(), []string{"explain", id, first, second}, &out, &errOut)
		c.Assert(code, qt.Equals, commander.Done, qt.Commentf("%s", &errOut))
	}
	goldie.New(t).Assert(t, "explain", out.Bytes())
	c.Assert(commander.Run(t.Context(), []string{"explain", "i1", "testdata/none.log"}, &out, &errOut), qt.Equals, commander.BadInput)
}
