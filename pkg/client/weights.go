package client

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
)

// NewWeights returns the manifest of the weights in data, split into chunks of the given size.
func NewWeights(version uint64, data []byte, chunk int) Weights {
	w := Weights{Version: version, Size: int64(len(data)), Chunk: int64(chunk)}
	for part := range slices.Chunk(data, chunk) {
		sum := sha256.Sum256(part)
		w.Digests = append(w.Digests, hex.EncodeToString(sum[:]))
	}
	return w
}

// Publish announces weights that are already in the weight store. It returns once the announcement is stored; the
// engines switch afterwards.
func (t *Trainer) Publish(ctx context.Context, w Weights) error {
	return t.call(ctx, http.MethodPost, t.path("/weights"), w, nil)
}
