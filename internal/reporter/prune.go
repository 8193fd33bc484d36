package reporter

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/storer"
)

const (
	// maxDeletes bounds the keys that one transaction deletes; the key-value service accepts 128 operations.
	maxDeletes = 100
	// maxPrunedWindows bounds the windows that one round prunes, so that reports take precedence.
	maxPrunedWindows = 3
)

// prune deletes the values and sealed reports of the windows up to last.
func (r *Reporter) prune(ctx context.Context, fence identifier.Fence, last meter.Window) bool {
	stored, ok := r.ensureWatermark(ctx, fence, meter.PrunedKey)
	for range maxPrunedWindows {
		if !ok || stored.last >= last {
			return ok
		}
		stored, ok = r.pruneWindow(ctx, fence, stored)
	}
	return ok
}

// pruneWindow deletes the values and sealed reports of the window after the watermark, and advances the watermark in
// the same transaction as the last batch.
func (r *Reporter) pruneWindow(ctx context.Context, fence identifier.Fence, stored storedWatermark) (storedWatermark, bool) {
	w := stored.last + 1
	values, ok := ReadWindow(ctx, r.store, r.codec, w)
	if !ok {
		return stored, false
	}
	var keys []string
	for _, team := range r.teams(values) {
		keys = append(keys, Key(team, w))
	}
	// The values are deleted last: if the process dies in between, they still list the teams whose reports to delete.
	for _, v := range values {
		keys = append(keys, meter.Key(w, v.Node))
	}
	for part := 1; ; part++ {
		n := min(len(keys), maxDeletes)
		watermark := meter.Watermark{Last: stored.last, Fence: fence, Part: part}
		if n == len(keys) {
			watermark = meter.Watermark{Last: w, Fence: fence}
		}
		if stored, ok = r.writeWatermark(ctx, fence, stored, watermark, keys[:n]); !ok || watermark.Last == w {
			return stored, ok
		}
		keys = keys[n:]
	}
}

// writeWatermark replaces the stored watermark by m and deletes keys in the same transaction.
func (r *Reporter) writeWatermark(
	ctx context.Context, fence identifier.Fence, stored storedWatermark, m meter.Watermark, deletes []string,
) (storedWatermark, bool) {
	if _, ok := r.currentTerm(fence); !ok {
		return stored, false
	}
	t := storer.Transaction{}.WithGuard(stored.key, stored.changed).WithPut(stored.key, r.codec.EncodeWatermark(m), 0)
	for _, key := range deletes {
		t = t.WithDelete(key)
	}
	if r.store.Commit(ctx, t) != storer.Applied {
		return stored, false
	}
	next, ok := r.readWatermark(ctx, stored.key)
	return next, ok && next.last == m.Last
}
