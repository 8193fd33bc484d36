// Package link is a stand-in for a network link: a TCP proxy that forwards connections to an address. It can stall the
// existing connections for good while new ones work, discard what one side sends, delay all data and refuse new
// connections.
package link

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// Link forwards connections from its own address to a destination.
type Link struct {
	listener net.Listener
	// goroutines counts the goroutines that Close waits for.
	goroutines sync.WaitGroup

	mu          sync.Mutex
	destination string
	pairs       map[*pair]struct{}
	faults      Faults
	watched     string
	carried     int
}

// Faults are the faults of a link. They apply to existing and to new connections. The zero value forwards all
// data without delay.
type Faults struct {
	// Refuse resets new connections.
	Refuse bool
	// DropRequests discards the data from the near side, which connected to the link. DropReplies discards the data
	// from the far side, the destination.
	DropRequests, DropReplies bool
	// Delay is the time by which each write is delayed.
	Delay time.Duration
}

// pair holds the two connections of a forwarded one: near was accepted by the link, far leads to the destination.
// Once silent is closed, no more data is forwarded. ended is closed when both connections are closed.
type pair struct {
	link      *Link
	near, far net.Conn
	silent    chan struct{}
	ended     chan struct{}
	once      sync.Once
	// tail is the end of the data from near, in which a watched text may have begun.
	tail []byte
}

// NewLink starts a link on a free loopback port that forwards to destination. Close ends it.
func NewLink(destination string) (*Link, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for link: %w", err)
	}
	link := &Link{destination: destination, listener: l, pairs: make(map[*pair]struct{})}
	link.goroutines.Go(link.accept)
	return link, nil
}

// Address returns the address at which the link accepts connections.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Redirect forwards new connections to another destination.
func (l *Link) Redirect(destination string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.destination = destination
}

// Set replaces the faults of the link.
func (l *Link) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Watch counts from now on how often a text passes on the way to the destination.
func (l *Link) Watch(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watched, l.carried = text, 0
}

// Carried returns how often the watched text has passed.
func (l *Link) Carried() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried
}

// count counts the watched text in the next data from the near side of a pair.
func (l *Link) count(p *pair, b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.watched == "" {
		return
	}
	data := slices.Concat(p.tail, b)
	l.carried += bytes.Count(data, []byte(l.watched))
	p.tail = data[max(0, len(data)-len(l.watched)+1):]
}

func (l *Link) currentFaults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Silence stalls the existing connections for good: they stay open, and all data is discarded. It returns how many
// connections it stalled.
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

// Cut closes the existing connections.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.end()
	}
}

// Reset closes the existing connections with a TCP reset on both sides.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		reset(p.near)
		reset(p.far)
		p.end()
	}
}

// Close stops accepting connections, closes the existing ones and waits for the goroutines of the link.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Cut()
	l.goroutines.Wait()
}

func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		destination, refuse := l.destination, l.faults.Refuse
		l.mu.Unlock()
		if refuse {
			reset(near)
			continue
		}
		far, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", destination)
		if err != nil {
			reset(near)
			continue
		}
		p := &pair{link: l, near: near, far: far, silent: make(chan struct{}), ended: make(chan struct{})}
		l.mu.Lock()
		l.pairs[p] = struct{}{}
		l.mu.Unlock()
		l.goroutines.Go(func() { p.forward(near, far) })
		l.goroutines.Go(func() { p.forward(far, near) })
		l.goroutines.Go(func() {
			<-p.ended
			l.mu.Lock()
			defer l.mu.Unlock()
			delete(l.pairs, p)
		})
	}
}

// reset closes a connection so that its peer sees a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // otherwise Close ends the connection with a FIN
	}
	_ = c.Close()
}

// forward copies one direction until an error or the end of the data, then closes the pair. On a silent pair it
// discards the data and doesn't propagate the end of either side.
func (p *pair) forward(from, to net.Conn) {
	_, err := io.Copy(faultWriter{p: p, to: to}, from)
	select {
	case <-p.silent:
		if err == nil {
			// The other side must not see the end of this one, so the pair stays open until the other direction fails
			// or the link is cut.
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

// faultWriter writes to one side of a pair and applies the faults of the link. On a silent pair it discards the data.
type faultWriter struct {
	p  *pair
	to net.Conn
}

// Write discards b on a silent pair or when a fault discards this direction.
func (w faultWriter) Write(b []byte) (int, error) {
	f := w.p.link.currentFaults()
	if f.Delay > 0 {
		delay := time.NewTimer(f.Delay)
		defer delay.Stop()
		select {
		case <-delay.C:
		case <-w.p.ended:
		}
	}
	if f.DropRequests && w.to == w.p.far || f.DropReplies && w.to == w.p.near {
		return len(b), nil
	}
	select {
	case <-w.p.silent:
		return len(b), nil
	default:
		if w.to == w.p.far {
			w.p.link.count(w.p, b)
		}
		return w.to.Write(b)
	}
}
