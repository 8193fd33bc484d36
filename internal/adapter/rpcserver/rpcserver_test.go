package rpcserver_test

import (
	"net"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/rpcserver"
)

// lateListener accepts one connection after its close has begun, when everybody else waits.
type lateListener struct {
	closing  chan struct{}
	accepted net.Conn
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closing
	if l.accepted == nil {
		return nil, net.ErrClosed
	}
	synctest.Wait()
	c := l.accepted
	l.accepted = nil
	return c, nil
}

func (l *lateListener) Close() error {
	close(l.closing)
	return nil
}

func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a process that never stops: a connection that was accepted while the server closed stayed open, and Close waited
// for its peer to close it.
func TestCloseEndsLateConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accepted, peer := net.Pipe()
		defer peer.Close()
		s := rpcserver.NewServer()
		s.Start(&lateListener{closing: make(chan struct{}), accepted: accepted})
		qt.Assert(t, s.Close(), qt.IsNil)
	})
}
