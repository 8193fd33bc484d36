package codec

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"github.com/mimosalb/mimosalb/internal/adapter/jsonreader"
	"github.com/mimosalb/mimosalb/internal/batcher"
)

// noItems is how the JSON form of a job without items ends. The items are the last member.
const noItems = "null}"

// EncodeSpec returns the stored form of a job as submitted, compressed JSON. It encodes one item at a time: the JSON form of
// all items is as large as the submission, which is up to 32 MiB.
func (Jobs) EncodeSpec(s batcher.Spec) ([]byte, error) {
	items := s.Items
	s.Items = nil
	head, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode job %s: %w", s.ID, err)
	}
	head, found := bytes.CutSuffix(head, []byte(noItems))
	if !found {
		panic("invariant stored-form: the items are the last member of a job")
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(head) // a write to a bytes.Buffer does not fail
	separator := "["
	for i := range items {
		encoded, err := json.Marshal(&items[i])
		if err != nil {
			return nil, fmt.Errorf("encode item %s: %w", items[i].ID, err)
		}
		_, _ = io.WriteString(w, separator)
		_, _ = w.Write(encoded)
		separator = ","
	}
	if len(items) == 0 {
		_, _ = io.WriteString(w, separator)
	}
	_, _ = io.WriteString(w, "]}")
	_ = w.Close()
	return out.Bytes(), nil
}

// DecodeSpec reads a job as submitted.
func (Jobs) DecodeSpec(data []byte) (batcher.Spec, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return batcher.Spec{}, fmt.Errorf("open compressed value: %w", err)
	}
	head, items, err := jsonreader.ReadObject[batcher.Item](io.LimitReader(r, maxDecodedBytes), "Items")
	if err != nil {
		return batcher.Spec{}, fmt.Errorf("decode job: %w", err)
	}
	var s batcher.Spec
	if err := json.Unmarshal(head, &s); err != nil {
		return batcher.Spec{}, fmt.Errorf("decode head of job: %w", err)
	}
	s.Items = items
	return s, nil
}
