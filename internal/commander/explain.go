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

// maxLineBytes is the longest log line in bytes that can be read.
const maxLineBytes = 1 << 20

// logRecord is one log line that names the requested ID.
type logRecord struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Event   string    `json:"event"`
	Text    string    `json:"text"`
	Fields  string    `json:"fields"`
}

// explainCommands returns the command that shows the log lines about an ID.
func explainCommands(app *kingpin.Application) []command {
	clause := app.Command("explain", "Show the lines of log files that name an ID, in order of time. No process has to run.")
	id := clause.Arg("id", "ID of a request, item, batch job, target or usage window.").Required().String()
	files := clause.Arg("file", "Log files.").Required().ExistingFiles()
	return []command{{clause: clause, run: func(context.Context, *client) (Listing, error) { return explain(*id, *files) }}}
}

// explain lists the records about id in all files, sorted by time.
func explain(id string, files []string) (Listing, error) {
	var records []logRecord
	for _, name := range files {
		found, err := readRecords(id, name)
		if err != nil {
			return Listing{}, &Failure{Code: BadInput, Text: err.Error()}
		}
		records = append(records, found...)
	}
	slices.SortStableFunc(records, func(a, b logRecord) int { return a.Time.Compare(b.Time) })
	listing := NewListing(records,
		Column[logRecord]{Name: "TIME", Text: func(r logRecord) string { return r.Time.Format("15:04:05.000") }},
		Column[logRecord]{Name: "PROCESS", Text: func(r logRecord) string { return r.Process }},
		Column[logRecord]{Name: "EVENT", Text: func(r logRecord) string { return r.Event }},
		Column[logRecord]{Name: "WHAT", Text: func(r logRecord) string { return r.Text }},
		Column[logRecord]{Name: "FIELDS", Text: func(r logRecord) string { return r.Fields }},
	)
	return listing, nil
}

// readRecords returns the records of a log file that name id. Text before the JSON object of a line is skipped. Lines
// without a valid JSON object are ignored: other programs may write to the same file.
func readRecords(id, name string) ([]logRecord, error) {
	file, err := os.Open(name) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer file.Close() //nolint:errcheck // the file was only read
	var records []logRecord
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		if !bytes.Contains(line, []byte(id)) {
			continue
		}
		if record, ok := parseRecord(id, line); ok {
			records = append(records, record)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return records, nil
}

// parseRecord parses a line. It reports false if the line is not a log record or no field equals id.
func parseRecord(id string, line []byte) (logRecord, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return logRecord{}, false
	}
	fields := make(map[string]any)
	if err := json.Unmarshal(line[start:], &fields); err != nil {
		return logRecord{}, false
	}
	record := logRecord{
		Process: fieldText("@module", fields["@module"]), Event: fieldText("event", fields["event"]), Text: fieldText("@message", fields["@message"]),
	}
	var err error
	if record.Time, err = time.Parse(time.RFC3339Nano, fieldText("@timestamp", fields["@timestamp"])); err != nil {
		return logRecord{}, false
	}
	matches := false
	var fieldTexts []string
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		value := fieldText(key, fields[key])
		matches = matches || value == id
		if strings.HasPrefix(key, "@") || key == "event" || value == "" {
			continue
		}
		fieldTexts = append(fieldTexts, key+"="+value)
	}
	record.Fields = strings.Join(fieldTexts, " ")
	return record, matches
}

// durationFields are the log fields that hold a duration in nanoseconds.
var durationFields = map[string]bool{"took": true, "first": true, "deadline": true, "grace": true}

// fieldText formats the value of the field key.
func fieldText(key string, value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case float64:
		if durationFields[key] {
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
