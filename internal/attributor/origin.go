// Package attributor keeps which service and software version began each stream that callers may continue, so that any entry
// can continue it at a target of the same one.
package attributor

import (
	"crypto/sha256"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Key identifies a stream by a hash of its team and of the caller's attempt that began it. Teams can't reach each other's
// streams, since the team is part of the hash.
type Key uint64

// keyBytes is the part of the hash that a key holds.
const keyBytes = 8

// NewKey returns the key of the stream that an attempt of a team's caller began.
func NewKey(team identifier.Team, id identifier.Request) Key {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + string(id)))
	var k Key
	for _, b := range sum[:keyBytes] {
		k = k<<8 | Key(b)
	}
	return k
}

// shardCount is the number of parts into which the streams are divided, so that a search reads one part only. All parts fit
// into one transaction.
const shardCount = 16

func (k Key) shard() int { return int(k % shardCount) }

// Origin is what began a stream. It is immutable; the zero value stands for an origin that is not certain.
type Origin struct {
	Service identifier.Service
	Release identifier.Release
}

// Attribution is a stream with its origin. It is immutable.
type Attribution struct {
	Key    Key
	Origin Origin
}
