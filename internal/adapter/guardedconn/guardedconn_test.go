package guardedconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/guardedconn"
	"github.com/mimosalb/mimosalb/internal/guarder"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// startServer starts a server, with a guard unless that is nil, and returns its URL.
func startServer(tb testing.TB, g *guarder.Guarder) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		guardedconn.Of(r).Complete()
		_, _ = w.Write(body)
	})}
	address := "http://" + l.Addr().String()
	if g != nil {
		guardedconn.Guard(server)
		l = guardedconn.NewListener(l, g)
		ctx, stop := context.WithCancel(context.Background())
		tb.Cleanup(stop)
		go g.Run(ctx)
	}
	go func() { _ = server.Serve(l) }()
	tb.Cleanup(func() { _ = server.Close() })
	return address
}

// Guards against room that is not returned at the end of a request or of its connection, so that a process that has served for long
// serves nobody.
func TestRoomIsReturned(t *testing.T) {
	c := qt.New(t)
	g := guarder.NewGuarder("test", guarder.NewCheckLimits(0), timer.NewSystem(), nil)
	url := startServer(t, g)
	transport := &http.Transport{}
	client := &http.Client{Transport: transport}
	for range 20 {
		req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(strings.Repeat("x", 100_000)))
		c.Assert(err, qt.IsNil)
		for i := range 200 {
			req.Header.Set("Field-"+strings.Repeat("x", i%40+1), strings.Repeat("v", 100))
		}
		resp, err := client.Do(req)
		c.Assert(err, qt.IsNil)
		n, err := io.Copy(io.Discard, resp.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, int64(100_000))
		c.Assert(resp.Body.Close(), qt.IsNil)
	}
	transport.CloseIdleConnections()
	poll := time.NewTicker(time.Millisecond)
	defer poll.Stop()
	for deadline := time.Now().Add(10 * time.Second); g.State() != (guarder.State{}) && time.Now().Before(deadline); {
		<-poll.C
	}
	c.Assert(g.State(), qt.Equals, guarder.State{})
}

// BenchmarkRequest measures what a guard costs a small request on a kept connection.
func BenchmarkRequest(b *testing.B) {
	for _, name := range []string{"plain", "guarded"} {
		b.Run(name, func(b *testing.B) {
			var g *guarder.Guarder
			if name == "guarded" {
				g = guarder.NewGuarder("test", guarder.NewCallerLimits(0, 0), timer.NewSystem(), nil)
			}
			url := startServer(b, g)
			b.ReportAllocs()
			for b.Loop() {
				resp, err := http.Post(url, "text/plain", strings.NewReader("a small body"))
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}
