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
}

// Begin records that the target received an attempt.
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
	f := t.running[a]
	if !crashed {
		delete(t.running, a)
		return Crash{}
	}
	if now.Sub(t.last.At) > maxCrashSpread || !t.last.contains(f) {
		t.last = Crash{ID: CrashID{Request: a.Request, Number: a.Number}, At: now}
		seen := make(map[Fingerprint]bool, len(t.running))
		for _, r := range t.running {
			if !seen[r] {
				seen[r] = true
				t.last.Suspects = append(t.last.Suspects, r)
			}
		}
	}
	delete(t.running, a)
	return t.last
}
