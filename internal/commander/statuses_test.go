package commander_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/commander"
	"github.com/mimosalb/mimosalb/internal/standin/switcher"
)

// Guards against an answer of an entry with an invalid status that is taken for a success, that makes a change look as if it had not been
// sent, or that is told as a server that can't be reached.
func TestInvalidStatuses(t *testing.T) {
	c := qt.New(t)
	entry := &switcher.Switcher{}
	faulty := httptest.NewServer(entry.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	defer faulty.Close()
	tr := newTranscript(t, &server{address: faulty.URL})
	commands := 0
	for _, status := range []string{"000", "042", "101", "199", "600", "999"} {
		entry.Set(switcher.Switches{Status: status})
		for _, k := range []struct {
			code commander.Code
			args []string
		}{
			{commander.Unavailable, []string{"get"}},
			{commander.Unavailable, []string{"status"}},
			{commander.Unknown, []string{"preset", "switch", "peak"}},
			{commander.Unknown, []string{"key", "create", "--team", "routing", "driver"}},
			{commander.Unknown, []string{"zone", "evacuate", "macon"}},
		} {
			commands++
			c.Check(tr.runWith([]string{"--address", faulty.URL}, k.args...), qt.Equals, k.code, qt.Commentf("%s %v", status, k.args))
		}
	}
	tr.assert(t)
	c.Check(entry.Endings().Kept, qt.Equals, 0)
	c.Check(entry.Endings().Closed >= commands-1, qt.IsTrue) // the last one may still be counted
}
