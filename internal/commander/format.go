package commander

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"

	"github.com/mimosalb/mimosalb/internal/decider"
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// outputRequest is a listing with the format in which it is to be written.
type outputRequest struct {
	format  string
	listing Listing
}

// outputFormats returns the chain of formatters. Each one handles the requests for its own format.
func outputFormats() decider.Chain[outputRequest, []byte] {
	formatter := func(name string, write func(Listing) []byte) decider.Policy[outputRequest, []byte] {
		return decider.Func[outputRequest, []byte](func(r outputRequest) ([]byte, bool) {
			if r.format != name {
				return nil, false
			}
			return write(r.listing), true
		})
	}
	return decider.NewChain(
		decider.WithPriority(formatter(formatTable, writeTable), 0),
		decider.WithPriority(formatter(formatJSON, writeJSON), 1),
		decider.WithPriority(formatter(formatYAML, writeYAML), 2),
	)
}

// writeTable formats the rows as a table with aligned columns, followed by the notes.
func writeTable(l Listing) []byte {
	var out bytes.Buffer
	if len(l.columns) > 0 {
		w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(w, strings.ToUpper(strings.Join(l.columns, "\t")))
		for _, row := range l.rows {
			_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
		}
		_ = w.Flush()
	}
	for _, n := range l.notes {
		_, _ = fmt.Fprintln(&out, n)
	}
	return out.Bytes()
}

// writeJSON formats the value of the listing as indented JSON.
func writeJSON(l Listing) []byte {
	data, err := json.MarshalIndent(l.value, "", "  ")
	if err != nil {
		panic("invariant listing-form: every listing can be encoded: " + err.Error())
	}
	return append(data, '\n')
}

// writeYAML formats the value of the listing as YAML. It converts the JSON, which is also valid YAML, so that both formats
// have the same field names.
func writeYAML(l Listing) []byte {
	var value any
	if err := yaml.Unmarshal(writeJSON(l), &value); err != nil {
		panic("invariant listing-form: every listing can be decoded: " + err.Error())
	}
	data, err := yaml.Marshal(value)
	if err != nil {
		panic("invariant listing-form: every listing can be encoded: " + err.Error())
	}
	return data
}
