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

// Codec encodes and decodes what is stored of a run.
type Codec interface {
	EncodeSpec(s Spec) []byte
	DecodeSpec(data []byte) (Spec, error)
	EncodeSubmission(s Submission) []byte
	DecodeSubmission(data []byte) (Submission, error)
	EncodeCursor(c Cursor) []byte
	DecodeCursor(data []byte) (Cursor, error)
}

// valueLimit is the largest value that the key-value service stores, in bytes.
const valueLimit = 1 << 20

func specKey(r RunID) string             { return "/run/" + string(r) + "/spec" }
func ownerKey(r RunID) string            { return "/run/" + string(r) + "/owner" }
func submitKey(r RunID, n uint64) string { return fmt.Sprintf("%s%020d", submitPrefix(r), n) }
func submitPrefix(r RunID) string        { return "/run/" + string(r) + "/submit/" }
func cursorPrefix(r RunID) string        { return "/run/" + string(r) + "/cursor/" }
func cursorKey(r RunID, f, n uint64) string {
	return fmt.Sprintf("%s%020d-%020d", cursorPrefix(r), f, n)
}
func ownerValue(p OwnerRecord, nonce string) []byte { return []byte(p.String() + " " + nonce) }

// OwnerRecord says who owns a run and where it takes forwarded calls.
type OwnerRecord struct {
	Fence   identifier.Fence
	Address string
}

// String returns the place as it is stored.
func (p OwnerRecord) String() string {
	return strconv.FormatUint(uint64(p.Fence), 10) + " " + p.Address
}

// parsePlace reads a stored place; the zero place when there is none.
func parsePlace(e storer.Entry) OwnerRecord {
	fields := strings.Fields(string(e.Value))
	if len(fields) < 2 {
		return OwnerRecord{}
	}
	fence, err := strconv.ParseUint(fields[0], 10, 64)
	if err != nil {
		return OwnerRecord{}
	}
	return OwnerRecord{Fence: identifier.Fence(fence), Address: fields[1]}
}

// FindOwner returns the place of the run's last owner.
func FindOwner(ctx context.Context, s Store, r RunID) (OwnerRecord, storer.Outcome) {
	e, out := s.Get(ctx, ownerKey(r))
	return parsePlace(e), out
}

// FindSpec returns the spec of a run; false when there is no such run.
func FindSpec(ctx context.Context, s Store, f Codec, r RunID) (Spec, bool, storer.Outcome) {
	e, out := s.Get(ctx, specKey(r))
	if out != storer.Applied || e.Changed == 0 {
		return Spec{}, false, out
	}
	spec, err := f.DecodeSpec(e.Value)
	if err != nil {
		return Spec{}, false, storer.Unavailable
	}
	return spec, true, out
}

// CreateSpec stores the spec of a new run. If the run exists it returns what is stored.
func CreateSpec(ctx context.Context, s Store, f Codec, spec Spec) (Spec, storer.Outcome) {
	out := s.Commit(ctx, storer.Transaction{}.WithGuard(specKey(spec.Run), 0).WithPut(specKey(spec.Run), f.EncodeSpec(spec), 0))
	if out != storer.Conflict {
		return spec, out
	}
	stored, found, out := FindSpec(ctx, s, f, spec.Run)
	if out == storer.Applied && !found {
		return Spec{}, storer.Unavailable
	}
	return stored, out
}
