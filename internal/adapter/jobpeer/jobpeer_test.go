package jobpeer_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/jobpeer"
	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// reader leads one job.
type reader struct {
	mutex    sync.Mutex
	notified []identifier.Job
}

func (r *reader) LocalResults(_ context.Context, id identifier.Job, after int, _ time.Duration) ([]batcher.Result, bool) {
	return []batcher.Result{{Item: identifier.Item(id), Versions: []identifier.Version{identifier.Version(after)}}}, id == "led"
}

func (*reader) AcceptForwarded(_ context.Context, s batcher.Spec) conductor.Acceptance {
	if s.Items[0].Header["Model"] != "m" || s.Submitted.IsZero() {
		return conductor.Refused
	}
	return conductor.Accepted
}

func (r *reader) Refresh(_ context.Context, id identifier.Job) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.notified = append(r.notified, id)
}

// serve starts a process at an address; the returned function ends it with its connections.
func serve(t *testing.T, address string, r *reader) (string, func()) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	kept := &connections{Listener: l}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = jobpeer.Serve(kept, r, nil)
	}()
	return l.Addr().String(), func() {
		_ = l.Close()
		<-done
		kept.closeAll()
	}
}

// connections remembers the connections that it accepts.
type connections struct {
	net.Listener
	mutex sync.Mutex
	all   []net.Conn
}

func (c *connections) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err == nil {
		c.mutex.Lock()
		c.all = append(c.all, conn)
		c.mutex.Unlock()
	}
	return conn, err
}

func (c *connections) closeAll() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, conn := range c.all {
		_ = conn.Close()
	}
}

// Guards against a notice or a read that fails because the kept connection leads to an earlier start of the process.
func TestRestartedPeerIsReached(t *testing.T) {
	c := qt.New(t)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	client := jobpeer.NewClient(dial, timer.NewSystem(), nil)
	var first, second reader
	address, stop := serve(t, "127.0.0.1:0", &first)
	results, ok := client.Results(t.Context(), address, "led", 7, time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(results, qt.DeepEquals, []batcher.Result{{Item: "led", Versions: []identifier.Version{7}}})
	_, ok = client.Results(t.Context(), address, "other", 0, time.Second)
	c.Assert(ok, qt.IsFalse)
	s := batcher.Spec{ID: "job", Submitted: time.Now(), Items: []batcher.Item{{ID: "i", Header: map[string]string{"Model": "m"}}}}
	accepted, ok := client.Submit(t.Context(), address, s)
	c.Assert(ok, qt.IsTrue)
	c.Assert(accepted, qt.Equals, conductor.Accepted)
	stop()
	_, stop = serve(t, address, &second)
	c.Assert(client.Notify(t.Context(), address, "job"), qt.IsTrue)
	c.Assert(second.notified, qt.DeepEquals, []identifier.Job{"job"})
	stop()
	c.Assert(client.Notify(t.Context(), address, "job"), qt.IsFalse)
}
