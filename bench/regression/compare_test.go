package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Guards against a regression run that shows a drop, a broken rule or a missing entry as a pass.
func TestCompare(t *testing.T) {
	full := func(site, file string, worth float64, passed bool) entry {
		e := entry{Command: "score", Site: site, Revision: "0123456789", Score: worth, file: file}
		for i, name := range []string{"quiet-1", "trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3"} {
			slot, _, _ := strings.Cut(name, "-")
			e.Days = append(e.Days, day{Name: name, Slot: slot, Worth: worth + float64(i)/100, Served: 1, Passed: passed || i > 0})
		}
		return e
	}
	entries := []entry{
		full("steady", "1", 0.80, true), full("steady", "2", 0.78, true), full("fallen", "1", 0.80, true), full("fallen", "2", 0.70, true),
		full("broken", "1", 0.80, true), full("broken", "2", 0.90, false), full("first", "1", 0.50, true),
	}
	entries[len(entries)-1].Days[5].Rules = map[string]any{"TWICE": 1}
	var out strings.Builder
	for _, site := range []string{"steady", "fallen", "broken", "first", "missing"} {
		table, fell := compare(site, entries)
		fmt.Fprintf(&out, "%sfell: %v\n", table, fell)
	}
	goldie.New(t).Assert(t, "compare", []byte(out.String()))
}
