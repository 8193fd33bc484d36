package codec

import (
	"encoding/hex"
	"errors"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/updater"
	"github.com/mimosalb/mimosalb/pkg/client"
)

// errMalformedDigest means that a digest is not 32 bytes in hexadecimal form.
var errMalformedDigest = errors.New("digests: want SHA-256 digests in hexadecimal form")

// ToManifest returns the manifest of service s from its JSON form w. It fails on a malformed digest.
func ToManifest(s identifier.Service, w client.Weights) (updater.Manifest, error) {
	m := updater.Manifest{
		Service: s, Version: identifier.Version(w.Version), Size: identifier.Bytes(w.Size), Chunk: identifier.Bytes(w.Chunk),
	}
	digests := make([]updater.Digest, len(w.Digests))
	for i, text := range w.Digests {
		data, err := hex.DecodeString(text)
		if err != nil || copy(digests[i][:], data) != len(digests[i]) {
			return m, errMalformedDigest
		}
	}
	return m.WithDigests(digests...), nil
}

// EncodeManifest returns the stored form of a manifest.
func (Rollouts) EncodeManifest(m updater.Manifest) []byte {
	w := client.Weights{Version: uint64(m.Version), Size: int64(m.Size), Chunk: int64(m.Chunk)}
	for _, d := range m.Digests() {
		w.Digests = append(w.Digests, hex.EncodeToString(d[:]))
	}
	return encodeGzip(w)
}

// DecodeManifest reads the stored form of the manifest of service s.
func (Rollouts) DecodeManifest(s identifier.Service, data []byte) (updater.Manifest, error) {
	w, err := decodeGzip[client.Weights](data)
	if err != nil {
		return updater.Manifest{}, err
	}
	return ToManifest(s, w)
}
