// Package answerer is a stand-in for a server that answers HTTP requests with given bytes, whatever they are, and then ends the connection
// in a given way.
package answerer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// End is how a server ends a connection.
type End int

const (
	// Keep keeps the connection open for the next request.
	Keep End = iota
	// Close closes the connection in order and reads on until the client closes it too.
	Close
	// Reset resets the connection.
	Reset
	// CloseThenReset closes the connection in order and resets it later, without having read all of the request.
	CloseThenReset
)

// Answer is the answer to one request. The zero value is none.
type Answer struct {
	// Text is written as it is.
	Text string
	// Early is set if the answer is written before the body of the request is read.
	Early bool
	End   End
}

// pause is the time between the answer and the end of the connection. The client reads and writes then.
const pause = 2 * time.Millisecond

// Server answers requests on loopback.
type Server struct {
	listener net.Listener
	// next returns the answer to a request, which is the nth on its connection, counted from one.
	next func(r *http.Request, nth int) Answer
	// goroutines counts the goroutines that Close waits for.
	goroutines sync.WaitGroup

	lock     sync.Mutex
	requests int
	conns    map[net.Conn]struct{}
}

// NewServer starts a server. Close ends it.
func NewServer(next func(r *http.Request, nth int) Answer) (*Server, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err //nolint:wrapcheck // the error says what failed
	}
	s := &Server{listener: l, next: next, conns: make(map[net.Conn]struct{})}
	s.goroutines.Go(s.accept)
	return s, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests whose head has arrived.
func (s *Server) Requests() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.requests
}

// Close ends the server and its connections.
func (s *Server) Close() {
	_ = s.listener.Close() // ends accept
	s.lock.Lock()
	for conn := range s.conns {
		_ = conn.Close() // ends serve
	}
	s.conns = nil
	s.lock.Unlock()
	s.goroutines.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.lock.Lock()
		if s.conns == nil {
			_ = conn.Close() // the server has ended
		} else {
			s.conns[conn] = struct{}{}
			s.goroutines.Go(func() { s.serve(conn.(*net.TCPConn)) }) //nolint:forcetypeassert // the listener is of TCP
		}
		s.lock.Unlock()
	}
}

// serve answers the requests on a connection.
func (s *Server) serve(conn *net.TCPConn) {
	defer func() {
		_ = conn.Close() // it may have been closed
		s.lock.Lock()
		delete(s.conns, conn)
		s.lock.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for nth := 1; ; nth++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.lock.Lock()
		s.requests++
		s.lock.Unlock()
		a := s.next(r, nth)
		if !a.Early {
			_, _ = io.Copy(io.Discard, r.Body) // the answer does not depend on the body
		}
		if _, err := io.WriteString(conn, a.Text); err != nil {
			return
		}
		if a.End == Keep {
			_, _ = io.Copy(io.Discard, r.Body) // the next request follows it
			continue
		}
		end(conn, reader, a.End)
		return
	}
}

// end ends a connection.
func end(conn *net.TCPConn, reader io.Reader, how End) {
	wait := time.NewTimer(pause)
	defer wait.Stop()
	if how == CloseThenReset {
		_ = conn.CloseWrite() // fails if the client has closed the connection
	}
	<-wait.C
	switch how {
	case Close:
		_ = conn.CloseWrite()              // fails if the client has closed the connection
		_, _ = io.Copy(io.Discard, reader) // ends when the client closes its side
	case Reset, CloseThenReset:
		_ = conn.SetLinger(0) // the close then resets the connection
	case Keep:
	}
}
