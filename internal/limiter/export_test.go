package limiter

import "context"

// Step asks once for the permits that are due, in place of Run.
func (l *Limiter) Step(ctx context.Context) {
	due, _ := l.dueAsks()
	for _, id := range due {
		l.ask(ctx, id)
	}
}
