package updater

import (
	"context"
	"slices"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// keptVersions is how many versions a shelf holds: the one in use and the next.
const keptVersions = 2

// ChunkCache holds the verified chunks of an agent. The zero value is empty.
//
// Invariant: a chunk on the shelf has the digest that its manifest names. Lock rank: container.RankUpdater.
type ChunkCache struct {
	lock     container.Lock[container.Updater]
	versions []*version
	changed  chan struct{}
}

// version is a manifest with the chunks that have arrived.
type version struct {
	manifest Manifest
	chunks   [][]byte
	missing  int
}

// AddVersion makes room for a version and drops the oldest one beyond those that are kept.
func (s *ChunkCache) AddVersion(m Manifest) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.find(m.Version) != nil {
		return
	}
	s.versions = append(s.versions, &version{manifest: m, chunks: make([][]byte, m.Len()), missing: m.Len()})
	slices.SortFunc(s.versions, func(a, b *version) int { return int(a.manifest.Version) - int(b.manifest.Version) }) //nolint:gosec // small numbers
	if n := len(s.versions); n > keptVersions {
		s.versions = s.versions[n-keptVersions:]
	}
	s.notify()
}

// Put adds a chunk. It reports false for one that is not expected or has another digest.
func (s *ChunkCache) Put(v identifier.Version, i int, data []byte) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	row := s.find(v)
	if row == nil || !row.manifest.Verify(i, data) {
		return false
	}
	if row.chunks[i] == nil {
		row.chunks[i] = data
		row.missing--
		s.notify()
	}
	return true
}

// IsComplete reports whether every chunk of a version is here.
func (s *ChunkCache) IsComplete(v identifier.Version) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	row := s.find(v)
	return row != nil && row.missing == 0
}

// Wait returns a chunk as soon as it is here. It reports false when ctx ends before.
func (s *ChunkCache) Wait(ctx context.Context, v identifier.Version, i int) ([]byte, bool) {
	for {
		data, changed := s.get(v, i)
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

func (s *ChunkCache) get(v identifier.Version, i int) ([]byte, <-chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if row := s.find(v); row != nil && i >= 0 && i < len(row.chunks) && row.chunks[i] != nil {
		return row.chunks[i], nil
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return nil, s.changed
}

func (s *ChunkCache) find(v identifier.Version) *version {
	for _, row := range s.versions {
		if row.manifest.Version == v {
			return row
		}
	}
	return nil
}

func (s *ChunkCache) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
