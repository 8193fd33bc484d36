package jobpeer_test

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/jobpeer"
	"github.com/mimosalb/mimosalb/internal/relayer"
	"github.com/mimosalb/mimosalb/internal/standin/keyvalue"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Guards against a call whose outcome is unknown that is taken for one that was not executed, or the other way round, and against a read
// that is broken off and takes a write on the same connection with it.
func TestRelayedCalls(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewSystem()
	kv := keyvalue.NewService(clock)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address, tracked := l.Addr().String(), &trackingListener{Listener: l}
	executor := relayer.NewExecutor(kv, relayer.NewPath(clock), storer.NewStorer(kv, clock), clock, nil)
	go func() { _ = jobpeer.Serve(tracked, jobpeer.Services{Relays: executor}) }()
	client := jobpeer.NewRelayClient(dial, clock, nil)
	write := relayer.Question{Kind: relayer.Commit, Transaction: storer.Transaction{}.WithPut("k", []byte("v"), 0), Patience: time.Second}
	kv.Set(keyvalue.Faults{WriteTime: 300 * time.Millisecond})
	reading, cancel := context.WithCancel(t.Context())
	go func() {
		timer.Wait(t.Context(), clock, 100*time.Millisecond)
		cancel()
	}()
	go client.Execute(reading, address, relayer.Question{Kind: relayer.Changes, After: 9, Wait: time.Second, Patience: time.Second})
	a, delivery := client.Execute(t.Context(), address, write)
	c.Assert(delivery, qt.Equals, relayer.Delivered)
	c.Assert(a, qt.DeepEquals, relayer.Answer{Executed: true, Outcome: storer.Applied})
	go func() {
		timer.Wait(t.Context(), clock, 100*time.Millisecond)
		_ = l.Close()
		tracked.closeAll()
	}()
	_, delivery = client.Execute(t.Context(), address, write)
	c.Assert(delivery, qt.Equals, relayer.Lost)
	_, delivery = client.Execute(t.Context(), address, write)
	c.Assert(delivery, qt.Equals, relayer.Undelivered)
	older, stop := serve(t, "127.0.0.1:0", &handler{})
	defer stop()
	_, delivery = client.Execute(t.Context(), older, write)
	c.Assert(delivery, qt.Equals, relayer.Undelivered)
}
