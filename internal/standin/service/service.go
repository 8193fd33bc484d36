// Package service is the stand-in for a plain service. It counts its calls and returns a description of each call.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/mimosalb/mimosalb/internal/standin/switcher"
)

// maxRequestBytes limits the body of a request.
const maxRequestBytes = 16 << 20

// Service counts its calls by request ID and by body.
type Service struct {
	// Switches are the failures that the service injects.
	Switches switcher.Switcher

	mu             sync.Mutex
	callsByRequest map[string]int
	callsByBody    map[string]int
	totalCalls     int
	keyedCalls     int // calls with a caller's key
}

// Answer is the response body of a call. It describes the call.
type Answer struct {
	Request string `json:"request"`
	Team    string `json:"team"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	// Runs is the number of times that the service has run this request.
	Runs int `json:"runs"`
}

// Calls returns the number of calls that the service has run, in total and for one request.
func (s *Service) Calls(request string) (total, ofRequest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalCalls, s.callsByRequest[request]
}

// RunsOfBody returns the number of calls with this body that the service has run.
func (s *Service) RunsOfBody(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callsByBody[body]
}

// KeysSeen returns the number of calls that carried a caller's key. It must be zero, because the key must not reach a back
// end.
func (s *Service) KeysSeen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keyedCalls
}

// Handler returns a handler of every path, and of the failure switches under /switches.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/switches", s.Switches.Handler())
	mux.Handle("/", s.Switches.Wrap(http.HandlerFunc(s.serve)))
	return mux
}

// serve runs a call. The Drop switch closes the connection before the call is counted, and Mute after it.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
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

// record counts a call and returns the number of calls for its request.
func (s *Service) record(request, body string, hasKey bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callsByRequest == nil {
		s.callsByRequest, s.callsByBody = make(map[string]int), make(map[string]int)
	}
	s.totalCalls++
	s.callsByRequest[request]++
	s.callsByBody[body]++
	if hasKey {
		s.keyedCalls++
	}
	return s.callsByRequest[request]
}
