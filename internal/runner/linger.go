package runner

import "context"

// takesWork reports whether the balancer may send requests to the entry.
func (e *Entry) takesWork() bool { return e.ready.Load() && !e.stopping.Load() }

// waitLinger gives the balancer time to notice that the entry is not ready.
func (e *Entry) waitLinger(ctx context.Context) {
	if e.linger <= 0 || !e.ready.Load() {
		return
	}
	alarm := e.clock.After(e.linger)
	defer alarm.Stop()
	select {
	case <-alarm.C():
	case <-ctx.Done():
	}
}
