package runner

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/logger"
)

// watchFreshness reports when keys stop being used for want of proof, and when they are used again.
func (e *Entry) watchFreshness(ctx context.Context, auth *authenticator.Authenticator, period time.Duration) {
	tick := e.clock.Every(period)
	defer tick.Stop()
	// A node has no proof when it starts, which is no event.
	for was := false; ; {
		fresh := auth.Fresh()
		switch {
		case was && !fresh:
			e.log.Emit(logger.KeysStale)
		case !was && fresh:
			e.log.Emit(logger.KeysFresh)
		}
		was = fresh
		select {
		case <-tick.C():
		case <-ctx.Done():
			return
		}
	}
}
