package timer

import (
	"context"
	"time"
)

// WithTimeout returns a copy of parent that is cancelled with context.DeadlineExceeded as its cause once d has passed
// on s. The returned function releases the subscription and waits for nothing.
func WithTimeout(parent context.Context, s Service, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	sub := s.After(d)
	go func() {
		defer sub.Stop()
		select {
		case <-sub.C():
			cancel(context.DeadlineExceeded)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}
