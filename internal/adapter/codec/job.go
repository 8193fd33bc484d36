package codec

import (
	"encoding/json"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/tallier"
)

// Jobs is the stored form of batch jobs, of the processes that lead them and of counted requests. The zero value is
// ready.
type Jobs struct{}

// chunk is the stored form of some results of a job.
type chunk struct {
	From    int
	Results []batcher.Result
}

// EncodeSpec returns the stored form of a job as submitted.
func (Jobs) EncodeSpec(s batcher.Spec) ([]byte, error) { return pack(s), nil }

// DecodeSpec reads a job as submitted.
func (Jobs) DecodeSpec(data []byte) (batcher.Spec, error) {
	return unpack[batcher.Spec](data)
}

// EncodeResults returns the stored form of results at a position.
func (Jobs) EncodeResults(from int, results []batcher.Result) ([]byte, error) {
	return pack(chunk{From: from, Results: results}), nil
}

// DecodeResults reads results and their position.
func (Jobs) DecodeResults(data []byte) (int, []batcher.Result, error) {
	c, err := unpack[chunk](data)
	return c.From, c.Results, err
}

// EncodePartialTexts returns the stored form of texts that have no result yet.
func (Jobs) EncodePartialTexts(parts []batcher.PartialText) ([]byte, error) { return pack(parts), nil }

// DecodePartialTexts reads texts that have no result yet.
func (Jobs) DecodePartialTexts(data []byte) ([]batcher.PartialText, error) {
	return unpack[[]batcher.PartialText](data)
}

// EncodeRecord returns the stored form of the record of a job.
func (Jobs) EncodeRecord(r recorder.Record) ([]byte, error) {
	r.Changed = 0
	return json.Marshal(r)
}

// DecodeRecord reads the record of a job.
func (Jobs) DecodeRecord(data []byte) (recorder.Record, error) {
	var r recorder.Record
	err := json.Unmarshal(data, &r)
	return r, err
}

// EncodePresence returns the stored form of a process that is there.
func (Jobs) EncodePresence(p recorder.Presence) ([]byte, error) { return json.Marshal(p) }

// DecodePresence reads a process that is there.
func (Jobs) DecodePresence(data []byte) (recorder.Presence, error) {
	var p recorder.Presence
	err := json.Unmarshal(data, &p)
	return p, err
}

// EncodeCounts returns the stored form of counted requests.
func (Jobs) EncodeCounts(c tallier.Counts) ([]byte, error) { return json.Marshal(c) }

// DecodeCounts reads counted requests.
func (Jobs) DecodeCounts(data []byte) (tallier.Counts, error) {
	var c tallier.Counts
	err := json.Unmarshal(data, &c)
	return c, err
}
