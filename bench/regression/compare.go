package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// entry is a journal entry of the users' bench, as far as it is compared.
type entry struct {
	Command string `json:"cmd"`
	Site    string `json:"site"`
	// Revision is the commit of the sources that were played.
	Revision string  `json:"head"`
	Score    float64 `json:"score"`
	Days     []day   `json:"days"`
	// file orders the entries: the names of the files begin with their time.
	file string
}

// day is the result of one day.
type day struct {
	Name   string  `json:"name"`
	Slot   string  `json:"slot"`
	Worth  float64 `json:"G"`
	Served float64 `json:"served"`
	// Passed is set if the day passed the gate, Rules names the rules that it broke.
	Passed bool           `json:"gate"`
	Rules  map[string]any `json:"rules"`
}

const (
	// maxDrop is the drop of the mean worth of a site that is not marked; the bench's figures vary by this much.
	maxDrop = 0.03
	// standardDays is the number of days of a full score; an entry with fewer is of a quick one.
	standardDays = 6
	// shortRevision is the number of digits of a revision that are shown.
	shortRevision = 7
)

// readEntries returns the full scores of a journal, oldest first.
func readEntries(folder string) ([]entry, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("list the entries: %w", err)
	}
	var entries []entry
	for _, file := range files {
		data, err := os.ReadFile(filepath.Clean(file))
		if err != nil {
			return nil, fmt.Errorf("read an entry: %w", err)
		}
		e := entry{file: filepath.Base(file)}
		if err := json.Unmarshal(data, &e); err != nil {
			// An entry of another kind, for example of a sweep, has other fields.
			continue
		}
		if e.Command == "score" && len(e.Days) >= standardDays {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.file, b.file) })
	return entries, nil
}

// compare returns a table of the last full score of a site beside the one before, and whether the site fell: its mean worth
// by more than maxDrop, or a day of it did not pass.
func compare(site string, entries []entry) (string, bool) {
	own := slices.DeleteFunc(slices.Clone(entries), func(e entry) bool { return e.Site != site })
	if len(own) == 0 {
		return fmt.Sprintf("%s: no full score in the journal\n", site), true
	}
	last := own[len(own)-1]
	var before entry
	if len(own) > 1 {
		before = own[len(own)-2]
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s: %.3f at %.*s, before %.3f at %.*s\n", site, last.Score, shortRevision, last.Revision, before.Score, shortRevision,
		before.Revision)
	fell := false
	for _, d := range last.Days {
		mark := ""
		if !d.Passed || len(d.Rules) > 0 {
			mark, fell = " NOT PASSED", true
		}
		old := "    -"
		if i := slices.IndexFunc(before.Days, func(o day) bool { return o.Name == d.Name }); i >= 0 {
			old = fmt.Sprintf("%.3f", before.Days[i].Worth)
		}
		fmt.Fprintf(&out, "  %-12s worth %.3f, before %s; served %.3f%s\n", d.Name, d.Worth, old, d.Served, mark)
	}
	now, then := last.meanWorth(), before.meanWorth()
	mark := ""
	if len(own) > 1 && now < then-maxDrop {
		mark, fell = " FELL", true
	}
	fmt.Fprintf(&out, "  mean of the days with trouble %.3f, before %.3f%s\n", now, then, mark)
	return out.String(), fell
}

// meanWorth returns the mean worth of the standard days with trouble, or zero if there are none.
func (e entry) meanWorth() float64 {
	sum, n := 0.0, 0
	for _, d := range e.Days {
		if d.Slot == "trouble" || d.Slot == "scale" {
			sum += d.Worth
			n++
		}
	}
	return sum / float64(max(n, 1))
}
