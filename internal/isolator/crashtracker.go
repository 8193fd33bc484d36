package isolator

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// maxCrashSpread is the longest time between the first and the last attempt that one crash ends.
const maxCrashSpread = time.Second

// CrashTracker records the attempts that run on an agent's target and the target's last crash. The zero value has no
// attempts and no crash.
//
// Invariant: all attempts that end by one crash get the same crash with the same suspects. Lock rank:
// container.RankIsolator.
type CrashTracker struct {
	lock    container.Lock[container.Isolator]
	running map[identifier.Attempt]Fingerprint
	last    Crash
	// lastAttempts are the attempts that were running at the last crash.
	lastAttempts map[identifier.Attempt]bool
}

// Begin records that the target received an attempt. The fingerprint is zero if its request is never suspected.
func (t *CrashTracker) Begin(a identifier.Attempt, f Fingerprint) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.running == nil {
		t.running = make(map[identifier.Attempt]Fingerprint)
	}
	t.running[a] = f
}

// End records that an attempt has ended. If the target crashed, it returns that crash.
func (t *CrashTracker) End(a identifier.Attempt, crashed bool, now time.Time) Crash {
	t.lock.Lock()
	defer t.lock.Unlock()
	defer delete(t.running, a)
	if !crashed {
		return Crash{}
	}
	if now.Sub(t.last.At) > maxCrashSpread || !t.lastAttempts[a] {
		t.recordCrash(a, now)
	}
	return t.last
}

// recordCrash records a crash that ended attempt a first, and all that are running. The caller holds the lock.
func (t *CrashTracker) recordCrash(a identifier.Attempt, now time.Time) {
	t.last = Crash{ID: CrashID{Request: a.Request, Number: a.Number}, At: now}
	t.lastAttempts = make(map[identifier.Attempt]bool, len(t.running))
	for attempt, f := range t.running {
		t.lastAttempts[attempt] = true
		if f != (Fingerprint{}) && !t.last.contains(f) {
			t.last.Suspects = append(t.last.Suspects, f)
		}
	}
}
