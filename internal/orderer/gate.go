package orderer

import (
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// FenceGuard refuses orders with an old fencing number at the agent, whether or not its target does. The zero value has seen
// no order.
//
// Invariant: the number that is passed only rises. Lock rank: container.RankOrderer.
type FenceGuard struct {
	lock  container.Lock[container.Orderer]
	fence identifier.Fence
}

// Admit reports whether an order with the number may be carried out.
func (g *FenceGuard) Admit(f identifier.Fence) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	if f < g.fence {
		return false
	}
	g.fence = f
	return true
}

// EngineKind tells what an order to an engine changes.
type EngineKind string

const (
	// LoadVersion loads a weight version.
	LoadVersion EngineKind = "version"
	// LoadAdapter loads an adapter.
	LoadAdapter EngineKind = "adapter"
	// ChangeRole changes what the engine does, such as prefill or decode.
	ChangeRole EngineKind = "role"
)

// EngineOrder is an order to the engine beside an agent. Carrying it out twice has no further effect.
type EngineOrder struct {
	Kind EngineKind
	// Name is the model or adapter to load, or the role.
	Name    string
	Version identifier.Version
	Fence   identifier.Fence
}
