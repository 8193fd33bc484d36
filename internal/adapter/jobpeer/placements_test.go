package jobpeer_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/jobpeer"
	"github.com/mimosalb/mimosalb/internal/announcer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Guards against a process of an earlier release, which does not know a call, that loses its connection with each of them, and with it the
// other calls that wait there for an answer.
func TestUnknownCallKeepsTheConnection(t *testing.T) {
	c := qt.New(t)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	tracked := &trackingListener{Listener: l}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = jobpeer.Serve(tracked, jobpeer.Services{Jobs: &handler{}})
	}()
	client, address := jobpeer.NewClient(dial, timer.NewSystem(), nil), l.Addr().String()
	for range 3 {
		c.Assert(client.Notify(t.Context(), address, "job"), qt.IsTrue)
		c.Assert(client.TellPlacements(t.Context(), address, announcer.Notice{Number: 1}), qt.IsFalse)
	}
	_ = l.Close()
	<-done
	c.Assert(tracked.conns, qt.HasLen, 1)
	tracked.closeAll()
}
