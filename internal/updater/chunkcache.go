package updater

import (
	"context"
	"slices"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// keptVersions is the number of versions that a cache holds: the one in use and the next.
const keptVersions = 2

// ChunkCache holds the verified chunks of an agent. The zero value is empty.
//
// Invariant: a cached chunk has the digest that is listed in its manifest. Lock rank: container.RankUpdater.
type ChunkCache struct {
	lock     container.Lock[container.Updater]
	versions []*cacheEntry
	// changed is closed when a chunk or a version is added; nil if no call of Wait is blocked.
	changed chan struct{}
}

// cacheEntry is one version in the cache: its manifest with the chunks that have arrived, nil where one is missing.
type cacheEntry struct {
	manifest Manifest
	chunks   [][]byte
	missing  int
}

// AddVersion adds a version without chunks and drops the oldest versions beyond keptVersions.
func (c *ChunkCache) AddVersion(m Manifest) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.find(m.Version) != nil {
		return
	}
	c.versions = append(c.versions, &cacheEntry{manifest: m, chunks: make([][]byte, m.Len()), missing: m.Len()})
	slices.SortFunc(c.versions, func(a, b *cacheEntry) int { return int(a.manifest.Version) - int(b.manifest.Version) }) //nolint:gosec // small numbers
	if n := len(c.versions); n > keptVersions {
		c.versions = c.versions[n-keptVersions:]
	}
	c.notify()
}

// Put adds a chunk. It reports false for a chunk of an unknown version, one outside the manifest or one with another
// digest.
func (c *ChunkCache) Put(v identifier.Version, i int, data []byte) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	entry := c.find(v)
	if entry == nil || !entry.manifest.Verify(i, data) {
		return false
	}
	if entry.chunks[i] == nil {
		entry.chunks[i] = data
		entry.missing--
		c.notify()
	}
	return true
}

// IsComplete reports whether every chunk of a version is in the cache.
func (c *ChunkCache) IsComplete(v identifier.Version) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	entry := c.find(v)
	return entry != nil && entry.missing == 0
}

// Wait returns a chunk as soon as it is in the cache. It reports false when ctx ends first.
func (c *ChunkCache) Wait(ctx context.Context, v identifier.Version, i int) ([]byte, bool) {
	for {
		data, changed := c.get(v, i)
		if data != nil {
			return data, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false
		}
	}
}

func (c *ChunkCache) get(v identifier.Version, i int) ([]byte, <-chan struct{}) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if entry := c.find(v); entry != nil && i >= 0 && i < len(entry.chunks) && entry.chunks[i] != nil {
		return entry.chunks[i], nil
	}
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return nil, c.changed
}

func (c *ChunkCache) find(v identifier.Version) *cacheEntry {
	for _, entry := range c.versions {
		if entry.manifest.Version == v {
			return entry
		}
	}
	return nil
}

func (c *ChunkCache) notify() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}
