// Package recorder stores batch jobs in the platform's key-value service, so that they survive the loss of every
// process.
package recorder

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// Prefixes of the keys in the key-value service. Every entry watches the keys under NodePrefix, which change when an
// entry registers or its registration ends.
const (
	JobPrefix  = "jobs/"
	NodePrefix = "nodes/"

	specPrefix        = "specs/"
	resultPrefix      = "results/"
	partialTextPrefix = "parts/"
)

// maxValueBytes limits the size of one stored value of a job; the service accepts up to a megabyte.
const maxValueBytes = 700 << 10

// maxSpecParts limits the values that hold a Spec. They are stored in one transaction, of at most 32 entries, with the record and
// its guard. The service answers a larger one as it does while it is down, so it is not sent.
const maxSpecParts = 30

// errTooLarge is the error of a job that does not fit into one transaction.
var errTooLarge = errors.New("the job does not fit into one transaction")

// Owner identifies the incarnation of a process that leads jobs.
type Owner struct {
	Node        identifier.Node
	Incarnation identifier.Incarnation
}

// Record holds the owner and the state of a job. It is immutable.
type Record struct {
	ID    identifier.Job
	Team  identifier.Team
	Owner Owner
	// Term increases with each change, so that every stored version of a record is different.
	Term int
	// Parts is the number of values that hold the Spec, and Total the number of its items.
	Parts     int
	Total     int
	Submitted time.Time
	// Model is the model whose weights generate the texts, and Work the expected length of all of them in tokens.
	Model identifier.Model
	Work  int
	// Size is that of all bodies. Records that earlier builds wrote have none.
	Size identifier.Bytes
	// Scope is that of the Spec, and Host and Path determine the route whose regions apply as well. A process decides by them whether it
	// may read the Spec. Records that earlier builds wrote have none and are unrestricted.
	Scope confiner.Scope
	Host  string
	Path  string
	// Ended is set when the job was ended; no further items run.
	Ended bool
	// Changed is the revision of the record in the key-value service, or zero if the record does not exist.
	Changed int64
}

// WithOwner returns a copy of r with another owner and the next term.
func (r Record) WithOwner(o Owner) Record {
	r.Owner = o
	r.Term++
	return r
}

// WithEnd returns a copy of r that has ended, with the next term.
func (r Record) WithEnd() Record {
	r.Ended = true
	r.Term++
	return r
}

// Registration is the stored description of a running process, which other processes watch. It is immutable.
type Registration struct {
	Owner Owner
	// Address is where the process accepts calls of other processes of the system.
	Address string
	// Leaving is set when the process is stopping and takes no further work.
	Leaving bool
	Region  identifier.Region
	// Cores is the number of cores that the process may use, possibly a fraction, or zero if it is unknown.
	Cores float64
}

// Codec encodes and decodes the stored values of jobs.
type Codec interface {
	EncodeSpec(s batcher.Spec) ([]byte, error)
	DecodeSpec(data []byte) (batcher.Spec, error)
	EncodeResults(from int, results []batcher.Result) ([]byte, error)
	DecodeResults(data []byte) (from int, results []batcher.Result, err error)
	EncodePartialTexts(texts []batcher.PartialText) ([]byte, error)
	DecodePartialTexts(data []byte) ([]batcher.PartialText, error)
	EncodeRecord(r Record) ([]byte, error)
	DecodeRecord(data []byte) (Record, error)
}

// Store is the part of the key-value service that a Recorder uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, storer.Outcome)
	GetStale(ctx context.Context, key string) (storer.Entry, storer.Outcome)
	List(ctx context.Context, prefix string) ([]storer.Entry, storer.Outcome)
	Commit(ctx context.Context, t storer.Transaction) storer.Outcome
	CommitWithRetry(ctx context.Context, t storer.Transaction) storer.Outcome
	Delete(ctx context.Context, t storer.Transaction) storer.Outcome
}

// Recorder reads and writes the stored jobs. It has no state of its own.
type Recorder struct {
	store Store
	codec Codec
}

// NewRecorder returns a Recorder that uses the given store and codec.
func NewRecorder(store Store, codec Codec) *Recorder { return &Recorder{store: store, codec: codec} }

// Create stores a job with its first owner. Conflict means that the job exists already.
func (r *Recorder) Create(ctx context.Context, s batcher.Spec, o Owner) (storer.Outcome, error) {
	data, err := r.codec.EncodeSpec(s)
	if err != nil {
		return storer.Unavailable, err
	}
	parts := splitValue(data)
	if len(parts) > maxSpecParts {
		return storer.Unavailable, fmt.Errorf("store %d values of job %s: %w", len(parts), s.ID, errTooLarge)
	}
	record := Record{
		ID: s.ID, Team: s.Team, Owner: o, Term: 1, Parts: len(parts), Total: len(s.Items), Submitted: s.Submitted,
		Model: s.Model, Work: s.Work(), Size: s.Size(), Scope: s.Scope, Host: s.Host, Path: s.Path,
	}
	encodedRecord, err := r.codec.EncodeRecord(record)
	if err != nil {
		return storer.Unavailable, err
	}
	t := storer.Transaction{}.WithGuard(jobKey(s.ID), 0).WithPut(jobKey(s.ID), encodedRecord, 0)
	for i, part := range parts {
		t = t.WithPut(specKey(s.ID, i), part, 0)
	}
	return r.store.CommitWithRetry(ctx, t), nil
}

