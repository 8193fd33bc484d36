package rpcclient_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcserver"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/gatekeeper"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// slowAgent answers Read after release is closed, and Settle with the ID of another call.
type slowAgent struct{ release chan struct{} }

// Read waits until release is closed.
func (a *slowAgent) Read(args messenger.ReadRequest, reply *messenger.ReadReply) error {
	<-a.release
	reply.Envelope, reply.Known = args.Envelope, true
	return nil
}

// Settle answers with the ID of another call.
func (*slowAgent) Settle(_ messenger.SettleRequest, reply *messenger.SettleReply) error {
	reply.Envelope = messenger.Envelope{ID: "other/0"}
	return nil
}

func serve(c *qt.C, receiver any) string {
	s := rpcserver.NewServer()
	c.Assert(s.Register("Agent", receiver), qt.IsNil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s.Start(l)
	c.Cleanup(func() { c.Check(s.Close(), qt.IsNil) })
	return l.Addr().String()
}

func newClient(c *qt.C) *rpcclient.Client {
	clock := timer.NewSystem()
	client := rpcclient.NewClient(clock)
	c.Cleanup(clock.Close)
	c.Cleanup(client.Close)
	return client
}

// anyTarget is a rpcclient.StartGate that allows every call.
func anyTarget(router.Target) bool { return true }

// Guards against a data race: net/rpc writes a reply that arrives after the call was cancelled into the value that the
// caller already reads.
func TestLateReplyIsNotShared(t *testing.T) {
	c := qt.New(t)
	agent := &slowAgent{release: make(chan struct{})}
	address := serve(c, agent)
	agents := rpcclient.NewAgents(newClient(c), anyTarget)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, known, delivery := agents.Read(ctx, router.Target{Address: address}, identifier.Attempt{Request: "a"}, 0)
	close(agent.release)
	c.Assert(delivery, qt.Equals, dispatcher.DeliveryUnknown)
	c.Assert(known, qt.IsFalse)
}

// Guards against an answer that is returned to the wrong request.
func TestReplyOfAnotherCallIsRefused(t *testing.T) {
	c := qt.New(t)
	address := serve(c, &slowAgent{})
	client := newClient(c)
	args := &messenger.SettleRequest{Envelope: messenger.Envelope{ID: "a/0"}}
	err := client.Call(context.Background(), address, "Agent.Settle", args, &messenger.SettleReply{}, time.Second)
	c.Assert(errors.Is(err, rpcclient.ErrMismatch), qt.IsTrue)
}

// Guards against a call that is reported as possibly executed although nothing was sent.
func TestRefusedConnectionIsUnsent(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	c.Assert(l.Close(), qt.IsNil)
	_, delivery := rpcclient.NewAgents(newClient(c), anyTarget).Start(context.Background(), router.Target{Address: address}, dispatcher.Start{})
	c.Assert(delivery, qt.Equals, dispatcher.Unsent)
}

// startAgent counts the calls that it admits.
type startAgent struct{ started atomic.Int64 }

// Start admits a call.
func (a *startAgent) Start(args messenger.StartRequest, reply *messenger.StartReply) error {
	a.started.Add(1)
	reply.Envelope, reply.Verdict = args.Envelope, gatekeeper.Admitted
	return nil
}

// Guards against a call that is sent to a target which was excluded while it waited for a new connection, or for a place on the one that
// there is; against one that is then reported as possibly sent; and against a connection that other calls can't use any more.
func TestExcludedCallIsNotSent(t *testing.T) {
	c := qt.New(t)
	agent, excluded := &startAgent{}, false
	clock := timer.NewSystem()
	defer clock.Close()
	client := rpcclient.NewClient(clock, rpcclient.WithDialer(func(_ context.Context, address string) (net.Conn, error) {
		excluded = true
		return net.Dial("tcp", address)
	}))
	defer client.Close()
	address := serve(c, agent)
	agents := rpcclient.NewAgents(client, func(to router.Target) bool { return to.Zone != "za" || !excluded })
	start := func(zone identifier.Zone) dispatcher.Delivery {
		_, delivery := agents.Start(t.Context(), router.Target{ID: "t", Zone: zone, Address: address}, dispatcher.Start{})
		return delivery
	}
	c.Check(start("za"), qt.Equals, dispatcher.Unsent)
	c.Check(start("za"), qt.Equals, dispatcher.Unsent)
	c.Check(agent.started.Load(), qt.Equals, int64(0))
	c.Check(start("zb"), qt.Equals, dispatcher.Delivered)
	excluded = false
	c.Check(start("za"), qt.Equals, dispatcher.Delivered)
	c.Check(agent.started.Load(), qt.Equals, int64(2))
}

// Guards against a body that is sent although a configuration that excludes its target was adopted while the connection was set up.
func TestExcludedTargetGetsNothing(t *testing.T) {
	c := qt.New(t)
	var received strings.Builder
	agent, process := net.Pipe()
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		_, _ = io.Copy(&received, agent)
	}()
	clock := timer.NewSystem()
	defer clock.Close()
	connected := false
	client := rpcclient.NewClient(clock, rpcclient.WithDialer(func(context.Context, string) (net.Conn, error) {
		connected = true
		return process, nil
	}))
	start := dispatcher.Start{Call: executor.Call{Prompt: "excluded"}, Permitted: func() bool { return !connected }}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, delivery := rpcclient.NewAgents(client, anyTarget).Start(ctx, router.Target{Address: "agent"}, start)
	client.Close()
	<-copied
	c.Assert(delivery, qt.Equals, dispatcher.Unsent)
	c.Assert(received.String(), qt.Equals, "")
}
