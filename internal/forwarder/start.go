package forwarder

import (
	"context"
	"fmt"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
)

// StartReader asks targets which start of theirs serves now.
type StartReader interface {
	// Start returns the incarnation of a target and the time at which it was asked, once the connection of the question was open.
	// It is false if the target did not tell it in time.
	Start(ctx context.Context, t router.Target) (serving identifier.Incarnation, asked time.Time, ok bool)
}

// ConfirmStart reports whether a target runs the release of its listing, as far as is known. A target that restarted under its ID
// may run another one before its new listing is read, and its answers don't show that. The target is therefore asked for
// its start before it continues a text, and before it begins one after a failed attempt.
func (f *Forwarder) ConfirmStart(ctx context.Context, t router.Target, continues bool) bool {
	if f.Starts == nil || !continues && !f.Registrar.Unconfirmed(t.ID) {
		return true
	}
	return f.confirmSince(ctx, t, f.Clock.Now())
}

// ConfirmAnswer reports whether an answer that may be continued later came from the start that the listing of its target names, and so
// from its release. An entry whose listings are out of date would else file the answer under the release of an earlier start. A
// connection ends with the start that accepted it, so that one question covers all connections that were opened before it.
func (f *Forwarder) ConfirmAnswer(ctx context.Context, t router.Target, a Answer) bool {
	if f.Starts == nil || f.Registrar.ConfirmedSince(t.ID, a.Opened) {
		return true
	}
	since := a.Opened
	if since.IsZero() {
		since = f.Clock.Now()
	}
	return f.confirmSince(ctx, t, since)
}

// maxStartRounds is the number of questions after which a target has been asked since any time before the first of them: a question
// that was under way may have been asked too early, the next one not.
const maxStartRounds = 2

// confirmSince reports whether a target, asked for its start at the given time or later, confirms the listed one. Answers that begin
// together share their questions: one for each would open as many connections to the target.
func (f *Forwarder) confirmSince(ctx context.Context, t router.Target, since time.Time) bool {
	key := fmt.Sprintf("%s %s %d", t.ID, t.Address, t.Incarnation)
	for range maxStartRounds {
		answer := f.questions.DoChan(key, func() (any, error) {
			// The others still wait if the caller of the first one leaves.
			return f.askStart(context.WithoutCancel(ctx), t), nil
		})
		select {
		case r := <-answer:
			if asked, _ := r.Val.(time.Time); asked.IsZero() || !asked.Before(since) {
				return !asked.IsZero()
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// askStart asks a target for its start. It returns the time of the question, or the zero time if the listed start did not confirm
// itself.
func (f *Forwarder) askStart(ctx context.Context, t router.Target) time.Time {
	serving, asked, ok := f.Starts.Start(ctx, t)
	if !ok || serving != t.Incarnation {
		return time.Time{}
	}
	f.Registrar.Confirm(t.ID, asked)
	return asked
}
