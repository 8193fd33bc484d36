package jobpeer_test

import (
	"context"
	"io"
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

// Guards against a call that counts as answered, or as not executed, although the process reset the connection while the question was
// still being written, with nothing or a part of an answer before.
func TestResetDuringRelayedCall(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewSystem()
	defer clock.Close()
	question := relayer.Question{
		Kind: relayer.Commit, Transaction: storer.Transaction{}.WithPut("k", make([]byte, 4<<20), 0), Patience: time.Second,
	}
	for _, part := range []string{"", "\x40", "\x40answer"} {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = io.ReadFull(conn, make([]byte, 64<<10))
				_, _ = io.WriteString(conn, part)
				timer.Wait(t.Context(), clock, 2*time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}
		}()
		client := jobpeer.NewRelayClient(dial, clock, nil)
		for range 5 {
			_, delivery := client.Execute(t.Context(), l.Addr().String(), question)
			c.Check(delivery, qt.Equals, relayer.Lost)
		}
		c.Assert(l.Close(), qt.IsNil)
	}
}
