package codec

import (
	"encoding/json"
	"slices"

	"github.com/mimosalb/mimosalb/internal/attributor"
	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/tallier"
)

// Jobs encodes and decodes the stored form of batch jobs, of the processes that lead them, of request counts, of
// evidence of crashes and of the origins of streams. The zero value is ready to use.
type Jobs struct{}

// resultChunk is the stored form of consecutive results of a job, the first at position From.
type resultChunk struct {
	From    int
	Results []batcher.Result
}

// EncodeResults returns the stored form of results, the first at position from.
func (Jobs) EncodeResults(from int, results []batcher.Result) ([]byte, error) {
	return encodeGzip(resultChunk{From: from, Results: results}), nil
}

// DecodeResults reads results and the position of the first.
func (Jobs) DecodeResults(data []byte) (int, []batcher.Result, error) {
	c, err := decodeGzip[resultChunk](data)
	return c.From, c.Results, err
}

// EncodePartialTexts returns the stored form of the partial texts of items without a result.
func (Jobs) EncodePartialTexts(parts []batcher.PartialText) ([]byte, error) {
	return encodeGzip(parts), nil
}

// DecodePartialTexts reads the partial texts of items without a result.
func (Jobs) DecodePartialTexts(data []byte) ([]batcher.PartialText, error) {
	return decodeGzip[[]batcher.PartialText](data)
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

// EncodeRegistration returns the stored form of the registration of a process.
func (Jobs) EncodeRegistration(p recorder.Registration) ([]byte, error) { return json.Marshal(p) }

// DecodeRegistration reads the registration of a process.
func (Jobs) DecodeRegistration(data []byte) (recorder.Registration, error) {
	var p recorder.Registration
	err := json.Unmarshal(data, &p)
	return p, err
}

// EncodeCounts returns the stored form of request counts.
func (Jobs) EncodeCounts(c tallier.Counts) ([]byte, error) { return json.Marshal(c) }

// DecodeCounts reads request counts.
func (Jobs) DecodeCounts(data []byte) (tallier.Counts, error) {
	var c tallier.Counts
	err := json.Unmarshal(data, &c)
	return c, err
}

// EncodeEvidence encodes evidence of crashes.
func (Jobs) EncodeEvidence(e isolator.Evidence) ([]byte, error) { return json.Marshal(e) }

// DecodeEvidence decodes evidence of crashes.
func (Jobs) DecodeEvidence(data []byte) (isolator.Evidence, error) {
	var e isolator.Evidence
	err := json.Unmarshal(data, &e)
	return e, err
}

// originGroup is the stored form of the streams of one origin.
type originGroup struct {
	Origin attributor.Origin
	Keys   []attributor.Key
}

// EncodeAttributions encodes origins of streams.
func (Jobs) EncodeAttributions(all []attributor.Attribution) ([]byte, error) {
	var groups []originGroup
	for _, n := range all {
		i := slices.IndexFunc(groups, func(g originGroup) bool { return g.Origin == n.Origin })
		if i < 0 {
			i = len(groups)
			groups = append(groups, originGroup{Origin: n.Origin})
		}
		groups[i].Keys = append(groups[i].Keys, n.Key)
	}
	return json.Marshal(groups)
}

// DecodeAttributions decodes origins of streams.
func (Jobs) DecodeAttributions(data []byte) ([]attributor.Attribution, error) {
	var groups []originGroup
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, err
	}
	var all []attributor.Attribution
	for _, g := range groups {
		for _, k := range g.Keys {
			all = append(all, attributor.Attribution{Key: k, Origin: g.Origin})
		}
	}
	return all, nil
}
