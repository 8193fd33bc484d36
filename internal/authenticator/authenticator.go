// Package authenticator maps API keys to teams and signals open requests when their key is withdrawn.
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

// Identity is the team and the caller that a valid key belongs to.
type Identity struct {
	Team   identifier.Team
	Caller identifier.Caller
}

// Verdict is the outcome of Authenticate.
type Verdict int

const (
	// Accepted means that the key is valid.
	Accepted Verdict = iota + 1
	// Refused means that the key is unknown or withdrawn.
	Refused
	// Undecided means that this node can't judge keys now: it has adopted no keys yet, or its list of withdrawn keys is
	// out of date.
	Undecided
)

// Authenticator validates keys against the adopted configuration. The zero value has adopted no keys and judges none.
//
// Invariant: a key that was withdrawn at this node is never accepted again. Lock rank: container.RankAuthenticator.
type Authenticator struct {
	lock   container.Lock[container.Authenticator]
	pepper []byte
	fresh  func() bool
	// byHash finds a key by its hash. A lookup reveals nothing about the key, since its input is a keyed hash.
	byHash   map[[configurator.HashSize]byte]*keyState
	byCaller map[identifier.Caller]*keyState
	// adopted is set by the first call of Adopt.
	adopted bool
}

// keyState is a key of the configuration with a channel that is closed when the key is no longer accepted.
type keyState struct {
	key     configurator.Key
	revoked chan struct{}
}

// Option sets a property of an Authenticator.
type Option func(*Authenticator)

// WithPepper sets the secret under which keys are hashed.
func WithPepper(pepper []byte) Option {
	return func(a *Authenticator) { a.pepper = pepper }
}

// WithFreshnessCheck sets a function that reports whether the node knows of recent withdrawals. While it returns false,
// no key is accepted.
func WithFreshnessCheck(fresh func() bool) Option {
	return func(a *Authenticator) { a.fresh = fresh }
}

// DefaultGrace is how long keys are accepted after the last proof of freshness, unless the settings say otherwise. It
// is long enough for most outages of the key-value service, and bounds the use of a key that was withdrawn during one.
const DefaultGrace = 15 * time.Minute

// FreshWithin returns a freshness check that accepts keys for grace after the last proof of freshness. age returns the
// age of that proof, and false if there is none.
func FreshWithin(grace time.Duration, age func() (time.Duration, bool)) func() bool {
	return func() bool {
		elapsed, proven := age()
		return proven && elapsed <= grace
	}
}

// IsFresh reports whether the node has adopted keys and knows of recent withdrawals, so that keys are judged.
func (a *Authenticator) IsFresh() bool {
	a.lock.Lock()
	adopted := a.adopted
	a.lock.Unlock()
	return adopted && (a.fresh == nil || a.fresh())
}

// NewAuthenticator returns an Authenticator without keys.
func NewAuthenticator(opts ...Option) *Authenticator {
	a := &Authenticator{}
	for _, o := range opts {
		o(a)
	}
	return a
}

// Authenticate judges a key. If it is accepted, Authenticate also returns its identity and a channel that is closed when
// the key is withdrawn.
func (a *Authenticator) Authenticate(key string) (Identity, <-chan struct{}, Verdict) {
	if !a.IsFresh() {
		return Identity{}, nil, Undecided
	}
	sum := Hash(a.pepper, key)
	a.lock.Lock()
	defer a.lock.Unlock()
	e, ok := a.byHash[sum]
	if !ok || e.key.Withdrawn || !hmac.Equal(e.key.Hash[:], sum[:]) {
		return Identity{}, nil, Refused
	}
	return Identity{Team: e.key.Team, Caller: e.key.Caller}, e.revoked, Accepted
}

// Adopt replaces the keys by those of a configuration. Keys that were removed, withdrawn or changed are revoked.
func (a *Authenticator) Adopt(d configurator.Document) {
	a.lock.Lock()
	defer a.lock.Unlock()
	byHash := make(map[[configurator.HashSize]byte]*keyState)
	byCaller := make(map[identifier.Caller]*keyState)
	for _, k := range d.Keys() {
		e := a.keyStateFor(k)
		byCaller[k.Caller] = e
		if !k.Withdrawn {
			byHash[k.Hash] = e
		}
	}
	for caller, old := range a.byCaller {
		if byCaller[caller] != old {
			revoke(old)
		}
	}
	a.byHash, a.byCaller, a.adopted = byHash, byCaller, true
}

// keyStateFor returns the current state of k if the key is unchanged, otherwise a new one.
func (a *Authenticator) keyStateFor(k configurator.Key) *keyState {
	if old, ok := a.byCaller[k.Caller]; ok && old.key == k {
		return old
	}
	e := &keyState{key: k, revoked: make(chan struct{})}
	if k.Withdrawn {
		close(e.revoked)
	}
	return e
}

func revoke(e *keyState) {
	if !e.key.Withdrawn {
		close(e.revoked)
	}
}
