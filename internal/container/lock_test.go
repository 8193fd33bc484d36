//go:build lockcheck

package container_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/container"
)

// Guards against lock cycles that deadlock only under rare timing: taking a lock while one of a higher rank is held
// must panic each time, also when no other goroutine waits.
func TestLockOrderIsChecked(t *testing.T) {
	c := qt.New(t)
	var low container.Lock[container.Tracker]
	var high container.Lock[container.Meter]
	var rows container.Table[container.Meter, int, int]
	low.Lock()
	rows.Put(1, 1)
	low.Unlock()
	high.Lock()
	defer high.Unlock()
	c.Assert(low.Lock, qt.PanicMatches, "invariant lock-order.*")
}
