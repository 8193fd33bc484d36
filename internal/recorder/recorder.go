// Package recorder keeps batch jobs in the platform's key-value service, so that they outlast every process.
package recorder

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// Keys of the key-value service. Every entry watches the keys under NodePrefix, which change when an entry comes or goes.
const (
	JobPrefix  = "jobs/"
	NodePrefix = "nodes/"

	specPrefix   = "specs/"
	resultPrefix = "results/"
	partPrefix   = "parts/"
)

// partSize bounds one value of a job in bytes; the service takes up to a megabyte.
const partSize = 700 << 10

// Owner identifies the start of a process that leads jobs.
type Owner struct {
	Node        identifier.Node
	Incarnation identifier.Incarnation
}

// Record says who leads a job. It is immutable.
type Record struct {
	ID    identifier.Job
	Team  identifier.Team
	Owner Owner
	// Term rises with each change, which makes each stored record unlike any other.
	Term int
	// Parts is the number of values that hold the job as submitted, and Total the number of its items.
	Parts     int
	Total     int
	Submitted time.Time
	// Ended jobs run no more items.
	Ended bool
	// Changed is the revision of the record in the key-value service.
	Changed int64
}

// WithOwner returns a copy of r that another process leads.
func (r Record) WithOwner(o Owner) Record {
	r.Owner = o
	r.Term++
	return r
}

// WithEnd returns a copy of r that has ended.
func (r Record) WithEnd() Record {
	r.Ended = true
	r.Term++
	return r
}

// Presence is a process that is there. It is immutable.
type Presence struct {
	Owner Owner
	// Address is where the process answers other processes of the system.
	Address string
	// Leaving is set when the process stops; it takes no further work.
	Leaving bool
	Region  identifier.Region
	// Cores is the part of a core that the process may use; zero if it is not known.
	Cores float64
}

// Codec is the stored form of jobs.
type Codec interface {
	EncodeSpec(s batcher.Spec) ([]byte, error)
	DecodeSpec(data []byte) (batcher.Spec, error)
	EncodeResults(from int, results []batcher.Result) ([]byte, error)
	DecodeResults(data []byte) (from int, results []batcher.Result, err error)
	EncodePartialTexts(parts []batcher.PartialText) ([]byte, error)
	DecodePartialTexts(data []byte) ([]batcher.PartialText, error)
	EncodeRecord(r Record) ([]byte, error)
	DecodeRecord(data []byte) (Record, error)
}

// Store is the part of the key-value service that a Recorder uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, storer.Outcome)
	List(ctx context.Context, prefix string) ([]storer.Entry, storer.Outcome)
	Commit(ctx context.Context, t storer.Transaction) storer.Outcome
	CommitWithRetry(ctx context.Context, t storer.Transaction) storer.Outcome
	Delete(ctx context.Context, t storer.Transaction) storer.Outcome
}

// Recorder reads and writes jobs. It has no state.
type Recorder struct {
	store Store
	form  Codec
}

// NewRecorder returns a Recorder over a store.
func NewRecorder(store Store, form Codec) *Recorder { return &Recorder{store: store, form: form} }

// Create stores a job with its first owner. Conflict means that the job is there already.
func (r *Recorder) Create(ctx context.Context, s batcher.Spec, o Owner) (storer.Outcome, error) {
	data, err := r.form.EncodeSpec(s)
	if err != nil {
		return storer.Unavailable, err
	}
	parts := split(data)
	record := Record{ID: s.ID, Team: s.Team, Owner: o, Term: 1, Parts: len(parts), Total: len(s.Items), Submitted: s.Submitted}
	head, err := r.form.EncodeRecord(record)
	if err != nil {
		return storer.Unavailable, err
	}
	t := storer.Transaction{}.WithGuard(jobKey(s.ID), 0).WithPut(jobKey(s.ID), head, 0)
	for i, part := range parts {
		t = t.WithPut(specKey(s.ID, i), part, 0)
	}
	return r.store.CommitWithRetry(ctx, t), nil
}

// Record returns the record of a job; one with Changed zero does not exist.
func (r *Recorder) Record(ctx context.Context, id identifier.Job) (Record, storer.Outcome, error) {
	e, out := r.store.Get(ctx, jobKey(id))
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
	record, err := r.form.DecodeRecord(e.Value)
	record.Changed = e.Changed
	return record, err
}

// Replace stores the next form of a record that was last changed as old says.
func (r *Recorder) Replace(ctx context.Context, old, next Record) (storer.Outcome, error) {
	data, err := r.form.EncodeRecord(next)
	if err != nil {
		return storer.Unavailable, err
	}
	return r.store.CommitWithRetry(ctx, storer.Transaction{}.WithGuard(jobKey(old.ID), old.Changed).WithPut(jobKey(old.ID), data, 0)), nil
}

