package stage

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/mimosalb/mimosalb/internal/timer"
)

// Host is the host of all routes.
const Host = "h.example"

// Answer is what a client got. Status is zero if it got no answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes one call of a client on a new connection.
func (s *Stage) Do(address, method, path string, header map[string]string, body []byte, limit time.Duration) Answer {
	ctx, cancel := timer.WithTimeout(context.Background(), s.Clock, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}
	}
	req.Host = Host
	for name, value := range header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return Answer{}
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return Answer{}
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: data}
}

// Item is an item of a batch job.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"token-count"`
	Group   string            `json:"group-id"`
}

// Job is a batch job.
type Job struct {
	ID         string `json:"-"`
	Step       int    `json:"train-step"`
	Model      string `json:"model"`
	MinVersion int    `json:"min-version"`
	Desired    int    `json:"desired"`
	Items      []Item `json:"items"`
}

// Result is a result of a batch job.
type Result struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Output   string `json:"output"`
	Versions []int  `json:"versions"`
}

// Page is a part of the results of a batch job.
type Page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []Result `json:"results"`
}

// Submit submits a batch job at an entry.
func (s *Stage) Submit(n *Node, key string, j Job) int {
	data, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	a := s.Do(n.Callers(), http.MethodPost, "/jobs/"+j.ID, map[string]string{
		"X-Api-Key": key, "Request-Id": j.ID, "Content-Type": "application/json",
	}, data, 10*time.Second) //nolint:mnd // the patience of the client
	s.Log("submit job=%s at=%s status=%d bytes=%d", j.ID, n.Name, a.Status, len(data))
	return a.Status
}

// Read reads results of a batch job at an entry.
func (s *Stage) Read(n *Node, key, job string, after int) (Page, int) {
	a := s.Do(n.Callers(), http.MethodGet, fmt.Sprintf("%s%s?after=%d", Wire.Jobs, job, after), map[string]string{
		"X-Api-Key": key, "Wait-Ms": "1000",
	}, nil, 4*time.Second) //nolint:mnd // the patience of the client
	var p Page
	if a.Status == http.StatusOK && json.Unmarshal(a.Body, &p) != nil {
		return p, 0
	}
	s.Log("read job=%s at=%s after=%d status=%d results=%d", job, n.Name, after, a.Status, len(p.Results))
	return p, a.Status
}
