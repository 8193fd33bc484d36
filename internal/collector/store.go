package collector

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// Store is the part of the key-value service that a run uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Entry, storer.Outcome)
	List(ctx context.Context, prefix string) ([]storer.Entry, storer.Outcome)
	Commit(ctx context.Context, t storer.Transaction) storer.Outcome
}

// Codec encodes and decodes the stored values of a run.
type Codec interface {
	EncodeSpec(s Spec) []byte
	DecodeSpec(data []byte) (Spec, error)
	EncodeSubmission(s Submission) []byte
	DecodeSubmission(data []byte) (Submission, error)
	EncodeCursor(c Cursor) []byte
	DecodeCursor(data []byte) (Cursor, error)
}

// maxValueBytes is the size of the largest value that the key-value service stores, in bytes.
const maxValueBytes = 1 << 20

func specKey(r RunID) string             { return "/run/" + string(r) + "/spec" }
func ownerKey(r RunID) string            { return "/run/" + string(r) + "/owner" }
func submitKey(r RunID, n uint64) string { return fmt.Sprintf("%s%020d", submitPrefix(r), n) }
func submitPrefix(r RunID) string        { return "/run/" + string(r) + "/submit/" }
func cursorPrefix(r RunID) string        { return "/run/" + string(r) + "/cursor/" }
func cursorKey(r RunID, f, n uint64) string {
	return fmt.Sprintf("%s%020d-%020d", cursorPrefix(r), f, n)
}

// ownerValue returns the stored form of an owner record. The region is last, since builds that know none read the first fields only.
func ownerValue(r OwnerRecord, nonce string) []byte {
	value := r.String() + " " + nonce
	if r.Region != "" {
		value += " " + string(r.Region)
	}
	return []byte(value)
}

// OwnerRecord is the stored record of a run's owner: the fencing number of its term, the address that calls are forwarded to
// and its region, which is empty if it is not known.
type OwnerRecord struct {
	Fence   identifier.Fence
	Address string
	Region  identifier.Region
}

// String returns the fencing number and the address, as they are stored.
func (r OwnerRecord) String() string {
	return strconv.FormatUint(uint64(r.Fence), 10) + " " + r.Address
}

// ownerFields is the number of fields of a stored owner record: fence, address, nonce and region. The last two may be missing.
const ownerFields = 4

// parseOwnerRecord decodes a stored record. It returns the zero record when there is none or it is malformed.
func parseOwnerRecord(e storer.Entry) OwnerRecord {
	fields := strings.SplitN(string(e.Value), " ", ownerFields)
	if len(fields) < ownerFields-2 {
		return OwnerRecord{}
	}
	fence, err := strconv.ParseUint(fields[0], 10, 64)
	if err != nil {
		return OwnerRecord{}
	}
	record := OwnerRecord{Fence: identifier.Fence(fence), Address: fields[1]}
	if len(fields) == ownerFields {
		record.Region = identifier.Region(fields[ownerFields-1])
	}
	return record
}

// FindOwner returns the record of the run's last owner.
func FindOwner(ctx context.Context, s Store, r RunID) (OwnerRecord, storer.Outcome) {
	e, out := s.Get(ctx, ownerKey(r))
	return parseOwnerRecord(e), out
}

// FindSpec returns the spec of a run; false when there is no such run.
func FindSpec(ctx context.Context, s Store, c Codec, r RunID) (Spec, bool, storer.Outcome) {
	e, out := s.Get(ctx, specKey(r))
	if out != storer.Applied || e.Changed == 0 {
		return Spec{}, false, out
	}
	spec, err := c.DecodeSpec(e.Value)
	if err != nil {
		return Spec{}, false, storer.Unavailable
	}
	return spec, true, out
}

// CreateSpec stores the spec of a new run. If the run exists, it returns the stored spec.
func CreateSpec(ctx context.Context, s Store, c Codec, spec Spec) (Spec, storer.Outcome) {
	out := s.Commit(ctx, storer.Transaction{}.WithGuard(specKey(spec.Run), 0).WithPut(specKey(spec.Run), c.EncodeSpec(spec), 0))
	if out != storer.Conflict {
		return spec, out
	}
	stored, found, out := FindSpec(ctx, s, c, spec.Run)
	if out == storer.Applied && !found {
		return Spec{}, storer.Unavailable
	}
	return stored, out
}