// Record returns the record of a job. If its Changed is zero, the job does not exist.
func (r *Recorder) Record(ctx context.Context, id identifier.Job) (Record, storer.Outcome, error) {
	e, out := r.store.Get(ctx, jobKey(id))
	return r.decodeRead(id, e, out)
}

// StaleRecord returns the record of a job as it was up to some seconds ago. If its Changed is zero, the job did not exist
// then.
func (r *Recorder) StaleRecord(ctx context.Context, id identifier.Job) (Record, storer.Outcome, error) {
	e, out := r.store.GetStale(ctx, jobKey(id))
	return r.decodeRead(id, e, out)
}

// decodeRead returns the record that a read returned; its Changed is zero if there is none.
func (r *Recorder) decodeRead(id identifier.Job, e storer.Entry, out storer.Outcome) (Record, storer.Outcome, error) {
	if out != storer.Applied || e.Changed == 0 {
		return Record{ID: id}, out, nil
	}
	record, err := r.decode(e)
	return record, out, err
}

// Records returns the records of all jobs.
func (r *Recorder) Records(ctx context.Context) ([]Record, storer.Outcome, error) {
	entries, out := r.store.List(ctx, JobPrefix)
	if out != storer.Applied {
		return nil, out, nil
	}
	records := make([]Record, 0, len(entries))
	for _, e := range entries {
		record, err := r.decode(e)
		if err != nil {
			return nil, out, err
		}
		records = append(records, record)
	}
	return records, out, nil
}

// decode returns the record that an entry holds.
func (r *Recorder) decode(e storer.Entry) (Record, error) {
	record, err := r.codec.DecodeRecord(e.Value)
	record.Changed = e.Changed
	return record, err
}

// Replace stores next in place of old. Conflict means that the record has changed since old was read.
func (r *Recorder) Replace(ctx context.Context, old, next Record) (storer.Outcome, error) {
	data, err := r.codec.EncodeRecord(next)
	if err != nil {
		return storer.Unavailable, err
	}
	return r.store.CommitWithRetry(ctx, storer.Transaction{}.WithGuard(jobKey(old.ID), old.Changed).WithPut(jobKey(old.ID), data, 0)), nil
}

// HandOver replaces a record and stores partial texts in the same transaction, as the owner's nth save. Texts that exceed
// the size of one value are left out; the next owner generates them again.
func (r *Recorder) HandOver(ctx context.Context, old, next Record, n int, texts []batcher.PartialText) (storer.Outcome, error) {
	data, err := r.codec.EncodeRecord(next)
	if err != nil {
		return storer.Unavailable, err
	}
	t := storer.Transaction{}.WithGuard(jobKey(old.ID), old.Changed).WithPut(jobKey(old.ID), data, 0)
	encoded, err := r.codec.EncodePartialTexts(texts)
	if err != nil {
		return storer.Unavailable, err
	}
	if len(texts) > 0 && len(encoded) <= maxValueBytes {
		t = t.WithPut(partialTextKey(old, n), encoded, 0)
	}
	return r.store.CommitWithRetry(ctx, t), nil
}

// SaveTexts stores parts of texts as the nth save of the job's owner. Conflict means that another process leads the job or
// that the job has ended.
func (r *Recorder) SaveTexts(ctx context.Context, record Record, n int, texts []batcher.PartialText) (storer.Outcome, error) {
	encoded, err := r.codec.EncodePartialTexts(texts)
	if err != nil {
		return storer.Unavailable, err
	}
	key := partialTextKey(record, n)
	return r.store.Commit(ctx, storer.Transaction{}.
		WithGuard(key, 0).WithPut(key, encoded, 0).WithGuard(jobKey(record.ID), record.Changed)), nil
}

// PartialTexts returns the texts that previous owners of a job have saved.
func (r *Recorder) PartialTexts(ctx context.Context, id identifier.Job) ([]batcher.PartialText, storer.Outcome, error) {
	entries, out := r.store.List(ctx, partialTextPrefix+string(id))
	if out != storer.Applied {
		return nil, out, nil
	}
	var parts []batcher.PartialText
	for _, e := range entries {
		texts, err := r.codec.DecodePartialTexts(e.Value)
		if err != nil {
			return nil, out, err
		}
		parts = append(parts, texts...)
	}
	return batcher.MergeTexts(parts), out, nil
}

