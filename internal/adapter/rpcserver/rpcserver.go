// Package rpcserver serves net/rpc to the system's own processes.
package rpcserver

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/guardedconn"
	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/adapter/rpccodec"
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/guarder"
)

// handshakeTimeout limits the TLS handshake of a connection. Without it a peer that sends nothing would keep its
// connection open forever.
const handshakeTimeout = 5 * time.Second

// DefaultInFlight limits the calls of one connection that run at the same time. Further calls stay unread in the
// socket.
const DefaultInFlight = rpccodec.DefaultInFlight

// Server accepts connections and serves the registered receivers on them.
type Server struct {
	rpc      *rpc.Server
	tls      *tls.Config
	inFlight int
	guard    *guarder.Guarder
	listener net.Listener
	conns    container.Table[container.Connection, net.Conn, *rpccodec.Codec]
	tasks    sync.WaitGroup
	// closing is set before the connections are closed. One that is accepted meanwhile is closed by the goroutine that accepted it.
	closing atomic.Bool
}

// Option sets a property of a Server.
type Option func(*Server)

// WithTLS serves over TLS. Without it the server speaks plain text.
func WithTLS(c *tls.Config) Option { return func(s *Server) { s.tls = c } }

// WithGuard bounds what the connections make the process hold. Without it nothing does.
func WithGuard(g *guarder.Guarder) Option { return func(s *Server) { s.guard = g } }

// WithInFlight limits the calls of one connection that run at the same time.
func WithInFlight(n int) Option { return func(s *Server) { s.inFlight = n } }

// NewServer returns a Server without receivers.
func NewServer(opts ...Option) *Server {
	s := &Server{rpc: rpc.NewServer(), inFlight: DefaultInFlight}
	for _, o := range opts {
		o(s)
	}
	if err := s.Register("Peer", peer{}); err != nil {
		panic("invariant peer-methods: " + err.Error())
	}
	return s
}

// peer is the net/rpc receiver that every process of the system has.
type peer struct{}

// Ping answers the client's probe of a connection.
func (peer) Ping(messenger.PingRequest, *messenger.PingReply) error { return nil }

// Register serves the methods of receiver under name.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("register %s: %w", name, err)
	}
	return nil
}

// Start serves connections of l until Close.
func (s *Server) Start(l net.Listener) {
	if s.guard != nil {
		l = guardedconn.NewListener(l, s.guard)
	}
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	s.listener = l
	s.tasks.Add(1)
	go s.accept(l)
}

// Drain waits until the replies to the open calls are written or ctx ends. Calls that arrive meanwhile are still
// served.
func (s *Server) Drain(ctx context.Context) {
	for _, c := range s.conns.Values() {
		select {
		case <-c.Drained():
		case <-ctx.Done():
			return
		}
	}
}

// Close stops the listener, closes all connections and waits for their goroutines.
func (s *Server) Close() error {
	s.closing.Store(true)
	err := s.listener.Close()
	s.conns.Each(func(c net.Conn, _ *rpccodec.Codec) bool {
		_ = c.Close()
		return true
	})
	s.tasks.Wait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close listener: %w", err)
	}
	return nil
}

func (s *Server) accept(l net.Listener) {
	defer s.tasks.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		cc := rpccodec.New(c, s.inFlight)
		s.conns.Put(c, cc)
		if s.closing.Load() {
			_ = c.Close()
		}
		s.tasks.Add(1)
		go s.serve(c, cc)
	}
}

func (s *Server) serve(c net.Conn, cc *rpccodec.Codec) {
	defer s.tasks.Done()
	defer s.conns.Delete(c)
	if !completeHandshake(c) {
		_ = c.Close()
		return
	}
	s.rpc.ServeCodec(cc)
}

// completeHandshake runs the TLS handshake of c and reports whether it succeeded within handshakeTimeout. For a plain
// connection it returns true.
func completeHandshake(c net.Conn) bool {
	t, ok := c.(*tls.Conn)
	if !ok {
		return true
	}
	if t.SetDeadline(time.Now().Add(handshakeTimeout)) != nil || t.HandshakeContext(context.Background()) != nil {
		return false
	}
	return t.SetDeadline(time.Time{}) == nil
}
