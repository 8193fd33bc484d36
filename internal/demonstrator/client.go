package demonstrator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Client sends requests to the first entry of a deployment, on its listeners for callers and for operators.
type Client struct {
	callers   string
	operators string
	token     string
	http      *http.Client
}

// NewClient returns a client of the deployment's first entry.
func NewClient(d *Deployment) *Client {
	return &Client{
		callers:   "http://" + d.Entries[0].Callers,
		operators: "http://" + d.Entries[0].Operators,
		token:     d.OperatorToken,
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
	}
}

// maxIdleConnections is the maximum number of idle connections that stay open to each listener.
const maxIdleConnections = 64

// Close closes the idle connections. Left open, they would delay the stop of the deployment.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Reply is a complete HTTP response.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// SendAsCaller sends a request to the callers' listener with an API key. If key is empty, the request has no
// Authorization header.
func (c *Client) SendAsCaller(ctx context.Context, method, path, key string, body any) (Reply, error) {
	return c.do(ctx, method, c.callers+path, key, nil, body)
}

// SendAsOperator sends a request to the operators' listener with the operators' token.
func (c *Client) SendAsOperator(ctx context.Context, method, path string, header map[string]string, body any) (Reply, error) {
	return c.do(ctx, method, c.operators+path, c.token, header, body)
}

// StreamEvents sends a request to the callers' listener and calls event with the data of each server-sent event, until
// event returns false or the stream ends.
func (c *Client) StreamEvents(ctx context.Context, path, key string, body any, event func(data string) bool) error {
	resp, err := c.send(ctx, http.MethodPost, c.callers+path, key, nil, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok && !event(data) {
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read event stream: %w", err)
	}
	return nil
}

// pollPeriod is the time between two checks of the condition of Await.
const pollPeriod = 20 * time.Millisecond

// Await polls f until it returns true. It fails after limit or when ctx ends.
func (c *Client) Await(ctx context.Context, limit time.Duration, f func() bool) error {
	tick := time.NewTicker(pollPeriod)
	defer tick.Stop()
	end := time.NewTimer(limit)
	defer end.Stop()
	for !f() {
		select {
		case <-tick.C:
		case <-end.C:
			return fmt.Errorf("condition not met within %v", limit)
		case <-ctx.Done():
			return fmt.Errorf("wait: %w", ctx.Err())
		}
	}
	return nil
}

// send sends a request with body as JSON. The caller closes the body of the response.
func (c *Client) send(ctx context.Context, method, url, key string, header map[string]string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request body: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, req.URL.Path, err)
	}
	return resp, nil
}

// do sends a request and reads the whole response.
func (c *Client) do(ctx context.Context, method, url, key string, header map[string]string, body any) (Reply, error) {
	resp, err := c.send(ctx, method, url, key, header, body)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return Reply{}, fmt.Errorf("read response body: %w", err)
	}
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: text}, nil
}
