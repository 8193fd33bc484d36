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
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// handler leads the job "led" and records notifications.
type handler struct {
	mutex    sync.Mutex
	notified []identifier.Job
}

func (h *handler) LocalResults(_ context.Context, id identifier.Job, after int, _ time.Duration) ([]batcher.Result, bool) {
	return []batcher.Result{{Item: identifier.Item(id), Versions: []identifier.Version{identifier.Version(after)}}}, id == "led"
}

func (*handler) AcceptForwarded(_ context.Context, s batcher.Spec) conductor.Acceptance {
	if s.Items[0].Header["Model"] != "m" || s.Submitted.IsZero() {
		return conductor.Refused
	}
	return conductor.Accepted
}

// KnownRecord knows every job but one.
func (*handler) KnownRecord(id identifier.Job) (recorder.Record, bool) {
	return recorder.Record{ID: id, Team: "team", Changed: 7}, id != "unknown"
}

// Refresh fails for one job.
func (h *handler) Refresh(_ context.Context, id identifier.Job) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.notified = append(h.notified, id)
	return id != "unreadable"
}

// serve serves calls at address. The returned function closes the listener and its connections.
func serve(t *testing.T, address string, h *handler) (string, func()) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	tracked := &trackingListener{Listener: l}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = jobpeer.Serve(tracked, jobpeer.Services{Jobs: h})
	}()
	return l.Addr().String(), func() {
		_ = l.Close()
		<-done
		tracked.closeAll()
	}
}

// dial opens a TCP connection.
func dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// trackingListener records the connections that it accepts.
type trackingListener struct {
	net.Listener
	mutex sync.Mutex
	conns []net.Conn
}

func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mutex.Lock()
		l.conns = append(l.conns, conn)
		l.mutex.Unlock()
	}
	return conn, err
}

func (l *trackingListener) closeAll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

// Guards against a notification or a read that fails because the kept connection belongs to a process that has since
// been restarted.
func TestRestartedPeerIsReached(t *testing.T) {
	c := qt.New(t)
	client := jobpeer.NewClient(dial, timer.NewSystem(), nil)
	var first, second handler
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

// Guards against an entry that takes a process which does not know a job for one that has its record.
func TestFind(t *testing.T) {
	c := qt.New(t)
	address, stop := serve(t, "127.0.0.1:0", &handler{})
	defer stop()
	client := jobpeer.NewClient(dial, timer.NewSystem(), nil)
	r, found := client.Find(t.Context(), address, "led")
	c.Assert(found, qt.IsTrue)
	c.Assert(r, qt.Equals, recorder.Record{ID: "led", Team: "team", Changed: 7})
	_, found = client.Find(t.Context(), address, "unknown")
	c.Assert(found, qt.IsFalse)
}
