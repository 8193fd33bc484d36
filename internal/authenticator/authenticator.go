// Package authenticator decides for which team a request runs and tells open requests when their key is withdrawn.
package authenticator

import (
	"crypto/hmac"
	"crypto/sha256"
	"time"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Hash returns the stored form of a key: its HMAC-SHA-256 under the deployment's pepper.
func Hash(pepper []byte, key string) [configurator.HashSize]byte {
	mac := hmac.New(sha256.New, pepper)
	mac.Write([]byte(key))
	var sum [configurator.HashSize]byte
	copy(sum[:], mac.Sum(nil))
	return sum
}

// Identity is the holder of a valid key.
type Identity struct {
	Team   identifier.Team
	Caller identifier.Caller
}

// Authenticator knows the keys of the configuration in force.
//
// Invariant: a key that was withdrawn at this node does not work again. Lock rank: container.RankAuthenticator.
type Authenticator struct {
	lock   container.Lock[container.Authenticator]
	pepper []byte
	fresh  func() bool
	// byHash finds a key by its hash. The lookup leaks nothing about the key, since its input is a keyed hash.
	byHash map[[configurator.HashSize]byte]*entry
	byName map[identifier.Caller]*entry
}

// entry is a known key. revoked is closed when the key stops working.
type entry struct {
	key     configurator.Key
	revoked chan struct{}
}

// Option sets a property of an Authenticator.
type Option func(*Authenticator)

// WithPepper sets the secret under which keys are hashed.
func WithPepper(pepper []byte) Option {
	return func(a *Authenticator) { a.pepper = pepper }
}

// WithFreshnessCheck sets the rule that tells whether the node knows of recent withdrawals. While it does not, no key works.
func WithFreshnessCheck(fresh func() bool) Option {
	return func(a *Authenticator) { a.fresh = fresh }
}

// DefaultGrace is how long keys work after the last proof of freshness, unless the settings say otherwise: long enough
// for most outages of the key-value service, and a bound on the use of a key that was withdrawn during one.
const DefaultGrace = 15 * time.Minute

// FreshWithin returns the rule that keys work for grace after the last proof of freshness, whose age the function age tells.
func FreshWithin(grace time.Duration, age func() (time.Duration, bool)) func() bool {
	return func() bool {
		since, proof := age()
		return proof && since <= grace
	}
}

// Fresh reports whether keys may be used.
func (a *Authenticator) Fresh() bool { return a.fresh == nil || a.fresh() }

// NewAuthenticator returns an Authenticator that knows no key yet.
func NewAuthenticator(opts ...Option) *Authenticator {
	a := &Authenticator{}
	for _, o := range opts {
		o(a)
	}
	return a
}

// Authenticate returns the holder of key and a channel that is closed when the key is withdrawn. The third result is
// false for a key that is unknown or withdrawn, and for every key while the node is not fresh.
func (a *Authenticator) Authenticate(key string) (Identity, <-chan struct{}, bool) {
	if !a.Fresh() {
		return Identity{}, nil, false
	}
	sum := Hash(a.pepper, key)
	a.lock.Lock()
	defer a.lock.Unlock()
	e, ok := a.byHash[sum]
	if !ok || e.key.Withdrawn || !hmac.Equal(e.key.Hash[:], sum[:]) {
		return Identity{}, nil, false
	}
	return Identity{Team: e.key.Team, Caller: e.key.Caller}, e.revoked, true
}

// Adopt takes over the keys of a configuration. Keys that are gone, withdrawn or given to another team are revoked.
func (a *Authenticator) Adopt(d configurator.Document) {
	a.lock.Lock()
	defer a.lock.Unlock()
	byHash := make(map[[configurator.HashSize]byte]*entry)
	byName := make(map[identifier.Caller]*entry)
	for _, k := range d.Keys() {
		e := a.renew(k)
		byName[k.Caller] = e
		if !k.Withdrawn {
			byHash[k.Hash] = e
		}
	}
	for name, old := range a.byName {
		if byName[name] != old {
			revoke(old)
		}
	}
	a.byHash, a.byName = byHash, byName
}

// renew returns the present entry when k changes nothing about it, else a new one.
func (a *Authenticator) renew(k configurator.Key) *entry {
	if old, ok := a.byName[k.Caller]; ok && old.key == k {
		return old
	}
	e := &entry{key: k, revoked: make(chan struct{})}
	if k.Withdrawn {
		close(e.revoked)
	}
	return e
}

func revoke(e *entry) {
	if !e.key.Withdrawn {
		close(e.revoked)
	}
}
