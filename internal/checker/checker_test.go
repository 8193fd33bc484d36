package checker_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/checker"
)

// Guards against a finding whose text lacks its severity, path, other place or kind, against a change of a finding that another one is
// derived from, and against log lines without bound.
func TestFindings(t *testing.T) {
	var out strings.Builder
	first := checker.New(checker.Warning, checker.Covered, "teams[1]", "listed twice")
	second := first.WithOther("teams[0]").WithLines(func(path string) int { return len(path) })
	for _, f := range []checker.Finding{{}, first, second, {Kind: -1, Severity: 9}} {
		fmt.Fprintln(&out, f, f.Place.Line, f.Other.Line)
	}
	all := make([]checker.Finding, 500)
	qt.Assert(t, checker.Texts(append(all, first)), qt.HasLen, 10)
	qt.Assert(t, checker.Of(append(all, first), checker.Warning), qt.DeepEquals, []checker.Finding{first})
	goldie.New(t).Assert(t, "findings", []byte(out.String()))
}
