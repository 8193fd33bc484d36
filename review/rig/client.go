package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/mimosalb/mimosalb/internal/timer"
)

// Answer is what a client got.
type Answer struct {
	// Status is zero if there was no whole answer; Err then says why.
	Status int
	Stamp  string
	Body   []byte
	Err    error
}

// Client is a client that keeps its connections.
type Client struct {
	clock timer.Service
	http  *http.Client
}

// maxIdleConnections is the number of connections that a client keeps.
const maxIdleConnections = 16

// NewClient returns a client without connections.
func NewClient(clock timer.Service) *Client {
	return &Client{clock: clock, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: maxIdleConnections,
	}}}
}

// Send sends a request once and reads its answer.
func (c *Client) Send(ctx context.Context, method, url string, header map[string]string, body []byte, limit time.Duration) Answer {
	ctx, cancel := timer.WithTimeout(ctx, c.clock, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	// Without GetBody the client does not send the request again by itself.
	req.GetBody = nil
	req.Host = Host
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Err: err}
	}
	return Answer{Status: resp.StatusCode, Stamp: resp.Header.Get(wire.Stamp), Body: data}
}

// Item is an item of a batch job.
type Item struct {
	ID, Group string
	// Prompt is what its body holds besides its ID.
	Prompt []byte
}

// Result is a result of a batch job.
type Result struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Output string `json:"output"`
}

// Submit submits a batch job of a trainer under a route, once.
func (c *Client) Submit(ctx context.Context, n *Node, route, id, model string, items []Item) Answer {
	return c.SubmitBody(ctx, n, route, id, JobBody(route, model, items), 2*time.Second)
}

// SubmitBody submits a batch job whose body is given.
func (c *Client) SubmitBody(ctx context.Context, n *Node, route, id string, body []byte, limit time.Duration) Answer {
	header := map[string]string{"X-Api-Key": Key, "Request-Id": id, "Content-Type": "application/json"}
	return c.Send(ctx, http.MethodPost, "http://"+n.Callers()+"/"+route+"/"+id, header, body, limit)
}

// JobBody returns the body of a batch job of a trainer.
func JobBody(route, model string, items []Item) []byte {
	messages := make([]map[string]any, 0, len(items))
	groups := make(map[string]bool)
	for _, i := range items {
		groups[i.Group] = true
		messages = append(messages, map[string]any{
			"id": i.ID, "path": "/" + route + "/i/" + i.ID, "body": append([]byte("body of "+i.ID), i.Prompt...), "token-count": 940, "group-id": i.Group,
			"headers": map[string]string{"Model": model, "Token-Count": "540,400", "Prompt-Prefix": "9c2e41:300,5d07b8:240"},
		})
	}
	return encode(map[string]any{"train-step": 1, "model": model, "min-version": 1, "desired": len(groups), "items": messages})
}

// Results reads the results of a batch job from the start.
func (c *Client) Results(ctx context.Context, n *Node, id string) (total int, results []Result, status int) {
	a := c.Send(ctx, http.MethodGet, "http://"+n.Callers()+wire.Lots+id+"?after=0", map[string]string{"X-Api-Key": Key}, nil, 2*time.Second)
	var m struct {
		Total   int      `json:"total"`
		Results []Result `json:"results"`
	}
	if a.Status != http.StatusOK || json.Unmarshal(a.Body, &m) != nil {
		return 0, nil, a.Status
	}
	return m.Total, m.Results, a.Status
}
