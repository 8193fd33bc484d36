//go:build lockcheck

package container_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/container"
)

// Guards against a lock cycle that no run happens to hit: taking a lower rank under a higher one must stop the process.
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
