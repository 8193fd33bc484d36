package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
)

// orderedState holds the adapters and the role that orders have set.
type orderedState struct {
	mu       sync.Mutex
	adapters []string
	role     string
}

// AdaptersAndRole returns the loaded adapters and the current role.
func (e *Engine) AdaptersAndRole() (adapters []string, role string) {
	e.ordered.mu.Lock()
	defer e.ordered.mu.Unlock()
	return slices.Clone(e.ordered.adapters), e.ordered.role
}

// WithUnfenced makes the engine ignore fences, as some engines do.
func WithUnfenced() Option { return func(e *Engine) { e.unfenced = true } }

// applyOrder serves the orders that load an adapter or change the role.
func (e *Engine) applyOrder(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Fence   uint64 `json:"fence"`
		Adapter string `json:"lora_name"`
		Role    string `json:"role"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.unfenced && q.Fence < e.maxFence.Load() {
		http.Error(w, fmt.Sprintf("fence %d: want at least %d", q.Fence, e.maxFence.Load()), http.StatusConflict)
		return
	}
	e.maxFence.Store(max(q.Fence, e.maxFence.Load()))
	e.ordered.mu.Lock()
	if q.Adapter != "" && !slices.Contains(e.ordered.adapters, q.Adapter) {
		e.ordered.adapters = append(e.ordered.adapters, q.Adapter)
	}
	if q.Role != "" {
		e.ordered.role = q.Role
	}
	e.ordered.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"success": true})
}
