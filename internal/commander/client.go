package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
)

// replyLimit bounds a reply in bytes; the configuration is at most 1 MB.
const replyLimit = 16 << 20

// client speaks to the operators' interface of one entry.
type client struct {
	address string
	token   string
	http    *http.Client
}

// reply is a whole answer.
type reply struct {
	status int
	body   []byte
}

func newClient(address, tokenFile string) (*client, error) {
	u, err := url.Parse(address)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, &Failure{Code: BadInput, Text: "--address: want a URL such as http://127.0.0.1:8090"}
	}
	c := &client{address: strings.TrimSuffix(address, "/"), http: &http.Client{}}
	if tokenFile != "" {
		token, err := os.ReadFile(tokenFile) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, &Failure{Code: BadInput, Text: fmt.Sprintf("--token: %v", err)}
		}
		c.token = strings.TrimSpace(string(token))
	}
	return c, nil
}

// get reads path into value.
func (c *client) get(ctx context.Context, path string, value any) error {
	r, err := c.send(ctx, http.MethodGet, path, "", nil)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return r.failure(path)
	}
	return r.decode(path, value)
}

// send makes a request. base is the If-Match header; empty leaves it out.
func (c *client) send(ctx context.Context, method, path, base string, body any) (reply, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return reply{}, fmt.Errorf("encode request: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(data))
	if err != nil {
		return reply{}, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	if base != "" {
		req.Header.Set("If-Match", base)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{}, lost(method, err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, replyLimit))
	if err != nil {
		return reply{}, lost(method, err)
	}
	return reply{status: resp.StatusCode, body: text}, nil
}

// lost is the failure of a request without a reply. A change whose connection was refused was not sent; any other may
// have taken effect.
func lost(method string, err error) error {
	var op *net.OpError
	dialled := !errors.As(err, &op) || op.Op != "dial"
	if method != http.MethodGet && dialled {
		return &Failure{Code: Unknown, Text: fmt.Sprintf("the change may or may not have taken effect: %v", err)}
	}
	return &Failure{Code: Unavailable, Text: fmt.Sprintf("the server can't be reached: %v", err)}
}

func (r reply) decode(path string, value any) error {
	dec := json.NewDecoder(bytes.NewReader(r.body))
	dec.UseNumber() // a count above 2^53 would lose digits as a float
	if err := dec.Decode(value); err != nil {
		return &Failure{Code: Failed, Text: fmt.Sprintf("%s: the reply is not the expected JSON: %v", path, err)}
	}
	return nil
}

// failure maps a reply to the error that it means.
func (r reply) failure(path string) error {
	var p struct {
		Type   string `json:"type"`
		Reason string `json:"reason"`
		Detail string `json:"detail"`
	}
	if json.Unmarshal(r.body, &p) != nil || p.Reason == "" {
		return &Failure{Code: Failed, Text: fmt.Sprintf("%s: status %d", path, r.status)}
	}
	text := strings.TrimSuffix(fmt.Sprintf("%s: %s", p.Reason, p.Detail), ": ")
	if p.Reason == "no-such-route" || p.Reason == "wrong-method" {
		return &Failure{Code: Failed, Text: fmt.Sprintf("this server has no route %s; its version may be older than mimosactl's", path)}
	}
	switch r.status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity, http.StatusPreconditionRequired:
		return &Failure{Code: BadInput, Text: text}
	case http.StatusConflict:
		return &Failure{Code: Conflict, Text: text}
	case http.StatusServiceUnavailable:
		return &Failure{Code: Unavailable, Text: text}
	}
	if strings.HasSuffix(p.Type, ":unknown") {
		return &Failure{Code: Unknown, Text: "the change may or may not have taken effect: " + text}
	}
	return &Failure{Code: Failed, Text: text}
}
