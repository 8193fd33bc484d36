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
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
	"github.com/mimosalb/mimosalb/internal/container"
)

// handshakeTimeout bounds the TLS handshake of a connection. Without it a peer that sends nothing would hold its
// connection for good.
const handshakeTimeout = 5 * time.Second

// DefaultInFlight bounds the calls of one connection that run at a time. Further calls wait in the socket.
const DefaultInFlight = 1024

// Server accepts connections and serves the registered receivers on them.
type Server struct {
	rpc      *rpc.Server
	tls      *tls.Config
	inFlight int
	listener net.Listener
	conns    container.Table[container.Connection, net.Conn, *codec]
	done     sync.WaitGroup
}

// Option sets a property of a Server.
type Option func(*Server)

// WithTLS serves over TLS. Without it the server speaks plain text.
func WithTLS(c *tls.Config) Option { return func(s *Server) { s.tls = c } }

// WithInFlight bounds the calls of one connection that run at a time.
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

// peer serves what every process of the system answers.
type peer struct{}

// Ping answers the probe of a connection.
func (peer) Ping(messenger.PingRequest, *messenger.PingReply) error { return nil }

// Register adds the methods of receiver under name.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("register %s: %w", name, err)
	}
	return nil
}

// Start serves connections of l until Close.
func (s *Server) Start(l net.Listener) {
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	s.listener = l
	s.done.Add(1)
	go s.accept(l)
}

// Drain waits until the replies of the open calls are written or ctx ends. Calls that come meanwhile are served.
func (s *Server) Drain(ctx context.Context) {
	for _, c := range s.conns.Values() {
		select {
		case <-c.open.none():
		case <-ctx.Done():
			return
		}
	}
}

// Close stops the listener, closes all connections and waits for their goroutines.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.conns.Each(func(c net.Conn, _ *codec) bool {
		_ = c.Close()
		return true
	})
	s.done.Wait()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("close listener: %w", err)
	}
	return nil
}

func (s *Server) accept(l net.Listener) {
	defer s.done.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		serving := newCodec(c, s.inFlight)
		s.conns.Put(c, serving)
		s.done.Add(1)
		go s.serve(c, serving)
	}
}

func (s *Server) serve(c net.Conn, serving *codec) {
	defer s.done.Done()
	defer s.conns.Delete(c)
	if !shakeHands(c) {
		_ = c.Close()
		return
	}
	s.rpc.ServeCodec(serving)
}

// shakeHands completes the TLS handshake of c in time; a plain connection has none.
func shakeHands(c net.Conn) bool {
	t, ok := c.(*tls.Conn)
	if !ok {
		return true
	}
	if t.SetDeadline(time.Now().Add(handshakeTimeout)) != nil || t.HandshakeContext(context.Background()) != nil {
		return false
	}
	return t.SetDeadline(time.Time{}) == nil
}
