package platformclient

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/inspector"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/reporter"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// FenceHeader carries the fencing number of the sender's term. The body of a report stays the same in every term.
const FenceHeader = "Fence"

// Send sends the body of a report. Every write checks that the monotonic clock has not reached deadline, and the
// connection has an absolute write deadline at that time, so that a sender that was paused beyond its term can't send.
func (c *Client) Send(ctx context.Context, body []byte, fence identifier.Fence, deadline time.Duration) reporter.Outcome {
	out := c.post(ctx, "/v1/usage", body, fence, deadline)
	switch {
	case out.sent && out.status == http.StatusOK:
		return reporter.Accepted
	case out.sent && out.status > 0:
		return reporter.Refused
	case out.sent:
		return reporter.Lost
	default:
		return reporter.Unsent
	}
}

// postResult is the result of a POST request that is limited to a term.
type postResult struct {
	// sent is false when no byte left this process.
	sent bool
	// status is zero when no complete response was received.
	status int
	body   []byte
}

// post sends a POST request on a new connection that refuses writes from deadline on.
func (c *Client) post(ctx context.Context, path string, body []byte, fence identifier.Fence, deadline time.Duration) postResult {
	ctx, cancel := timer.WithTimeout(ctx, c.clock, callTimeout)
	defer cancel()
	var guarded *guardedConn
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("dial platform: %w", err)
			}
			guarded, err = newGuardedConn(conn, c.clock, deadline)
			return guarded, err
		},
	}
	client := &http.Client{Transport: inspector.NewTransport(transport, c.reports...)}
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.address+path, bytes.NewReader(body))
	if err != nil {
		return postResult{}
	}
	// Without GetBody the transport can't resend the request by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(FenceHeader, strconv.FormatUint(uint64(fence), 10))
	resp, err := client.Do(req)
	if err != nil {
		return postResult{sent: guarded != nil && guarded.hasWritten.Load()}
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return postResult{sent: true}
	}
	return postResult{sent: true, status: resp.StatusCode, body: respBody}
}

// errTermEnded is returned by writes after the end of the term.
var errTermEnded = fmt.Errorf("term has ended: %w", os.ErrDeadlineExceeded)
