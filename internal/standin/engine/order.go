package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

// changes holds what orders have changed at an engine.
type changes struct {
	mu       sync.Mutex
	adapters []string
	role     string
}

// Adapters returns the loaded adapters, and the role that the engine was given last.
func (e *Engine) Adapters() (adapters []string, role string) {
	e.changes.mu.Lock()
	defer e.changes.mu.Unlock()
	return slices.Clone(e.changes.adapters), e.changes.role
}

// WithUnfenced lets the engine ignore fencing numbers, as some engines do.
func WithUnfenced() Option { return func(e *Engine) { e.unfenced = true } }

// order serves the orders that load an adapter or change the role.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Fence   uint64 `json:"fence"`
		Adapter string `json:"lora_name"`
		Role    string `json:"role"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, requestLimit)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.unfenced && q.Fence < e.fence.Load() {
		http.Error(w, "fence: an old number", http.StatusConflict)
		return
	}
	e.fence.Store(max(q.Fence, e.fence.Load()))
	e.changes.mu.Lock()
	if q.Adapter != "" && !slices.Contains(e.changes.adapters, q.Adapter) {
		e.changes.adapters = append(e.changes.adapters, q.Adapter)
	}
	if q.Role != "" {
		e.changes.role = q.Role
	}
	e.changes.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"success": true})
}
