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

// Client speaks to the first entry of a deployment as callers and operators do.
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
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}},
	}
}

// idleConnections is the number of connections to a listener that stay open between calls.
const idleConnections = 64

// Close ends the connections that are not in use, which would delay the stop of the deployment.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Reply is a whole answer.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// SendAsCaller sends a caller's request with a key; an empty key is left out.
func (c *Client) SendAsCaller(ctx context.Context, method, path, key string, body any) (Reply, error) {
	return c.whole(ctx, method, c.callers+path, key, nil, body)
}

// SendAsOperator sends an operator's request.
func (c *Client) SendAsOperator(ctx context.Context, method, path string, header map[string]string, body any) (Reply, error) {
	return c.whole(ctx, method, c.operators+path, c.token, header, body)
}

// StreamEvents sends a caller's request and calls event with the data of each server-sent event until it returns false or the
// stream ends.
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
		return fmt.Errorf("read events: %w", err)
	}
	return nil
}

// Await asks until f returns true, at most for limit.
func (c *Client) Await(ctx context.Context, limit time.Duration, f func() bool) error {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	end := time.NewTimer(limit)
	defer end.Stop()
	for !f() {
		select {
		case <-tick.C:
		case <-end.C:
			return fmt.Errorf("not so within %v", limit)
		case <-ctx.Done():
			return fmt.Errorf("wait: %w", ctx.Err())
		}
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, url, key string, header map[string]string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode body: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
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

func (c *Client) whole(ctx context.Context, method, url, key string, header map[string]string, body any) (Reply, error) {
	resp, err := c.send(ctx, method, url, key, header, body)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return Reply{}, fmt.Errorf("read answer: %w", err)
	}
	return Reply{Status: resp.StatusCode, Header: resp.Header, Body: text}, nil
}
