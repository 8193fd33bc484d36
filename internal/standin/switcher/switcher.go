// Package switcher holds the failure switches of a stand-in.
package switcher

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Switches are the failures that a stand-in shows at present. The zero value shows none.
type Switches struct {
	// Down refuses every call without effect.
	Down bool `json:"down"`
	// Lose drops the answer of the next Lose calls after they took effect.
	Lose int `json:"lose"`
	// Delay holds every answer for that long.
	Delay time.Duration `json:"delay"`
	// Crash makes an engine break off all its answers when it runs a prompt that contains this text.
	Crash string `json:"crash"`
	// Drop makes a plain service close the connection before it runs a call whose body contains this text.
	Drop string `json:"drop"`
	// Mute makes a plain service close the connection after it ran a call whose body contains this text.
	Mute string `json:"mute"`
	// Swap makes the next Swap weight changes of an engine fail.
	Swap int `json:"swap"`
	// Hang lets a stand-in accept calls without answering.
	Hang bool `json:"hang"`
}

// Switcher guards the switches of one stand-in. The zero value shows no failure.
type Switcher struct {
	mu       sync.Mutex
	switches Switches
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

// TakeLost reports whether the answer of this call is to be lost.
func (s *Switcher) TakeLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.Lose <= 0 {
		return false
	}
	s.switches.Lose--
	return true
}

// TakeSwap reports whether this weight change is to fail.
func (s *Switcher) TakeSwap() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.Swap <= 0 {
		return false
	}
	s.switches.Swap--
	return true
}

// Handler serves the switches: GET shows them, PUT replaces them by the JSON body.
func (s *Switcher) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			var sw Switches
			if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&sw); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			s.Set(sw)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Get())
	})
}

// Wrap puts the switches Down, Delay, Hang and Lose in front of h. A lost answer closes the connection after h ran.
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
		if s.TakeLost() {
			h.ServeHTTP(&discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// discard is a ResponseWriter that drops the answer.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}
