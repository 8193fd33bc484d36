package reporter

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/storer"
)

const (
	// tidyBatch bounds the keys that one transaction deletes; the key-value service takes 128 operations.
	tidyBatch = 100
	// tidyWindows bounds the windows that one round tidies, so that reports go first.
	tidyWindows = 3
)

// tidy deletes the values and seals of the windows up to last.
func (r *Reporter) tidy(ctx context.Context, fence identifier.Fence, last meter.Window) bool {
	p, ok := r.mark(ctx, fence, meter.TidiedKey)
	for range tidyWindows {
		if !ok || p.last >= last {
			return ok
		}
		p, ok = r.tidyWindow(ctx, fence, p)
	}
	return ok
}

// tidyWindow deletes what is stored about the window after the mark, and moves the mark with the last batch.
func (r *Reporter) tidyWindow(ctx context.Context, fence identifier.Fence, p position) (position, bool) {
	w := p.last + 1
	values, ok := Values(ctx, r.store, r.form, w)
	if !ok {
		return p, false
	}
	var keys []string
	for _, team := range r.teams(values) {
		keys = append(keys, Key(team, w))
	}
	// The values go last: they name the teams, should the process die in between.
	for _, v := range values {
		keys = append(keys, meter.Key(w, v.Node))
	}
	for part := 1; ; part++ {
		n := min(len(keys), tidyBatch)
		mark := meter.Watermark{Last: p.last, Fence: fence, Part: part}
		if n == len(keys) {
			mark = meter.Watermark{Last: w, Fence: fence}
		}
		if p, ok = r.write(ctx, fence, p, mark, keys[:n]); !ok || mark.Last == w {
			return p, ok
		}
		keys = keys[n:]
	}
}

// write stores a mark in place of the one at p and deletes keys with it.
func (r *Reporter) write(ctx context.Context, fence identifier.Fence, p position, m meter.Watermark, deletes []string) (position, bool) {
	if _, ok := r.valid(fence); !ok {
		return p, false
	}
	t := storer.Transaction{}.WithGuard(p.key, p.changed).WithPut(p.key, r.form.EncodeWatermark(m), 0)
	for _, key := range deletes {
		t = t.WithDelete(key)
	}
	if r.store.Commit(ctx, t) != storer.Applied {
		return p, false
	}
	next, ok := r.read(ctx, p.key)
	return next, ok && next.last == m.Last
}
