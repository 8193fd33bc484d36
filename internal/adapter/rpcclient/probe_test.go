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

// patientAgent answers a read at once, and a settlement never.
type patientAgent struct{ release chan struct{} }

// Read answers at once.
func (*patientAgent) Read(args messenger.ReadRequest, reply *messenger.ReadReply) error {
	reply.Envelope, reply.Known = args.Envelope, true
	return nil
}

// Settle waits for the release.
func (a *patientAgent) Settle(args messenger.SettleRequest, reply *messenger.SettleReply) error {
	<-a.release
	reply.Envelope = args.Envelope
	return nil
}

// Guards against a connection that went silent and is kept, and against one that is closed although its peer is merely
// slow with a call.
func TestSilentConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	agent := &patientAgent{release: make(chan struct{})}
	way, err := link.NewLink(serve(c, agent))
	c.Assert(err, qt.IsNil)
	c.Cleanup(way.Close)
	c.Cleanup(func() { close(agent.release) })
	client := newClient(c)
	ended := make(chan error, 1)
	settle := func() {
		args := &messenger.SettleRequest{Envelope: messenger.Envelope{ID: "a/0"}}
		ended <- client.Call(context.Background(), way.Address(), "Agent.Settle", args, &messenger.SettleReply{}, time.Minute)
	}
	go settle()
	select {
	case err := <-ended:
		c.Fatalf("a slow call ended: %v", err)
	case <-time.After(3500 * time.Millisecond):
	}
	c.Assert(way.Silence(), qt.Equals, 1)
	select {
	case err := <-ended:
		c.Assert(errors.Is(err, rpcclient.ErrLost), qt.IsTrue, qt.Commentf("%v", err))
	case <-time.After(5 * time.Second):
		c.Fatal("the silent connection is still in use")
	}
	args := &messenger.ReadRequest{Envelope: messenger.Envelope{ID: "b/0"}}
	c.Assert(client.Call(context.Background(), way.Address(), "Agent.Read", args, &messenger.ReadReply{}, time.Second), qt.IsNil)
}
