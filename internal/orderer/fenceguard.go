package orderer

import (
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// FenceGuard refuses orders with an old fencing number at the agent, whether or not the target itself does. The zero
// value admits any order.
//
// Invariant: the admitted number never decreases. Lock rank: container.RankOrderer.
type FenceGuard struct {
	lock  container.Lock[container.Orderer]
	fence identifier.Fence
}

// Admit reports whether an order with the given fencing number may be carried out.
func (g *FenceGuard) Admit(f identifier.Fence) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	if f < g.fence {
		return false
	}
	g.fence = f
	return true
}

// EngineKind is the part of an engine's state that an order changes.
type EngineKind string

const (
	// LoadVersion loads a weight version.
	LoadVersion EngineKind = "version"
	// LoadAdapter loads an adapter.
	LoadAdapter EngineKind = "adapter"
	// ChangeRole changes the role of the engine, such as prefill or decode.
	ChangeRole EngineKind = "role"
)

// EngineOrder is an order to the engine of a target. It is idempotent.
type EngineOrder struct {
	Kind EngineKind
	// Name is the model or adapter to load, or the role.
	Name    string
	Version identifier.Version
	Fence   identifier.Fence
}
