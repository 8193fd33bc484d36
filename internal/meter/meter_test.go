package meter_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/meter"
)

// Guards against a record that two recoverers both count. The second one requests it from the meter that the first one
// has already taken it over from.
func TestRecordHasOneOwner(t *testing.T) {
	c := qt.New(t)
	buffer := &meter.RecordBuffer{}
	a := identifier.Attempt{Request: "r"}
	buffer.Add(meter.Record{Attempt: a, First: "gone", Owner: "gone"})
	want := []meter.RecordRequest{{Attempt: a, From: "gone"}}
	c.Assert(buffer.Answer(meter.Query{Owner: "one", Want: want}).Records, qt.HasLen, 1)
	c.Assert(buffer.Answer(meter.Query{Owner: "two", Want: want}).Records, qt.HasLen, 0)
	c.Assert(buffer.Answer(meter.Query{Owner: "one", Want: want}).Records, qt.HasLen, 1)
	c.Assert(buffer.Answer(meter.Query{Owner: "two", Of: "gone"}).Records, qt.HasLen, 1)
}