// Spec returns a job as it was submitted.
func (r *Recorder) Spec(ctx context.Context, record Record) (batcher.Spec, storer.Outcome, error) {
	var data []byte
	for i := range record.Parts {
		e, out := r.store.Get(ctx, specKey(record.ID, i))
		if out != storer.Applied || e.Changed == 0 {
			return batcher.Spec{}, out, nil
		}
		data = append(data, e.Value...)
	}
	s, err := r.codec.DecodeSpec(data)
	return s, storer.Applied, err
}

// Results returns all durable results of a job in order of their positions.
func (r *Recorder) Results(ctx context.Context, id identifier.Job) ([]batcher.Result, storer.Outcome, error) {
	entries, out := r.store.List(ctx, resultPrefix+string(id)+"/")
	if out != storer.Applied {
		return nil, out, nil
	}
	var all []batcher.Result
	for _, e := range entries {
		from, results, err := r.codec.DecodeResults(e.Value)
		if err != nil {
			return nil, out, err
		}
		// The values are written one after the other, each guarded by the job's record, so there are no gaps.
		if from != len(all) {
			break
		}
		all = append(all, results...)
	}
	return all, out, nil
}

// Append stores results at a position if the record of the job is unchanged, and returns how many of them are durable.
// Conflict means that another process leads the job or that the job has ended.
func (r *Recorder) Append(ctx context.Context, record Record, from int, results []batcher.Result) (int, storer.Outcome, error) {
	data, err := r.codec.EncodeResults(from, results)
	if err != nil {
		return 0, storer.Unavailable, err
	}
	key := resultKey(record.ID, from)
	out := r.store.CommitWithRetry(ctx, storer.Transaction{}.
		WithGuard(key, 0).WithPut(key, data, 0).WithGuard(jobKey(record.ID), record.Changed))
	switch out {
	case storer.Applied:
		return len(results), out, nil
	case storer.Conflict:
		return r.durableCount(ctx, key, from, results)
	default:
		return 0, out, nil
	}
}

// durableCount returns how many of the results are durable at a position after a conflict. An earlier attempt whose
// answer was lost may have stored the first of them.
func (r *Recorder) durableCount(ctx context.Context, key string, from int, results []batcher.Result) (int, storer.Outcome, error) {
	e, out := r.store.Get(ctx, key)
	switch {
	case out != storer.Applied:
		return 0, out, nil
	case e.Changed == 0:
		return 0, storer.Conflict, nil
	}
	at, stored, err := r.codec.DecodeResults(e.Value)
	if err != nil {
		return 0, storer.Unavailable, err
	}
	n := len(stored)
	if at != from || n > len(results) || !slices.EqualFunc(stored, results[:n], batcher.Result.Equal) {
		return 0, storer.Conflict, nil
	}
	return n, storer.Applied, nil
}

// Erase deletes a job. The record is deleted last: until then the job is still found, and an interrupted erasure can
// be repeated.
func (r *Recorder) Erase(ctx context.Context, record Record) storer.Outcome {
	guarded := storer.Transaction{}.WithGuard(jobKey(record.ID), record.Changed)
	for _, prefix := range []string{resultPrefix + string(record.ID) + "/", partialTextPrefix + string(record.ID)} {
		entries, out := r.store.List(ctx, prefix)
		if out != storer.Applied {
			return out
		}
		for chunk := range slices.Chunk(entries, maxErasedKeys) {
			t := guarded
			for _, e := range chunk {
				t = t.WithDelete(e.Key)
			}
			if out := r.store.Delete(ctx, t); out != storer.Applied {
				return out
			}
		}
	}
	t := guarded.WithDelete(jobKey(record.ID))
	for i := range record.Parts {
		t = t.WithDelete(specKey(record.ID, i))
	}
	return r.store.Delete(ctx, t)
}

// maxErasedKeys is the number of keys that one transaction deletes.
const maxErasedKeys = 24

// splitValue splits data into values of at most maxValueBytes.
func splitValue(data []byte) [][]byte {
	var parts [][]byte
	for len(data) > maxValueBytes {
		parts = append(parts, data[:maxValueBytes])
		data = data[maxValueBytes:]
	}
	return append(parts, data)
}

func jobKey(id identifier.Job) string         { return JobPrefix + string(id) }
func specKey(id identifier.Job, i int) string { return specPrefix + string(id) + "/" + strconv.Itoa(i) }

// partialTextKey returns the key of the nth save of an owner. The keys sort by the order of the saves, also over several
// owners, since each owner's term is higher than the one before.
func partialTextKey(r Record, n int) string {
	return partialTextPrefix + string(r.ID) + "/" + padPosition(r.Term) + "-" + padPosition(n)
}

func resultKey(id identifier.Job, n int) string {
	return resultPrefix + string(id) + "/" + padPosition(n)
}

// NodeKey returns the key of the registration of a process.
func NodeKey(n identifier.Node) string { return NodePrefix + string(n) }

// padPosition returns a position as decimal digits padded with zeros, so that keys sort by position.
func padPosition(n int) string {
	const digits = 8
	s := strconv.Itoa(n)
	return "00000000"[:max(0, digits-len(s))] + s
}
