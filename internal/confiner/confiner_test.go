package confiner_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Guards against an empty intersection that counts as no restriction, against names that are parts of others, and against a target of
// unknown region, or a scope of unknown home, that passes for an allowed one.
func TestScopes(t *testing.T) {
	a, ab, b := confiner.NewRegions("a"), confiner.NewRegions("b", "a", "b"), confiner.NewRegions("b")
	var out strings.Builder
	for _, s := range []confiner.Scope{
		{},
		confiner.NewScope("home", ""), confiner.NewScope("home", a), confiner.NewScope("", ab), confiner.NewScope("", a).With(b),
		confiner.NewScope("home", ab).With(b), confiner.NewScope("home", a).With(""), confiner.NewScope("", confiner.NewRegions("")),
		confiner.NewScope("", confiner.NewRegions("aa", "x\na")),
	} {
		fmt.Fprintf(&out, "%s home=%q restricted=%v\n", s.Regions, s.Home, s.Restricted())
		for _, r := range []identifier.Region{"a", "aa", "b", "home", ""} {
			fmt.Fprintf(&out, "  %q target=%v entry=%v\n", r, s.AllowsTarget(r), s.AllowsEntry(r))
		}
	}
	goldie.New(t).Assert(t, "scopes", []byte(out.String()))
}

// Guards against sets that differ though they contain the same regions, and against an intersection that allows what one of the sets does
// not.
func TestIntersections(t *testing.T) {
	names := rapid.SliceOf(rapid.SampledFrom([]identifier.Region{"a", "b", "ab", "c", ""}))
	rapid.Check(t, func(rt *rapid.T) {
		first, second := names.Draw(rt, "first"), names.Draw(rt, "second")
		r, other := confiner.NewRegions(first...), confiner.NewRegions(second...)
		slices.Reverse(first)
		if r.Intersect(other) != other.Intersect(r) || confiner.NewRegions(first...) != r {
			rt.Fatalf("%q and %q: the sets depend on an order", first, second)
		}
		for _, name := range []identifier.Region{"a", "b", "ab", "c", ""} {
			if r.Intersect(other).Allows(name) != (r.Allows(name) && other.Allows(name)) {
				rt.Fatalf("%q and %q: %q", first, second, name)
			}
		}
	})
}
