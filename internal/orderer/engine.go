package orderer

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Engine sends an order to the engine of a target. refuses says whether that engine refuses old fencing numbers; for one
// that ignores them the order waits until the term is settled, as Unsent. An order whose answer was lost may be sent
// again: it states what the engine is to have, and has no further effect the second time.
func (o *Orderer) Engine(ctx context.Context, fence identifier.Fence, t identifier.Target, order EngineOrder, refuses bool) Outcome {
	term, ok := o.valid(fence)
	if !ok || !refuses && !term.Settled(o.clock.Boot()) {
		return Unsent
	}
	order.Fence = fence
	return o.agents.Engine(ctx, t, order, term.ValidUntil)
}
