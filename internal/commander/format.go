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

// Forms of output.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// request asks for a listing in a form.
type request struct {
	format  string
	listing Listing
}

// formats returns the chain of forms; each handles the requests for its own name.
func formats() decider.Chain[request, []byte] {
	form := func(name string, write func(Listing) []byte) decider.Policy[request, []byte] {
		return decider.Func[request, []byte](func(r request) ([]byte, bool) {
			if r.format != name {
				return nil, false
			}
			return write(r.listing), true
		})
	}
	return decider.NewChain(
		decider.WithPriority(form(formatTable, writeTable), 0),
		decider.WithPriority(form(formatJSON, writeJSON), 1),
		decider.WithPriority(form(formatYAML, writeYAML), 2),
	)
}

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

func writeJSON(l Listing) []byte {
	data, err := json.MarshalIndent(l.value, "", "  ")
	if err != nil {
		panic("invariant listing-form: every listing can be encoded: " + err.Error())
	}
	return append(data, '\n')
}

// writeYAML goes by way of JSON, which is YAML too, so that both forms have the same field names.
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
