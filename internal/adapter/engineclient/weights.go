package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/mimosalb/mimosalb/internal/adapter/inspector"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/updater"
)

type loadRequest struct {
	Version string           `json:"weight_version"`
	Fence   identifier.Fence `json:"fence,omitempty"`
}

// Load tells the engine to load the weights of v and returns the version that the engine reports afterwards, or zero
// when it does not answer. The response to the load request is ignored, because it may be lost after the switch or be
// late.
func (e *Engine) Load(ctx context.Context, v identifier.Version, fence identifier.Fence) identifier.Version {
	body, err := json.Marshal(loadRequest{Version: strconv.FormatUint(uint64(v), 10), Fence: fence})
	if err != nil {
		return 0
	}
	_, _ = e.fetch(ctx, http.MethodPost, e.address+"/update_weights_from_disk", body)
	data, err := e.fetch(ctx, http.MethodGet, e.address+"/get_weight_version", nil)
	if err != nil {
		return 0
	}
	var reply struct {
		Version string `json:"weight_version"`
	}
	if json.Unmarshal(data, &reply) != nil {
		return 0
	}
	reported := parseVersion(reply.Version)
	e.version.Store(uint64(reported))
	return reported
}

func (e *Engine) fetch(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	return fetch(ctx, e.client, method, url, body, maxLineBytes)
}

// Origin is the client of the platform's weight store.
type Origin struct {
	address string
	client  *http.Client
}

// NewOrigin returns the weight store at address. reports are called for answers with an invalid status.
func NewOrigin(address string, reports ...inspector.Report) *Origin {
	return &Origin{address: address, client: newHTTPClient(newTransport(), reports)}
}

// Chunk fetches chunk i of the weights that m describes. The last result is false when the fetch fails.
func (o *Origin) Chunk(ctx context.Context, m updater.Manifest, i int) ([]byte, bool) {
	url := fmt.Sprintf("%s/weights/%d/%d?size=%d", o.address, m.Version, i, m.Chunk)
	data, err := fetch(ctx, o.client, http.MethodGet, url, nil, int64(m.Chunk))
	return data, err == nil
}

// fetch sends a request and returns the body of a response with status 200, cut off after limit bytes.
func fetch(ctx context.Context, c *http.Client, method, url string, body []byte, limit int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit))
	if err != nil {
		return nil, fmt.Errorf("read response body: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("response status %d, want 200", resp.StatusCode)
	}
	return data, nil
}
