package hoster

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/attributor"
)

// originPeer is the attributor.Peer of an entry: the entry that reads for its region also keeps the origins of its streams.
type originPeer struct{ *Entry }

// Save hands origins to that entry.
func (p originPeer) Save(ctx context.Context, all []attributor.Attribution) bool {
	address, ok := regionReader(p).Address()
	return ok && p.client.SaveOrigins(ctx, address, all)
}

// Find asks that entry for an origin.
func (p originPeer) Find(ctx context.Context, k attributor.Key) (attributor.Origin, bool) {
	address, ok := regionReader(p).Address()
	if !ok {
		return attributor.Origin{}, false
	}
	return p.client.FindOrigin(ctx, address, k)
}
