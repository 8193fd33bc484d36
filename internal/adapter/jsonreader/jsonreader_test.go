package jsonreader_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/jsonreader"
)

// whole is what ReadObject reads in parts.
type whole struct {
	Step  int    `json:"train-step"`
	Model string `json:"model"`
	Items []struct {
		ID string `json:"id"`
	} `json:"items"`
}

// Guards against submissions that are read in parts and give another job, or another verdict, than encoding/json gives for the
// whole.
func TestReadObject(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{
		`{"train-step":3,"model":"m","items":[{"id":"a"},{"id":"b"}]}`,
		`{"items":[{"id":"a"}],"Train-Step":4,"MODEL":"m"}`,
		`{"ITEMS":[{"id":"a"}]}`,
		`{"items":[{"id":"a"}],"items":[{"id":"b"}]}`,
		`{"items":[]}`, `{"items":null,"model":null}`, `{}`, `null`, " {\"model\":\"m\"} \n",
		``, `{`, `[]`, `3`, `{"items":{}}`, `{"items":3}`, `{"items":[{"id":3}]}`, `{"items":[{"id":"a"}`, `{"items":[{"id":"a"},]}`,
		`{"model":3}`, `{"model":"m"}{}`, `{"model":"m"}]`, `{"model"}`, `{"items":[{"id":"a"}]`, `{"items":[3]}`, `{"other":{"items":[1]}}`,
	} {
		rest, items, err := jsonreader.ReadObject[struct {
			ID string `json:"id"`
		}](strings.NewReader(text), "items")
		var parts, want whole
		if err == nil {
			err = json.Unmarshal(rest, &parts)
		}
		parts.Items = items
		wantErr := json.Unmarshal([]byte(text), &want)
		if err == nil {
			fmt.Fprintf(&out, "%q: %+v\n", text, parts)
		} else {
			fmt.Fprintf(&out, "%q: refused\n", text)
		}
		if (err == nil) != (wantErr == nil) || err == nil && fmt.Sprint(parts) != fmt.Sprint(want) {
			t.Errorf("%q: read in parts %+v, %v; whole %+v, %v", text, parts, err, want, wantErr)
		}
	}
	goldie.New(t).Assert(t, t.Name(), []byte(out.String()))
}
