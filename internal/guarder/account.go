package guarder

import (
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Account is what a Guarder knows of one connection. Its state changes without the lock of the Guarder, so that a regular request
// takes that lock only when it is complete or large.
type Account struct {
	guarder *Guarder
	client  string
	cut     func()

	phase atomic.Uint32
	known atomic.Bool
	// large is set while the request holds memory that is reserved elsewhere.
	large atomic.Bool
	// began and progressed are times since the start of the Guarder: of the phase, and of its last byte. moved counts its bytes.
	began, progressed, moved atomic.Int64
	// awaiting is the time since which the process waits for bytes, or zero. A process that is busy with what came is not waiting.
	awaiting atomic.Int64
	// blocked is the time of the last progress of a write that has not ended, or zero.
	blocked atomic.Int64

	// shares are what the account has of each pool, and leaving is set once it is being closed. The lock of the Guarder guards both.
	shares  [poolCount]identifier.Bytes
	leaving bool
	waiting *claim
}

// Enter sets what the connection is doing.
func (a *Account) Enter(p Phase) {
	now := a.guarder.now()
	a.moved.Store(0)
	a.began.Store(now)
	a.progressed.Store(now)
	a.phase.Store(uint32(p))
}

// Phase returns what the connection is doing.
func (a *Account) Phase() Phase { return Phase(a.phase.Load()) }

// Progress records that n bytes came.
func (a *Account) Progress(n int) {
	a.moved.Add(int64(n))
	a.progressed.Store(a.guarder.now())
}

// Await records whether the process waits for bytes of the client.
func (a *Account) Await(waits bool) {
	if !waits {
		a.awaiting.Store(0)
		return
	}
	a.awaiting.Store(a.guarder.now())
}

// Know records that the connection has brought a request that the process knows.
func (a *Account) Know() {
	if !a.known.Load() {
		a.known.Store(true)
	}
}

// SetLarge records whether the request holds memory that is reserved elsewhere.
func (a *Account) SetLarge(large bool) { a.large.Store(large) }

// Wrote records the progress of a write. It is called before the write, after each part, and with done set after the last one.
func (a *Account) Wrote(done bool) {
	if done {
		a.blocked.Store(0)
		return
	}
	a.blocked.Store(a.guarder.now())
}

// Reserve reserves n bytes and waits until they are free. It returns false if they are not free in time, or if the connection is
// closed.
func (a *Account) Reserve(n identifier.Bytes) bool { return a.guarder.reserve(a, memoryPool, n) }

// Hold adds n bytes that the process holds already, whether they are free or not.
func (a *Account) Hold(n identifier.Bytes) { a.guarder.hold(a, n) }

// Release returns n bytes.
func (a *Account) Release(n identifier.Bytes) {
	if n > 0 {
		a.guarder.hold(a, -n)
	}
}

// AwaitLarge records that the request waits for memory that is reserved elsewhere, until the returned function is called.
func (a *Account) AwaitLarge() (done func()) { return a.guarder.awaitLarge() }

// MaxMessage returns the largest message that has no other bound, or zero.
func (a *Account) MaxMessage() identifier.Bytes { return a.guarder.limits.MaxMessage }

// Close returns everything. It is called when the connection is no longer served.
func (a *Account) Close() { a.guarder.remove(a) }

// candidate returns the state of the account at a time.
func (a *Account) candidate(now int64) Candidate {
	c := Candidate{
		Phase: a.Phase(), Known: a.known.Load(), Large: a.large.Load(), Age: time.Duration(now - a.began.Load()),
		Quiet: time.Duration(now - a.progressed.Load()), Moved: identifier.Bytes(a.moved.Load()), IdleTime: a.guarder.limits.IdleTime,
	}
	switch since := a.awaiting.Load(); {
	case c.Phase != Reading:
	case since == 0:
		c.Age, c.Quiet = 0, 0
	default:
		c.Quiet = min(c.Quiet, time.Duration(now-since))
	}
	if since := a.blocked.Load(); since > 0 {
		c.Blocked = time.Duration(now - since)
	}
	return c
}
