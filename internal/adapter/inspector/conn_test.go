package inspector_test

import (
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/inspector"
)

// connect returns the two ends of a connection.
func connect(c *qt.C) (*inspector.Conn, *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = raw.Close() })
	peer, err := l.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = peer.Close() })
	return inspector.NewConn(raw), peer.(*net.TCPConn)
}

// reset resets the connection of a peer.
func reset(c *qt.C, peer *net.TCPConn) {
	c.Check(peer.SetLinger(0), qt.IsNil)
	c.Check(peer.Close(), qt.IsNil)
}

// requestBytes is more than a connection on loopback takes from a writer whose peer does not read.
const requestBytes = 16 << 20

// Guards against a connection that was reset, whose reset the write of the request has met, and that seems to end in order: the system
// reports the reset to one call only. It also guards against an end in order that passes for a reset because one followed it.
func TestEnds(t *testing.T) {
	cases := []struct {
		name string
		end  func(c *qt.C, peer *net.TCPConn)
		// first is set if the answer is read before the write has ended, else after.
		first bool
		whole bool
	}{
		{"reset, write ends first", reset, false, false},
		{"reset, read waits", reset, true, false},
		{"closed, then reset", func(c *qt.C, peer *net.TCPConn) {
			c.Check(peer.CloseWrite(), qt.IsNil)
			reset(c, peer)
		}, false, true},
		{"closed", func(c *qt.C, peer *net.TCPConn) { c.Check(peer.CloseWrite(), qt.IsNil) }, true, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for range 10 {
				c := qt.New(t)
				conn, peer := connect(c)
				_, err := peer.Write([]byte("part"))
				c.Assert(err, qt.IsNil)
				part := make([]byte, len("pa"))
				_, err = io.ReadFull(conn, part)
				c.Assert(err, qt.IsNil)
				written := make(chan struct{})
				go func() {
					defer close(written)
					_, _ = io.Copy(conn, strings.NewReader(strings.Repeat("x", requestBytes)))
				}()
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					// Once the peer has read some of the request, the write is in progress.
					_, _ = io.ReadFull(peer, make([]byte, 64<<10))
					tc.end(c, peer)
				}()
				if !tc.first {
					<-ended
					<-written
				}
				rest, err := io.ReadAll(conn)
				c.Check(string(rest), qt.Equals, "rt")
				c.Check(err == nil, qt.Equals, tc.whole, qt.Commentf("%v", err))
				<-ended
				_ = conn.Close()
				<-written
			}
		})
	}
}

// stalledConn returns from a failed write only when it may.
type stalledConn struct {
	net.Conn
	failed, resume chan struct{}
}

func (s *stalledConn) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	if err != nil {
		close(s.failed)
		<-s.resume
	}
	return n, err
}

// Guards against a read that reports an end in order while the write that has met the reset has not recorded it yet.
func TestEndWaitsForWrites(t *testing.T) {
	c := qt.New(t)
	inner, peer := connect(c)
	stalled := &stalledConn{Conn: inner.Conn, failed: make(chan struct{}), resume: make(chan struct{})}
	conn := inspector.NewConn(stalled)
	go func() { _, _ = conn.Write(make([]byte, requestBytes)) }()
	_, err := io.ReadFull(peer, make([]byte, 1))
	c.Assert(err, qt.IsNil)
	reset(c, peer)
	<-stalled.failed
	end := make(chan error)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		end <- err
	}()
	select {
	case err := <-end:
		t.Fatalf("the read has ended before the write: %v", err)
	default:
	}
	close(stalled.resume)
	c.Assert(<-end, qt.ErrorMatches, "the connection broke while the request was written: .*reset by peer")
}
