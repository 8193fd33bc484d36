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
)

// ErrStale means that another process pulls for the same run with later statements.
var ErrStale = errors.New("a later statement is known")

// tryPause is the wait before a call is tried at the next address.
const tryPause = 200 * time.Millisecond

// Trainer is the client of one training run. It is used by one goroutine.
//
// State can be saved with State and restored with WithState, so that a restarted trainer gets no batch twice and loses
// none that it has not saved.
type Trainer struct {
	addresses []string
	key       string
	http      *http.Client
	run       string
	state     State
	at        int
}

// State is what a trainer must keep over a restart.
type State struct {
	// Number is the number of the last statement, Fence the largest fencing number seen.
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

// WithHTTP sets the HTTP client.
func WithHTTP(c *http.Client) Option { return func(t *Trainer) { t.http = c } }

// Open opens a run, or goes on with one, at the entries of the given base URLs.
func Open(ctx context.Context, addresses []string, key string, s Spec, opts ...Option) (*Trainer, error) {
	t := &Trainer{addresses: addresses, key: key, http: &http.Client{}, run: s.Run, state: State{Next: 1}}
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

// State returns what must be kept over a restart.
func (t *Trainer) State() State { return t.state }

// Submit submits groups. It tries until they are accepted or ctx ends; while the run is full it waits.
func (t *Trainer) Submit(ctx context.Context, prompts []Prompt) (uint64, error) {
	number := t.state.Next
	var r Receipt
	if err := t.call(ctx, http.MethodPost, t.path("/submissions"), Submission{Number: number, Prompts: prompts}, &r); err != nil {
		return 0, err
	}
	t.state.Next = number + 1
	return number, nil
}

// Pull waits for the next batch until ctx ends. version is the weight version that the trainer published last.
func (t *Trainer) Pull(ctx context.Context, groups int, version uint64) (Delivery, error) {
	for {
		var d Delivery
		make := func() any {
			return Pull{Statement: t.statement(), Most: groups, Wait: pullWait.Milliseconds(), Version: version}
		}
		if err := t.each(ctx, http.MethodPost, t.path("/pull"), make, &d); err != nil {
			return d, err
		}
		t.note(d.Receipt)
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

// pullWait is how long one pull waits at the entry.
const pullWait = 10 * time.Second

// Acknowledge tells the run what the trainer has. It reports whether all of it is stored as acknowledged.
func (t *Trainer) Acknowledge(ctx context.Context) (bool, error) {
	var r Receipt
	make := func() any { return t.statement() }
	if err := t.each(ctx, http.MethodPost, t.path("/acknowledgements"), make, &r); err != nil {
		return false, err
	}
	t.note(r)
	return r.All, nil
}

// Status returns the state of the run.
func (t *Trainer) Status(ctx context.Context) (Status, error) {
	var s Status
	err := t.call(ctx, http.MethodGet, t.path(""), nil, &s)
	return s, err
}

// statement makes the next account. Each try has its own number: the answer to an earlier one will not be read.
func (t *Trainer) statement() Statement {
	t.state.Number++
	return Statement{Number: t.state.Number, Fence: t.state.Fence, Held: t.state.Held}
}

func (t *Trainer) note(r Receipt) {
	t.state.Fence = max(t.state.Fence, r.Fence)
	if r.All {
		t.state.Held = nil
	}
}

func (t *Trainer) path(rest string) string { return "/v1/runs/" + t.run + rest }

func (t *Trainer) call(ctx context.Context, method, path string, body, reply any) error {
	return t.each(ctx, method, path, func() any { return body }, reply)
}

// each tries the call at one entry after the other until one answers it or ctx ends.
func (t *Trainer) each(ctx context.Context, method, path string, body func() any, reply any) error {
	for {
		again, err := t.try(ctx, method, path, body(), reply)
		if !again {
			return err
		}
		t.at++
		wait := time.NewTimer(tryPause) //nolint:forbidigo // the public client has no timer service
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return fmt.Errorf("%s %s: %w: %w", method, path, ctx.Err(), err)
		}
	}
}

// try makes the call once. The first result says whether it may be made again.
func (t *Trainer) try(ctx context.Context, method, path string, body, reply any) (bool, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return false, fmt.Errorf("encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, t.addresses[t.at%len(t.addresses)]+path, bytes.NewReader(data))
	if err != nil {
		return false, fmt.Errorf("request: %w", err)
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
		return true, fmt.Errorf("read answer: %w", err)
	case resp.StatusCode == http.StatusNoContent:
		return false, nil
	case resp.StatusCode < http.StatusMultipleChoices:
		if reply == nil {
			return false, nil
		}
		if err := json.Unmarshal(text, reply); err != nil {
			return true, fmt.Errorf("decode answer: %w", err)
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
