// Package switcher holds the failure switches of a stand-in.
package switcher

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// maxRequestBytes limits the body of a PUT request.
const maxRequestBytes = 1 << 16

// Switches are the failures that a stand-in injects. The zero value injects none.
type Switches struct {
	// Down makes a stand-in refuse every call before it takes effect.
	Down bool `json:"down"`
	// Lose is the number of upcoming calls whose answers are lost after the calls have taken effect.
	Lose int `json:"lose"`
	// Delay is the time by which every call is delayed.
	Delay time.Duration `json:"delay"`
	// Crash makes an engine abort all its answers when it runs a prompt that contains this text.
	Crash string `json:"crash"`
	// Drop makes a plain service close the connection before it runs a call whose body contains this text.
	Drop string `json:"drop"`
	// Mute makes a plain service close the connection after it has run a call whose body contains this text.
	Mute string `json:"mute"`
	// Swap is the number of upcoming weight changes that fail at an engine.
	Swap int `json:"swap"`
	// Hang makes a stand-in accept calls without answering them.
	Hang bool `json:"hang"`
	// Status is the status, as three digits, with which every call is answered after it has taken effect. It may be one that the
	// protocol does not allow.
	Status string `json:"status"`
}

// Switcher holds the switches of one stand-in. It is safe for concurrent use. The zero value injects no failures.
type Switcher struct {
	mu       sync.Mutex
	switches Switches
	endings  Endings
}

// Endings counts what clients did with the connection after an answer with Switches.Status.
type Endings struct {
	// Closed counts the connections that the client closed, and Kept those that it used again or left open.
	Closed, Kept int
}

// Endings returns what clients did with such connections so far.
func (s *Switcher) Endings() Endings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endings
}

// Set replaces the switches.
func (s *Switcher) Set(sw Switches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = sw
}

// Get returns the switches.
func (s *Switcher) Get() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// ConsumeLose reports whether to lose the answer of the current call, and decrements Lose if so.
func (s *Switcher) ConsumeLose() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.Lose <= 0 {
		return false
	}
	s.switches.Lose--
	return true
}

// ConsumeSwap reports whether the current weight change must fail, and decrements Swap if so.
func (s *Switcher) ConsumeSwap() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.Swap <= 0 {
		return false
	}
	s.switches.Swap--
	return true
}

// Handler returns a handler of the switches. GET returns them as JSON, and PUT replaces them with the JSON body.
func (s *Switcher) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			var sw Switches
			if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&sw); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			s.Set(sw)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Get())
	})
}

// Wrap returns a handler that applies the switches Down, Hang, Delay, Lose and Status to the calls of h. For a lost answer it
// closes the connection after h has run.
func (s *Switcher) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sw := s.Get()
		if sw.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if sw.Hang {
			<-r.Context().Done()
			return
		}
		if sw.Delay > 0 {
			wait := time.NewTimer(sw.Delay)
			defer wait.Stop()
			select {
			case <-wait.C:
			case <-r.Context().Done():
				return
			}
		}
		if s.ConsumeLose() {
			h.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		if sw.Status != "" {
			h.ServeHTTP(&discardWriter{header: http.Header{}}, r)
			s.answerStatus(w, sw.Status)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// endingTimeout bounds the wait for the client to close its connection after an answer with Switches.Status.
const endingTimeout = time.Second

// answerStatus sends an empty answer with a status, and counts whether the client closes the connection. It writes the answer itself
// because net/http panics at a status below 100.
func (s *Switcher) answerStatus(w http.ResponseWriter, status string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close() //nolint:errcheck // the connection is not used again
	_ = conn.SetDeadline(time.Now().Add(endingTimeout))
	_, err = fmt.Fprintf(conn, "HTTP/1.1 %s Status\r\nContent-Length: 0\r\n\r\n", status)
	n := 0
	if err == nil {
		n, err = conn.Read(make([]byte, 1))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		s.endings.Kept++
		return
	}
	s.endings.Closed++
}

// discardWriter is a ResponseWriter that discards the answer.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}
