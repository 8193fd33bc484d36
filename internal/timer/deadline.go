package timer

import (
	"context"
	"time"
)

// WithTimeout returns a copy of parent that is cancelled with context.DeadlineExceeded as its cause once d has passed
// on s. The returned function cancels the context without waiting for its goroutine, which releases the subscription.
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

// Wait waits until d has passed on s and reports whether it did before ctx ended.
func Wait(ctx context.Context, s Service, d time.Duration) bool {
	sub := s.After(d)
	defer sub.Stop()
	select {
	case <-sub.C():
		return true
	case <-ctx.Done():
		return false
	}
}
