// Package confiner decides in which regions the bodies of requests and batch jobs, and data derived from them, may be.
package confiner

import (
	"slices"
	"strings"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Regions is an immutable set of regions. The zero value is unrestricted and contains every region. A restricted set may be empty, as the
// intersection of two sets can be.
//
// Its text is the canonical form: each name in ascending order, with a separator before the first and after each. It is a string so that
// sets are compared with ==, and so that messages and stored values hold it without rules of their own.
type Regions string

// separator stands between the names of a set. A name that contains it is the name of no region.
const separator = "\n"

// NewRegions returns the set of the given regions. Without any it is unrestricted. Names that no region can have are left out, and
// restrict the set nevertheless.
func NewRegions(names ...identifier.Region) Regions {
	if len(names) == 0 {
		return ""
	}
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	var b strings.Builder
	b.WriteString(separator)
	for _, name := range slices.Compact(sorted) {
		if name != "" && !strings.Contains(string(name), separator) {
			b.WriteString(string(name) + separator)
		}
	}
	return Regions(b.String())
}

// Restricted reports whether the set excludes any region.
func (r Regions) Restricted() bool { return r != "" }

// Empty reports whether the set contains no region.
func (r Regions) Empty() bool { return r == separator }

// Allows reports whether the set contains a region. A restricted set contains no unknown region, whose name is empty.
func (r Regions) Allows(name identifier.Region) bool {
	if r == "" {
		return true
	}
	if name == "" {
		return false
	}
	for rest := string(r[1:]); rest != ""; {
		first, others, _ := strings.Cut(rest, separator)
		if first == string(name) {
			return true
		}
		rest = others
	}
	return false
}

// Intersect returns the set of the regions that both sets contain.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case r == other, !other.Restricted():
		return r
	case !r.Restricted():
		return other
	}
	both := slices.DeleteFunc(r.Names(), func(name identifier.Region) bool { return !other.Allows(name) })
	if len(both) == 0 {
		return separator
	}
	return NewRegions(both...)
}

// Names returns the regions of a restricted set in ascending order.
func (r Regions) Names() []identifier.Region {
	var names []identifier.Region
	for name := range strings.SplitSeq(strings.Trim(string(r), separator), separator) {
		if name != "" {
			names = append(names, identifier.Region(name))
		}
	}
	return names
}

// String returns the regions for logs.
func (r Regions) String() string {
	if !r.Restricted() {
		return "any"
	}
	names := r.Names()
	if len(names) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, string(name))
	}
	return strings.Join(parts, ",")
}
