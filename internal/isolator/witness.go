package isolator

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// crashSpread is how far apart the attempts that one crash breaks may end.
const crashSpread = time.Second

// CrashTracker is an agent's memory of what its target runs. The zero value has seen nothing.
//
// Invariant: attempts that end by one crash name the same crash with the same suspects. Lock rank:
// container.RankIsolator.
type CrashTracker struct {
	lock    container.Lock[container.Isolator]
	running map[identifier.Attempt]Fingerprint
	last    Crash
}

// Begin records that the target got an attempt.
func (w *CrashTracker) Begin(a identifier.Attempt, f Fingerprint) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if w.running == nil {
		w.running = make(map[identifier.Attempt]Fingerprint)
	}
	w.running[a] = f
}

// End records that an attempt has ended. If it ended by a crash, that crash is returned.
func (w *CrashTracker) End(a identifier.Attempt, crashed bool, now time.Time) Crash {
	w.lock.Lock()
	defer w.lock.Unlock()
	f := w.running[a]
	if !crashed {
		delete(w.running, a)
		return Crash{}
	}
	if now.Sub(w.last.At) > crashSpread || !w.last.suspects(f) {
		w.last = Crash{ID: CrashID(a), At: now}
		seen := make(map[Fingerprint]bool, len(w.running))
		for _, r := range w.running {
			if !seen[r] {
				seen[r] = true
				w.last.Suspects = append(w.last.Suspects, r)
			}
		}
	}
	delete(w.running, a)
	return w.last
}
