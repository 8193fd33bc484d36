package reserver_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/reserver"
)

// Guards against more memory in use than there is, a body larger than all of it that waits for ever, and memory that is not
// given back.
func TestReservations(t *testing.T) {
	c := qt.New(t)
	r := reserver.NewReserver(100)
	ended, end := context.WithCancel(context.Background())
	end()
	release, ok := r.Reserve(context.Background(), 60)
	c.Assert(ok, qt.IsTrue)
	_, ok = r.Reserve(ended, 60)
	c.Assert(ok, qt.IsFalse)
	granted := make(chan func())
	go func() {
		release, _ := r.Reserve(context.Background(), 1000)
		granted <- release
	}()
	release()
	(<-granted)()
	release, ok = r.Reserve(context.Background(), 100)
	c.Assert(ok, qt.IsTrue)
	release()
}

// Guards against a process without a known bound of its memory that refuses large bodies.
func TestNoCapacityBoundsNothing(t *testing.T) {
	c := qt.New(t)
	r := reserver.NewReserver(0)
	for range 3 {
		_, ok := r.Reserve(context.Background(), 1<<30)
		c.Assert(ok, qt.IsTrue)
	}
}
