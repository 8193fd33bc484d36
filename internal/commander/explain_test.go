package commander_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/commander"
)

// Guards against a story that misses a line, holds another identity's, or is not in order of time across files.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	first, second := filepath.Join(folder, "first.log"), filepath.Join(folder, "second.log")
	c.Assert(os.WriteFile(first, []byte(`
-9.1 entry-1 {"@level":"info","@message":"process started","@module":"entry-1","@timestamp":"2026-06-04T04:41:39.008539Z","event":"E1001"}
{"@level":"info","@message":"attempt of an item ended","@module":"entry-1","@timestamp":"2026-06-04T04:41:50.5Z","event":"E1520","item":"i1","job":"j1","end":"broken","took":400000000,"target":"t1"}
{"@level":"info","@message":"attempt of an item ended","@module":"entry-1","@timestamp":"2026-06-04T04:41:50.6Z","event":"E1520","item":"i10","job":"j1","end":"whole"}
{"@level":"info","@message":"half a line of i1","@module":"entry-1"
no line of the system names i1
`), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(second, []byte(
		`{"@level":"info","@message":"attempt of an item ended","@module":"entry-2","@timestamp":"2026-06-04T04:41:50.2Z","event":"E1520","item":"i1","job":"j1","end":"refused","window":356109710}
`), 0o600), qt.IsNil)
	var out, errOut bytes.Buffer
	for _, id := range []string{"i1", "356109710", "j1", "nothing"} {
		out.WriteString("# " + id + "\n")
		code := commander.Run(t.Context(), []string{"explain", id, first, second}, &out, &errOut)
		c.Assert(code, qt.Equals, commander.Done, qt.Commentf("%s", &errOut))
	}
	goldie.New(t).Assert(t, "explain", out.Bytes())
	c.Assert(commander.Run(t.Context(), []string{"explain", "i1", folder + "/none.log"}, &out, &errOut), qt.Equals, commander.BadInput)
}
