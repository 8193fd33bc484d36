package attributor

import (
	"context"
	"fmt"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Prefix is the prefix of the keys; the shard, the writer and the number of the key follow.
const Prefix = "origins/"

const (
	// keySpan is the time whose origins one key of a shard holds. Each save within it writes the key again.
	keySpan = 2 * time.Second
	// leaseSpan is the time after which a new lease is taken for new keys. The lease is not renewed, so that its keys end by
	// themselves once their origins are older than retention.
	leaseSpan = time.Minute
	leaseTTL  = retention + leaseSpan
)

// Codec encodes origins.
type Codec interface {
	EncodeAttributions(all []Attribution) ([]byte, error)
	DecodeAttributions(data []byte) ([]Attribution, error)
}

// StoreArchive is an Archive in the key-value service.
type StoreArchive struct {
	store  *storer.Storer
	codec  Codec
	clock  timer.Service
	log    *logger.Logger
	writer string

	// Only the one goroutine that calls Save uses the fields below.
	lease          storer.Lease
	leaseSince     time.Duration
	number         int
	numberSince    time.Duration
	writtenByShard [shardCount][]Attribution
}

// NewStoreArchive returns an Archive for one start of a process.
func NewStoreArchive(
	store *storer.Storer, codec Codec, clock timer.Service, log *logger.Logger, node identifier.Node, start identifier.Incarnation,
) *StoreArchive {
	return &StoreArchive{store: store, codec: codec, clock: clock, log: log, writer: fmt.Sprintf("%s.%d", node, start)}
}

// Save stores origins and reports whether all are durable. It must not be called by several goroutines at a time.
func (s *StoreArchive) Save(ctx context.Context, all []Attribution) bool {
	now := s.clock.Monotonic()
	if !s.renewLease(ctx, now) {
		return false
	}
	if s.numberSince == 0 || now-s.numberSince > keySpan {
		s.number, s.numberSince, s.writtenByShard = s.number+1, now, [shardCount][]Attribution{}
	}
	var changed [shardCount]bool
	for _, n := range all {
		shard := n.Key.shard()
		s.writtenByShard[shard] = append(s.writtenByShard[shard], n)
		changed[shard] = true
	}
	var t storer.Transaction
	for shard, isChanged := range changed {
		if !isChanged {
			continue
		}
		data, err := s.codec.EncodeAttributions(s.writtenByShard[shard])
		if err != nil {
			s.log.Emit(logger.RecordUnreadable, "key", shardPrefix(shard), "error", err)
			return false
		}
		t = t.WithPut(fmt.Sprintf("%s%s/%d", shardPrefix(shard), s.writer, s.number), data, s.lease)
	}
	out := s.store.Overwrite(ctx, t)
	if out != storer.Applied {
		// The lease may have ended while the service was away. A write that takes effect late must not replace later ones, so
		// these go to other keys.
		s.lease, s.numberSince = 0, 0
		s.log.Emit(logger.OriginsUnsaved, "streams", len(all), "outcome", out.String())
	}
	return out == storer.Applied
}

// renewLease takes a new lease if the present one is old.
func (s *StoreArchive) renewLease(ctx context.Context, now time.Duration) bool {
	if s.lease != 0 && now-s.leaseSince < leaseSpan {
		return true
	}
	lease, out := s.store.Grant(ctx, leaseTTL)
	if out != storer.Applied {
		return false
	}
	s.lease, s.leaseSince = lease, now
	return true
}

// Read returns the stored origins of a shard. It is false if they can't be read now.
func (s *StoreArchive) Read(ctx context.Context, shard int) ([]Attribution, bool) {
	entries, out := s.store.List(ctx, shardPrefix(shard))
	if out != storer.Applied {
		return nil, false
	}
	var all []Attribution
	for _, e := range entries {
		part, err := s.codec.DecodeAttributions(e.Value)
		if err != nil {
			s.log.Emit(logger.RecordUnreadable, "key", e.Key, "error", err)
			continue
		}
		all = append(all, part...)
	}
	return all, true
}

func shardPrefix(shard int) string { return fmt.Sprintf("%s%d/", Prefix, shard) }
