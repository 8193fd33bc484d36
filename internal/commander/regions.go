package commander

import (
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// regionsFlag is the flag for the regions of a team or service. If it is not given, they are kept.
type regionsFlag struct {
	text  string
	given bool
}

func newRegionsFlag(clause *kingpin.CmdClause) *regionsFlag {
	f := &regionsFlag{}
	clause.Flag("regions", "Regions that may serve the requests, separated by commas; empty: all.").IsSetByUser(&f.given).StringVar(&f.text)
	return f
}

// apply returns the regions that the flag sets. Empty names are left out.
func (f *regionsFlag) apply(regions confiner.Regions) confiner.Regions {
	switch {
	case !f.given:
		return regions
	case f.text == "":
		return ""
	}
	var names []identifier.Region
	for name := range strings.SplitSeq(f.text, ",") {
		names = append(names, identifier.Region(name))
	}
	return confiner.NewRegions(names...)
}

// withRegionsColumn returns columns with one for the regions, if any row is restricted to some. Without restrictions listings are as before.
func withRegionsColumn[T any](columns []Column[T], rows []T, regions func(T) []identifier.Region) []Column[T] {
	if !slices.ContainsFunc(rows, func(r T) bool { return len(regions(r)) > 0 }) {
		return columns
	}
	return append(columns, Column[T]{"regions", func(r T) string { return confiner.NewRegions(regions(r)...).String() }})
}
