package codec

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"github.com/mimosalb/mimosalb/internal/collector"
)

// maxDecodedBytes limits a decompressed value. The store limits compressed values to 1 MB.
const maxDecodedBytes = 64 << 20

// Rollouts encodes and decodes the stored form of training runs, which is compressed JSON.
type Rollouts struct{}

// EncodeSpec returns the stored form of the spec of a run.
func (Rollouts) EncodeSpec(s collector.Spec) []byte { return encodeGzip(s) }

// DecodeSpec reads the stored form of the spec of a run.
func (Rollouts) DecodeSpec(data []byte) (collector.Spec, error) {
	return decodeGzip[collector.Spec](data)
}

// EncodeSubmission returns the stored form of a submission.
func (Rollouts) EncodeSubmission(s collector.Submission) []byte { return encodeGzip(s) }

// DecodeSubmission reads the stored form of a submission.
func (Rollouts) DecodeSubmission(data []byte) (collector.Submission, error) {
	return decodeGzip[collector.Submission](data)
}

// EncodeCursor returns the stored form of a cursor.
func (Rollouts) EncodeCursor(c collector.Cursor) []byte { return encodeGzip(c) }

// DecodeCursor reads the stored form of a cursor.
func (Rollouts) DecodeCursor(data []byte) (collector.Cursor, error) {
	return decodeGzip[collector.Cursor](data)
}

// encodeGzip returns v as compressed JSON.
func encodeGzip(v any) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic("invariant stored-form: every stored value can be encoded: " + err.Error())
	}
	_ = w.Close()
	return out.Bytes()
}

// decodeGzip reads compressed JSON.
func decodeGzip[T any](data []byte) (T, error) {
	var v T
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return v, fmt.Errorf("open compressed value: %w", err)
	}
	if err := json.NewDecoder(io.LimitReader(r, maxDecodedBytes)).Decode(&v); err != nil {
		return v, fmt.Errorf("decode value: %w", err)
	}
	return v, nil
}