// HandOver stores the next form of a record together with the texts that have no result yet. Texts that are too large
// for a value are left out; they are made again.
func (r *Recorder) HandOver(ctx context.Context, old, next Record, parts []batcher.PartialText) (storer.Outcome, error) {
	data, err := r.form.EncodeRecord(next)
	if err != nil {
		return storer.Unavailable, err
	}
	t := storer.Transaction{}.WithGuard(jobKey(old.ID), old.Changed).WithPut(jobKey(old.ID), data, 0)
	texts, err := r.form.EncodePartialTexts(parts)
	if err != nil {
		return storer.Unavailable, err
	}
	if len(parts) > 0 && len(texts) <= partSize {
		t = t.WithPut(partKey(old.ID), texts, 0)
	}
	return r.store.CommitWithRetry(ctx, t), nil
}

// Parts returns the texts that the owner before has left.
func (r *Recorder) Parts(ctx context.Context, id identifier.Job) ([]batcher.PartialText, storer.Outcome, error) {
	e, out := r.store.Get(ctx, partKey(id))
	if out != storer.Applied || e.Changed == 0 {
		return nil, out, nil
	}
	parts, err := r.form.DecodePartialTexts(e.Value)
	return parts, out, err
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
	s, err := r.form.DecodeSpec(data)
	return s, storer.Applied, err
}

// Results returns all results of a job that are durable, in order of their positions.
func (r *Recorder) Results(ctx context.Context, id identifier.Job) ([]batcher.Result, storer.Outcome, error) {
	entries, out := r.store.List(ctx, resultPrefix+string(id)+"/")
	if out != storer.Applied {
		return nil, out, nil
	}
	var all []batcher.Result
	for _, e := range entries {
		from, results, err := r.form.DecodeResults(e.Value)
		if err != nil {
			return nil, out, err
		}
		// Chunks are written one after the other, each guarded by the owner's record, so there are no gaps.
		if from != len(all) {
			break
		}
		all = append(all, results...)
	}
	return all, out, nil
}

// Append stores results at a position, on condition that the record of the job is unchanged, and returns how many of
// them are durable. Conflict means that another process leads the job or that it has ended.
func (r *Recorder) Append(ctx context.Context, record Record, from int, results []batcher.Result) (int, storer.Outcome, error) {
	data, err := r.form.EncodeResults(from, results)
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
		return r.stored(ctx, key, from, results)
	default:
		return 0, out, nil
	}
}

// stored returns how many results are durable at a position. An earlier try, whose answer was lost, may have stored the
// first of them.
func (r *Recorder) stored(ctx context.Context, key string, from int, results []batcher.Result) (int, storer.Outcome, error) {
	e, out := r.store.Get(ctx, key)
	switch {
	case out != storer.Applied:
		return 0, out, nil
	case e.Changed == 0:
		return 0, storer.Conflict, nil
	}
	at, there, err := r.form.DecodeResults(e.Value)
	if err != nil {
		return 0, storer.Unavailable, err
	}
	n := len(there)
	if at != from || n > len(results) || !slices.EqualFunc(there, results[:n], batcher.Result.Equal) {
		return 0, storer.Conflict, nil
	}
	return n, storer.Applied, nil
}

// Erase deletes a job. The record goes last: until then the job is found, and its erasure can be taken up again.
func (r *Recorder) Erase(ctx context.Context, record Record) storer.Outcome {
	entries, out := r.store.List(ctx, resultPrefix+string(record.ID)+"/")
	if out != storer.Applied {
		return out
	}
	guarded := storer.Transaction{}.WithGuard(jobKey(record.ID), record.Changed)
	for len(entries) > 0 {
		n := min(len(entries), eraseBatch)
		t := guarded
		for _, e := range entries[:n] {
			t = t.WithDelete(e.Key)
		}
		if out := r.store.Delete(ctx, t); out != storer.Applied {
			return out
		}
		entries = entries[n:]
	}
	t := guarded.WithDelete(jobKey(record.ID)).WithDelete(partKey(record.ID))
	for i := range record.Parts {
		t = t.WithDelete(specKey(record.ID, i))
	}
	return r.store.Delete(ctx, t)
}

// eraseBatch is the number of keys that one transaction deletes.
const eraseBatch = 24

// split cuts data into values that the key-value service takes.
func split(data []byte) [][]byte {
	var parts [][]byte
	for len(data) > partSize {
		parts = append(parts, data[:partSize])
		data = data[partSize:]
	}
	return append(parts, data)
}

func jobKey(id identifier.Job) string           { return JobPrefix + string(id) }
func partKey(id identifier.Job) string          { return partPrefix + string(id) }
func specKey(id identifier.Job, i int) string   { return specPrefix + string(id) + "/" + strconv.Itoa(i) }
func resultKey(id identifier.Job, n int) string { return resultPrefix + string(id) + "/" + pad(n) }

// NodeKey returns the key of a process that is there.
func NodeKey(n identifier.Node) string { return NodePrefix + string(n) }

// pad returns a position so that the order of keys is that of positions.
func pad(n int) string {
	const digits = 8
	s := strconv.Itoa(n)
	return "00000000"[:max(0, digits-len(s))] + s
}
