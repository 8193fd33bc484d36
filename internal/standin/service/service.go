// Package service is the stand-in for a plain service: it records each call and answers with what it recorded.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/mimosalb/mimosalb/internal/standin/switcher"
)

// requestLimit bounds a request in bytes.
const requestLimit = 16 << 20

// Service counts its calls by request identity.
type Service struct {
	// Switches are the failures that the service shows.
	Switches switcher.Switcher

	mu     sync.Mutex
	calls  map[string]int
	bodies map[string]int
	total  int
	keys   int
}

// Answer is what the service says to a call.
type Answer struct {
	Request string `json:"request"`
	Team    string `json:"team"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	// Runs is how often the service has run this request.
	Runs int `json:"runs"`
}

// Calls returns how many calls the service has run, and how often it ran one request.
func (s *Service) Calls(request string) (total, ofRequest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total, s.calls[request]
}

// RunsOf returns how often the service ran a call with this body.
func (s *Service) RunsOf(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodies[body]
}

// KeysSeen returns how many calls carried a caller's key. It must stay zero.
func (s *Service) KeysSeen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys
}

// Handler serves every path, and the switches under /switches.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/switches", s.Switches.Handler())
	mux.Handle("/", s.Switches.Wrap(http.HandlerFunc(s.run)))
	return mux
}

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, requestLimit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	sw := s.Switches.Get()
	if sw.Drop != "" && strings.Contains(string(body), sw.Drop) {
		panic(http.ErrAbortHandler)
	}
	request := r.Header.Get("X-Request-Id")
	runs := s.record(request, string(body), r.Header.Get("Authorization") != "")
	if sw.Mute != "" && strings.Contains(string(body), sw.Mute) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{
		Request: request,
		Team:    r.Header.Get("X-Team"),
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Body:    string(body),
		Runs:    runs,
	})
}

func (s *Service) record(request, body string, key bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		s.calls, s.bodies = make(map[string]int), make(map[string]int)
	}
	s.total++
	s.calls[request]++
	s.bodies[body]++
	if key {
		s.keys++
	}
	return s.calls[request]
}
