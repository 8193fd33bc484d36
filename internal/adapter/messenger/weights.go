package messenger

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/updater"
)

// Manifest is the message form of a manifest.
type Manifest struct {
	Service identifier.Service
	Version identifier.Version
	Size    identifier.Bytes
	Chunk   identifier.Bytes
	Digests []updater.Digest
}

// FromManifest returns the message form of a manifest.
func FromManifest(m updater.Manifest) Manifest {
	return Manifest{Service: m.Service, Version: m.Version, Size: m.Size, Chunk: m.Chunk, Digests: m.Digests()}
}

// Manifest returns the manifest of the message.
func (m Manifest) Manifest() updater.Manifest {
	return updater.Manifest{Service: m.Service, Version: m.Version, Size: m.Size, Chunk: m.Chunk}.WithDigests(m.Digests...)
}

// PrefetchRequest lets an agent fetch weights.
type PrefetchRequest struct {
	Envelope

	Self     updater.Member
	Manifest Manifest
	Members  []updater.Member
	Wait     time.Duration
}

// PrefetchReply tells whether every chunk is there.
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

// SwitchRequest lets an agent switch its engine to weights that it holds.
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
