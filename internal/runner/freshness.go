package runner

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/logger"
)

// watchFreshness logs when keys are no longer accepted because the proof of freshness is too old, and when they are
// accepted again.
func (e *Entry) watchFreshness(ctx context.Context, auth *authenticator.Authenticator, period time.Duration) {
	tick := e.clock.Every(period)
	defer tick.Stop()
	// A node has no proof when it starts; this is not logged.
	for wasFresh := false; ; {
		fresh := auth.IsFresh()
		switch {
		case wasFresh && !fresh:
			e.log.Emit(logger.KeysStale)
		case !wasFresh && fresh:
			e.log.Emit(logger.KeysFresh)
		}
		wasFresh = fresh
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}
