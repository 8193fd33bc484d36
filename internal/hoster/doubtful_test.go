package hoster

import (
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/checker"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// findingDecoder decodes an entry as a plan, with a finding that names the value of the entry.
type findingDecoder struct{ keyDecoder }

func (findingDecoder) Operator(e storer.Entry) (OperatorEntry, error) {
	plan := navigator.NewPlan(identifier.Revision(e.Changed))
	return OperatorEntry{Plan: &plan, Findings: []checker.Finding{checker.New(checker.Warning, checker.Unused, string(e.Value), "no effect")}}, nil
}

// Guards against a plan with findings that is not adopted, and against findings that are not logged, or are logged again with each change.
func TestFindingsOfPlans(t *testing.T) {
	var out strings.Builder
	nav := &navigator.Navigator{}
	v := &operatorView{decoder: findingDecoder{}, navigator: nav, log: logger.NewLogger("e", "info", &out)}
	for i, value := range []string{"a", "a", "b"} {
		v.Apply(storer.Change{Entry: storer.Entry{Key: "config", Value: []byte(value), Changed: int64(i + 1)}})
	}
	goldie.New(t).Assert(t, "doubtful", regexp.MustCompile(`"@timestamp":"[^"]*",?`).ReplaceAll([]byte(out.String()), nil))
}
