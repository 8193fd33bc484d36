// Package distributor decides how documents reach every node: the layout of the relay tree, the order in which a node
// asks its parents, deltas between revisions, and the count of the nodes that have adopted a revision.
package distributor

import (
	"crypto/sha256"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Digest is the SHA-256 sum of a document's encoded form.
type Digest [sha256.Size]byte

// sum returns the first 8 bytes of the digest as a number.
func (d Digest) sum() uint64 {
	var n uint64
	for _, b := range d[:8] {
		n = n<<8 | uint64(b)
	}
	return n
}

// Copy is one revision of a document in its encoded form. It is immutable; the zero value holds no document.
type Copy struct {
	revision identifier.Revision
	digest   Digest
	body     []byte
	stored   int64
}

// NewCopy returns a copy with the digest of body, which the caller must not change afterwards.
func NewCopy(r identifier.Revision, body []byte) Copy {
	return Copy{revision: r, digest: sha256.Sum256(body), body: body}
}

// WithStored returns a copy of c with the revision of its entry in the key-value service.
func (c Copy) WithStored(changed int64) Copy {
	c.stored = changed
	return c
}

// Revision returns the revision of the document.
func (c Copy) Revision() identifier.Revision { return c.revision }

// Digest returns the digest of the encoded form.
func (c Copy) Digest() Digest { return c.digest }

// Body returns the encoded form. The caller must not change it.
func (c Copy) Body() []byte { return c.body }

// Stored returns the revision of the document's entry in the key-value service; zero when it is not known.
func (c Copy) Stored() int64 { return c.stored }
