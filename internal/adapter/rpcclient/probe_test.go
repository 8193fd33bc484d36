package rpcclient_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/standin/link"
)

// stalledAgent answers Read at once, and Settle only after release is closed.
type stalledAgent struct{ release chan struct{} }

// Read answers at once.
func (*stalledAgent) Read(args messenger.ReadRequest, reply *messenger.ReadReply) error {
	reply.Envelope, reply.Known = args.Envelope, true
	return nil
}

// Settle waits until release is closed.
func (a *stalledAgent) Settle(args messenger.SettleRequest, reply *messenger.SettleReply) error {
	<-a.release
	reply.Envelope = args.Envelope
	return nil
}

// Guards against a silent connection that stays in use, and against a connection that is closed although its peer only
// takes long to answer a call.
func TestSilentConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	agent := &stalledAgent{release: make(chan struct{})}
	proxy, err := link.NewLink(serve(c, agent))
	c.Assert(err, qt.IsNil)
	c.Cleanup(proxy.Close)
	c.Cleanup(func() { close(agent.release) })
	client := newClient(c)
	ended := make(chan error, 1)
	settle := func() {
		args := &messenger.SettleRequest{Envelope: messenger.Envelope{ID: "a/0"}}
		ended <- client.Call(context.Background(), proxy.Address(), "Agent.Settle", args, &messenger.SettleReply{}, time.Minute)
	}
	go settle()
	select {
	case err := <-ended:
		c.Fatalf("a slow call ended: %v", err)
	case <-time.After(3500 * time.Millisecond):
	}
	c.Assert(proxy.Silence(), qt.Equals, 1)
	select {
	case err := <-ended:
		c.Assert(errors.Is(err, rpcclient.ErrLost), qt.IsTrue, qt.Commentf("%v", err))
	case <-time.After(5 * time.Second):
		c.Fatal("the silent connection is still in use")
	}
	args := &messenger.ReadRequest{Envelope: messenger.Envelope{ID: "b/0"}}
	c.Assert(client.Call(context.Background(), proxy.Address(), "Agent.Read", args, &messenger.ReadReply{}, time.Second), qt.IsNil)
}
