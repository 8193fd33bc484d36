package commander

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// longestLine bounds a log line in bytes.
const longestLine = 1 << 20

// step is one log line of the story of an identity.
type step struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Event   string    `json:"event"`
	Text    string    `json:"text"`
	Fields  string    `json:"fields"`
}

// explainVerbs is the command that tells from logs what became of a request, an item or a batch job.
func explainVerbs(app *kingpin.Application) []verb {
	clause := app.Command("explain", "Show from log files, in order of time, what processes wrote about an identity. It asks no process.")
	id := clause.Arg("id", "Identity of a request, an item, a batch job, a target or a window of usage.").Required().String()
	files := clause.Arg("file", "Log files.").Required().ExistingFiles()
	return []verb{{clause: clause, run: func(context.Context, *client) (Listing, error) { return explain(*id, *files) }}}
}

func explain(id string, files []string) (Listing, error) {
	var steps []step
	for _, name := range files {
		found, err := readSteps(id, name)
		if err != nil {
			return Listing{}, &Failure{Code: BadInput, Text: err.Error()}
		}
		steps = append(steps, found...)
	}
	slices.SortStableFunc(steps, func(a, b step) int { return a.Time.Compare(b.Time) })
	listing := NewListing(steps,
		Column[step]{Name: "TIME", Text: func(s step) string { return s.Time.Format("15:04:05.000") }},
		Column[step]{Name: "PROCESS", Text: func(s step) string { return s.Process }},
		Column[step]{Name: "EVENT", Text: func(s step) string { return s.Event }},
		Column[step]{Name: "WHAT", Text: func(s step) string { return s.Text }},
		Column[step]{Name: "FIELDS", Text: func(s step) string { return s.Fields }},
	)
	return listing, nil
}

// readSteps returns the lines of a log file that name an identity. Whatever stands before the JSON object of a line is
// skipped, and lines without one are not the system's.
func readSteps(id, name string) ([]step, error) {
	file, err := os.Open(name) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer file.Close() //nolint:errcheck // the file was only read
	var steps []step
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		line := lines.Bytes()
		if !bytes.Contains(line, []byte(id)) {
			continue
		}
		if s, ok := parseStep(id, line); ok {
			steps = append(steps, s)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return steps, nil
}

// parseStep reads a line if one of its fields is the identity.
func parseStep(id string, line []byte) (step, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return step{}, false
	}
	fields := make(map[string]any)
	if err := json.Unmarshal(line[start:], &fields); err != nil {
		return step{}, false
	}
	s := step{Process: text("@module", fields["@module"]), Event: text("event", fields["event"]), Text: text("@message", fields["@message"])}
	var err error
	if s.Time, err = time.Parse(time.RFC3339Nano, text("@timestamp", fields["@timestamp"])); err != nil {
		return step{}, false
	}
	named := false
	var rest []string
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		value := text(key, fields[key])
		named = named || value == id
		if strings.HasPrefix(key, "@") || key == "event" || value == "" {
			continue
		}
		rest = append(rest, key+"="+value)
	}
	s.Fields = strings.Join(rest, " ")
	return s, named
}

// durations are the fields that hold a time in nanoseconds.
var durations = map[string]bool{"took": true, "first": true, "deadline": true, "grace": true}

// text returns a field as text.
func text(key string, value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case float64:
		if durations[key] {
			return time.Duration(v).Round(time.Millisecond).String()
		}
		return strconv.FormatFloat(v, 'f', -1, 64)
	default:
		data, err := json.Marshal(v)
		if err != nil {
			return err.Error()
		}
		return string(data)
	}
}
