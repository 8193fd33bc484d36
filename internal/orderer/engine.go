package orderer

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// SendEngineOrder sends an order to the engine of a target. fenced reports whether that engine refuses old fencing
// numbers; if it ignores them, SendEngineOrder returns Unsent until the term is settled. An order whose response was lost
// may be sent again: it states the desired state of the engine, so repeating it has no further effect.
func (o *Orderer) SendEngineOrder(ctx context.Context, fence identifier.Fence, t identifier.Target, order EngineOrder, fenced bool) Outcome {
	term, ok := o.currentTerm(fence)
	if !ok || !fenced && !term.Settled(o.clock.Monotonic()) {
		return Unsent
	}
	order.Fence = fence
	return o.agents.SendEngineOrder(ctx, t, order, term.ValidUntil)
}
