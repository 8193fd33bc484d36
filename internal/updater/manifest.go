// Package updater distributes new weights to the engines. Agents pass verified chunks along a tree, then the engines
// switch in waves.
package updater

import (
	"crypto/sha256"
	"slices"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// ChunkSize is the default size of a chunk in bytes. It is large enough that the overhead per message is negligible
// and small enough that an agent can pass on one chunk while it receives the next.
const ChunkSize identifier.Bytes = 4 << 20

// Digest is the SHA-256 digest of a chunk.
type Digest [sha256.Size]byte

// Manifest lists the chunks of a weight version. It is immutable.
type Manifest struct {
	Service identifier.Service
	Version identifier.Version
	Size    identifier.Bytes
	Chunk   identifier.Bytes
	digests []Digest
}

// NewManifest returns the manifest of data in chunks of the given size; zero means ChunkSize.
func NewManifest(s identifier.Service, v identifier.Version, data []byte, chunk identifier.Bytes) Manifest {
	if chunk <= 0 {
		chunk = ChunkSize
	}
	m := Manifest{Service: s, Version: v, Size: identifier.Bytes(len(data)), Chunk: chunk}
	for part := range slices.Chunk(data, int(chunk)) {
		m.digests = append(m.digests, sha256.Sum256(part))
	}
	return m
}

// WithDigests returns a copy of m with the given digests.
func (m Manifest) WithDigests(ds ...Digest) Manifest {
	m.digests = slices.Clone(ds)
	return m
}

// Digests returns a copy of the chunks' digests.
func (m Manifest) Digests() []Digest { return slices.Clone(m.digests) }

// Len returns the number of chunks.
func (m Manifest) Len() int { return len(m.digests) }

// Verify reports whether data is the chunk at index i.
func (m Manifest) Verify(i int, data []byte) bool {
	return i >= 0 && i < len(m.digests) && sha256.Sum256(data) == m.digests[i]
}
