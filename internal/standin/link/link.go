// Package link is the stand-in for a network link: it passes connections to an address and can let those that exist go
// silent for good while new ones work, swallow what one side sends, delay all data and refuse new connections.
package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Link passes connections from its own address to another.
type Link struct {
	listener net.Listener
	done     sync.WaitGroup

	mu     sync.Mutex
	to     string
	pairs  map[*pair]struct{}
	faults Faults
}

// Faults are what a link does to its connections, present and new. The zero value passes all data at once.
type Faults struct {
	// Refuse resets new connections.
	Refuse bool
	// Deaf swallows what comes from the near side and Mute what comes from the far side.
	Deaf, Mute bool
	// Delay holds each piece of data for that long.
	Delay time.Duration
}

// pair is one connection on both sides of the link. Once silent is closed, no more data passes.
type pair struct {
	link      *Link
	near, far net.Conn
	silent    chan struct{}
	ended     chan struct{}
	once      sync.Once
}

// NewLink starts a link on loopback that leads to an address. Close ends it.
func NewLink(to string) (*Link, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for link: %w", err)
	}
	k := &Link{to: to, listener: l, pairs: make(map[*pair]struct{})}
	k.done.Go(k.accept)
	return k, nil
}

// Address is where the link accepts connections.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Redirect lets new connections lead to another address.
func (l *Link) Redirect(to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.to = to
}

// Set replaces the faults of the link.
func (l *Link) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

func (l *Link) present() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Silence lets the present connections go silent: they stay open and pass nothing. It returns how many there were.
func (l *Link) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for p := range l.pairs {
		select {
		case <-p.silent:
		default:
			close(p.silent)
			n++
		}
	}
	return n
}

// Cut closes the present connections.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.end()
	}
}

// Reset resets the present connections on both sides.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		reset(p.near)
		reset(p.far)
		p.end()
	}
}

// Close cuts the link and accepts no more.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Cut()
	l.done.Wait()
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		to, refuse := l.to, l.faults.Refuse
		l.mu.Unlock()
		if refuse {
			reset(near)
			continue
		}
		far, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", to)
		if err != nil {
			reset(near)
			continue
		}
		p := &pair{link: l, near: near, far: far, silent: make(chan struct{}), ended: make(chan struct{})}
		l.mu.Lock()
		l.pairs[p] = struct{}{}
		l.mu.Unlock()
		l.done.Go(func() { p.pass(near, far) })
		l.done.Go(func() { p.pass(far, near) })
		l.done.Go(func() {
			<-p.ended
			l.mu.Lock()
			defer l.mu.Unlock()
			delete(l.pairs, p)
		})
	}
}

// reset closes a connection so that its other side sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without it the close below is an orderly one
	}
	_ = c.Close()
}

// pass copies one direction. On a silent pair it swallows the data, and passes on the end of neither side.
func (p *pair) pass(from, to net.Conn) {
	_, err := io.Copy(quiet{p: p, to: to}, from)
	select {
	case <-p.silent:
		if err == nil {
			// The end of one side is not seen on the other; the pair stays until the link is cut.
			<-p.ended
		}
	default:
	}
	p.end()
}

func (p *pair) end() {
	p.once.Do(func() {
		close(p.ended)
		_ = p.near.Close()
		_ = p.far.Close()
	})
}

// quiet writes to one side of a pair until the pair goes silent.
type quiet struct {
	p  *pair
	to net.Conn
}

// Write drops b on a silent pair or where the link swallows this direction.
func (q quiet) Write(b []byte) (int, error) {
	f := q.p.link.present()
	if f.Delay > 0 {
		held := time.NewTimer(f.Delay)
		defer held.Stop()
		select {
		case <-held.C:
		case <-q.p.ended:
		}
	}
	if f.Deaf && q.to == q.p.far || f.Mute && q.to == q.p.near {
		return len(b), nil
	}
	select {
	case <-q.p.silent:
		return len(b), nil
	default:
		return q.to.Write(b)
	}
}
