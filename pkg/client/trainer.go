package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/inspector"
)

// ErrStale is returned when the run has received a later statement, because another process pulls for the same run.
var ErrStale = errors.New("the run has already received a later statement")

// retryDelay is the delay before a failed call is retried at the next address.
const retryDelay = 200 * time.Millisecond

// Trainer is the client of one training run. It must be used by one goroutine at a time.
//
// A trainer saves the result of State and passes it to WithState after a restart, so that it receives no batch twice
// and loses no batch that it had not saved.
type Trainer struct {
	addresses []string
	key       string
	http      *http.Client
	run       string
	state     State
	// retries counts the retried calls and selects the address of the next call.
	retries int
}

// State is the state that a trainer must keep across a restart.
type State struct {
	// Number is the number of the last statement. Fence is the largest fencing number received.
	Number uint64 `json:"number"`
	Fence  uint64 `json:"fence"`
	// Held lists the batches that are not confirmed yet.
	Held []Held `json:"held"`
	// Next is the number of the next submission.
	Next uint64 `json:"next"`
}

// Option sets a property of a Trainer.
type Option func(*Trainer)

// WithState restores the state of an earlier Trainer of the run.
func WithState(s State) Option { return func(t *Trainer) { t.state = s } }

// WithHTTP sets the HTTP client. The trainer uses a copy that also rejects answers that are broken, with a copy of the client's transport if
// that is an http.Transport. Another transport has to tell a connection that broke from one that was closed by itself.
func WithHTTP(c *http.Client) Option { return func(t *Trainer) { t.http = inspected(*c) } }

// inspected returns a copy of c that returns an error for a broken answer, which could else pass for a success.
func inspected(c http.Client) *http.Client {
	base := c.Transport
	if base == nil {
		base = http.DefaultTransport
	}
	c.Transport = inspector.NewTransport(base)
	return &c
}

// Open opens a run, or resumes an existing one, at the entries with the given base URLs.
func Open(ctx context.Context, addresses []string, key string, s Spec, opts ...Option) (*Trainer, error) {
	t := &Trainer{
		addresses: addresses, key: key, http: inspected(http.Client{}), run: s.Run, state: State{Next: 1},
	}
	for _, o := range opts {
		o(t)
	}
	if err := t.call(ctx, http.MethodPost, "/v1/runs", s, nil); err != nil {
		return nil, err
	}
	status, err := t.Status(ctx)
	if err != nil {
		return nil, err
	}
	t.state.Number = max(t.state.Number, status.Pull)
	t.state.Next = max(t.state.Next, status.Receipt.Next)
	return t, nil
}

// State returns the state that must be kept across a restart.
func (t *Trainer) State() State { return t.state }

// Submit submits groups and returns the number of the submission. It retries while the service is unavailable or the
// run is full, until ctx ends.
func (t *Trainer) Submit(ctx context.Context, prompts []Prompt) (uint64, error) {
	number := t.state.Next
	var r Receipt
	if err := t.call(ctx, http.MethodPost, t.path("/submissions"), Submission{Number: number, Prompts: prompts}, &r); err != nil {
		return 0, err
	}
	t.state.Next = number + 1
	return number, nil
}

// Pull waits for the next batch until ctx ends. version is the weight version that the trainer last published.
func (t *Trainer) Pull(ctx context.Context, groups int, version uint64) (Delivery, error) {
	for {
		var d Delivery
		newBody := func() any {
			return Pull{Statement: t.statement(), Most: groups, Wait: pullWait.Milliseconds(), Version: version}
		}
		if err := t.callAny(ctx, http.MethodPost, t.path("/pull"), newBody, &d); err != nil {
			return d, err
		}
		t.applyReceipt(d.Receipt)
		if len(d.Groups) == 0 {
			continue
		}
		h := Held{Batch: d.Batch}
		for _, g := range d.Groups {
			h.Groups = append(h.Groups, g.Group)
		}
		t.state.Held = append(t.state.Held, h)
		return d, nil
	}
}

// pullWait is how long an entry holds one pull open.
const pullWait = 10 * time.Second

// Acknowledge acknowledges the held batches. It reports whether the run has stored all of them as acknowledged.
func (t *Trainer) Acknowledge(ctx context.Context) (bool, error) {
	var r Receipt
	newBody := func() any { return t.statement() }
	if err := t.callAny(ctx, http.MethodPost, t.path("/acknowledgements"), newBody, &r); err != nil {
		return false, err
	}
	t.applyReceipt(r)
	return r.All, nil
}

// Status returns the state of the run.
func (t *Trainer) Status(ctx context.Context) (Status, error) {
	var s Status
	err := t.call(ctx, http.MethodGet, t.path(""), nil, &s)
	return s, err
}

// statement returns the next statement. Each attempt gets a new number, because the response to an earlier attempt is
// not read.
func (t *Trainer) statement() Statement {
	t.state.Number++
	return Statement{Number: t.state.Number, Fence: t.state.Fence, Held: t.state.Held}
}

// applyReceipt updates the state from a receipt.
func (t *Trainer) applyReceipt(r Receipt) {
	t.state.Fence = max(t.state.Fence, r.Fence)
	if r.All {
		t.state.Held = nil
	}
}

func (t *Trainer) path(rest string) string { return "/v1/runs/" + t.run + rest }

func (t *Trainer) call(ctx context.Context, method, path string, body, reply any) error {
	return t.callAny(ctx, method, path, func() any { return body }, reply)
}

// callAny makes the call at one entry after the other until one answers it or ctx ends. Each attempt sends a new body.
func (t *Trainer) callAny(ctx context.Context, method, path string, newBody func() any, reply any) error {
	for {
		retry, err := t.attempt(ctx, method, path, newBody(), reply)
		if !retry {
			return err
		}
		t.retries++
		wait := time.NewTimer(retryDelay) //nolint:forbidigo // the public client has no timer service
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return fmt.Errorf("%s %s: %w: %w", method, path, ctx.Err(), err)
		}
	}
}

// attempt makes the call once. It also reports whether the call may be retried.
func (t *Trainer) attempt(ctx context.Context, method, path string, body, reply any) (bool, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return false, fmt.Errorf("%s %s: encode request body: %w", method, path, err)
	}
	req, err := http.NewRequestWithContext(ctx, method, t.addresses[t.retries%len(t.addresses)]+path, bytes.NewReader(data))
	if err != nil {
		return false, fmt.Errorf("%s %s: create request: %w", method, path, err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+t.key)
	resp, err := t.http.Do(req)
	if err != nil {
		return true, fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return true, fmt.Errorf("%s %s: read response: %w", method, path, err)
	case resp.StatusCode == http.StatusNoContent:
		return false, nil
	case resp.StatusCode < http.StatusMultipleChoices:
		if reply == nil {
			return false, nil
		}
		if err := json.Unmarshal(text, reply); err != nil {
			return true, fmt.Errorf("%s %s: decode response: %w", method, path, err)
		}
		return false, nil
	}
	var p Problem
	_ = json.Unmarshal(text, &p)
	err = fmt.Errorf("%s %s: status %d: %s %s", method, path, resp.StatusCode, p.Reason, p.Detail)
	if p.Reason == "stale-statement" {
		err = fmt.Errorf("%w: %w", ErrStale, err)
	}
	return resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests, err
}
