package codec

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"github.com/mimosalb/mimosalb/internal/collector"
)

// valueLimit bounds a decoded value in bytes; the store holds 1 MB of compressed ones.
const valueLimit = 64 << 20

// Rollouts is the stored form of training runs: compressed JSON.
type Rollouts struct{}

// EncodeSpec returns the stored form of a spec.
func (Rollouts) EncodeSpec(s collector.Spec) []byte { return pack(s) }

// DecodeSpec reads a spec.
func (Rollouts) DecodeSpec(data []byte) (collector.Spec, error) { return unpack[collector.Spec](data) }

// EncodeSubmission returns the stored form of a submission.
func (Rollouts) EncodeSubmission(s collector.Submission) []byte { return pack(s) }

// DecodeSubmission reads a submission.
func (Rollouts) DecodeSubmission(data []byte) (collector.Submission, error) {
	return unpack[collector.Submission](data)
}

// EncodeCursor returns the stored form of a cursor.
func (Rollouts) EncodeCursor(c collector.Cursor) []byte { return pack(c) }

// DecodeCursor reads a cursor.
func (Rollouts) DecodeCursor(data []byte) (collector.Cursor, error) {
	return unpack[collector.Cursor](data)
}

func pack(v any) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic("invariant stored-form: what is stored can be encoded: " + err.Error())
	}
	_ = w.Close()
	return out.Bytes()
}

func unpack[T any](data []byte) (T, error) {
	var v T
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return v, fmt.Errorf("open compressed value: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(r, valueLimit)).Decode(&v); err != nil {
		return v, fmt.Errorf("decode value: %w", err)
	}
	return v, nil
}
