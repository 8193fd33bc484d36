package mimosalb_test

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a link on a page to a file that does not exist.
func TestPagesPointToFiles(t *testing.T) {
	c := qt.New(t)
	var pages []string
	for _, pattern := range []string{"README.md", "CONTRIBUTING.md", "docs/*.md", "docs/operators/*.md", "docs/incidents/*.md", "docs/design/*.md"} {
		found, err := filepath.Glob(pattern)
		c.Assert(err, qt.IsNil)
		pages = append(pages, found...)
	}
	link := regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
	for _, page := range pages {
		text, err := os.ReadFile(page)
		c.Assert(err, qt.IsNil)
		for _, m := range link.FindAllSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), string(m[1])))
			c.Check(err, qt.IsNil, qt.Commentf("%s: %s", page, m[1]))
		}
	}
}
