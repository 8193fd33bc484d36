package messenger

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/updater"
)

// Manifest is the wire form of an updater.Manifest, whose digests are unexported.
type Manifest struct {
	Service identifier.Service
	Version identifier.Version
	Size    identifier.Bytes
	Chunk   identifier.Bytes
	Digests []updater.Digest
}

// FromManifest returns the wire form of m.
func FromManifest(m updater.Manifest) Manifest {
	return Manifest{Service: m.Service, Version: m.Version, Size: m.Size, Chunk: m.Chunk, Digests: m.Digests()}
}

// Manifest returns the updater.Manifest of the wire form.
func (m Manifest) Manifest() updater.Manifest {
	return updater.Manifest{Service: m.Service, Version: m.Version, Size: m.Size, Chunk: m.Chunk}.WithDigests(m.Digests...)
}

// PrefetchRequest makes an agent fetch weights.
type PrefetchRequest struct {
	Envelope

	Self     updater.Member
	Manifest Manifest
	Members  []updater.Member
	Wait     time.Duration
}

// PrefetchReply reports whether the agent has every chunk.
type PrefetchReply struct {
	Envelope

	Whole bool
}

// ChunkRequest asks an agent for a chunk and waits up to Wait for it.
type ChunkRequest struct {
	Envelope

	Version identifier.Version
	Index   int
	Wait    time.Duration
}

// ChunkReply holds a chunk; Known is false when it did not arrive in time.
type ChunkReply struct {
	Envelope

	Known bool
	Data  []byte
}

// SwitchRequest makes an agent switch its engine to weights that the agent holds.
type SwitchRequest struct {
	Envelope

	Version identifier.Version
	Fence   identifier.Fence
}

// SwitchReply holds the version that the engine reported after the switch; zero when it did not answer.
type SwitchReply struct {
	Envelope

	Reported identifier.Version
}
