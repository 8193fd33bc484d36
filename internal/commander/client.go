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

	"github.com/mimosalb/mimosalb/internal/adapter/inspector"
)

// maxReplyBytes is the largest reply in bytes that the client reads. A configuration has at most 1 MB.
const maxReplyBytes = 16 << 20

// client calls the operators' API of one entry.
type client struct {
	address string
	token   string
	http    *http.Client
}

// reply is the status and the complete body of a response.
type reply struct {
	status int
	body   []byte
}

// newClient returns a client for address that sends the token in tokenFile, if one is given.
func newClient(address, tokenFile string) (*client, error) {
	u, err := url.Parse(address)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, &Failure{Code: BadInput, Text: "--address: want a URL such as http://127.0.0.1:8090"}
	}
	c := &client{address: strings.TrimSuffix(address, "/"), http: &http.Client{Transport: inspector.NewTransport(http.DefaultTransport)}}
	if tokenFile != "" {
		token, err := os.ReadFile(tokenFile) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, &Failure{Code: BadInput, Text: fmt.Sprintf("--token: %v", err)}
		}
		c.token = strings.TrimSpace(string(token))
	}
	return c, nil
}

// get decodes the JSON at path into value.
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

// send sends a request with body as JSON. base is the value of the If-Match header, which is left out if base is empty.
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
		return reply{}, fmt.Errorf("create request: %w", err)
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
		return reply{}, transportFailure(method, err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return reply{}, transportFailure(method, err)
	}
	return reply{status: resp.StatusCode, body: text}, nil
}

// transportFailure returns the failure for a request without a complete reply. A change was not sent if the connection
// could not be established; otherwise it may have taken effect.
func transportFailure(method string, err error) error {
	var op *net.OpError
	maybeSent := !errors.As(err, &op) || op.Op != "dial"
	if method != http.MethodGet && maybeSent {
		return &Failure{Code: Unknown, Text: fmt.Sprintf("the change may or may not have taken effect: %v", err)}
	}
	if maybeSent {
		return &Failure{Code: Unavailable, Text: fmt.Sprintf("the server gave no valid answer: %v", err)}
	}
	return &Failure{Code: Unavailable, Text: fmt.Sprintf("the server can't be reached: %v", err)}
}

// decode decodes the body into value. path names the route in the error.
func (r reply) decode(path string, value any) error {
	dec := json.NewDecoder(bytes.NewReader(r.body))
	dec.UseNumber() // a count above 2^53 would lose digits as a float
	if err := dec.Decode(value); err != nil {
		return &Failure{Code: Failed, Text: fmt.Sprintf("%s: the reply is not the expected JSON: %v", path, err)}
	}
	return nil
}

// failure returns the error for a reply whose status is not a success. path names the route in the error.
func (r reply) failure(path string) error {
	var p struct {
		Type   string `json:"type"`
		Reason string `json:"reason"`
		Detail string `json:"detail"`
	}
	if json.Unmarshal(r.body, &p) != nil || p.Reason == "" {
		return &Failure{Code: Failed, Text: fmt.Sprintf("%s: unexpected status %d", path, r.status)}
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
