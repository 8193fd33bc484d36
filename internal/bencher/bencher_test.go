package bencher_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/bencher"
)

// Guards against a table that shows a missed target as met, for each kind of target: a wrong bound, or a bound applied to
// the value instead of the ratio, would hide a regression.
func TestTableShowsMissedTargets(t *testing.T) {
	figures := []bencher.Figure{
		{Name: "a/within", Unit: "ns", Value: 140, Baseline: 100, Target: bencher.AtMostRatio(1.5)},
		{Name: "a/over", Unit: "ns", Value: 160, Baseline: 100, Target: bencher.AtMostRatio(1.5)},
		{Name: "a/under", Unit: "req/s", Value: 90, Baseline: 100, Target: bencher.AtLeastRatio(0.95)},
		{Name: "a/value", Unit: "bytes/s", Value: 22000, Target: bencher.AtMost(21000)},
		{Name: "a/slope", Unit: "ns/node", Value: 3},
	}
	var out strings.Builder
	qt.Assert(t, bencher.WriteTable(&out, figures), qt.IsNil)
	goldie.New(t).Assert(t, "table", []byte(out.String()))
}
