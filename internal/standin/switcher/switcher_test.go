package switcher_test

import (
	"os"
	"reflect"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/standin/switcher"
)

// Guards against a list of failure switches in docs/standins.md that differs from the fields of Switches, because a switch
// was added or removed in one of them only.
func TestDocumentListsEverySwitch(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile("../../../docs/standins.md")
	c.Assert(err, qt.IsNil)
	rows := regexp.MustCompile("(?m)^\\| `(\\w+)` \\|").FindAllSubmatch(text, -1)
	listed := make([]string, 0, len(rows))
	for _, row := range rows {
		listed = append(listed, string(row[1]))
	}
	known := make([]string, 0, len(rows))
	for f := range reflect.TypeFor[switcher.Switches]().Fields() {
		known = append(known, f.Tag.Get("json"))
	}
	c.Assert(listed, qt.DeepEquals, known)
}
