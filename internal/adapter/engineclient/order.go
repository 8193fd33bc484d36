package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/orderer"
)

// engineOrder is the body of an order to an engine. Engines that check fencing numbers reject an outdated one with
// status 409.
type engineOrder struct {
	Fence   identifier.Fence `json:"fence"`
	Version string           `json:"weight_version,omitempty"`
	Model   string           `json:"model_path,omitempty"`
	Adapter string           `json:"lora_name,omitempty"`
	Role    string           `json:"role,omitempty"`
}

// Apply sends an order to the engine and returns its outcome.
func (e *Engine) Apply(ctx context.Context, o orderer.EngineOrder) orderer.Outcome {
	body, path := engineOrder{Fence: o.Fence}, ""
	switch o.Kind {
	case orderer.LoadVersion:
		path, body.Version, body.Model = "/update_weights_from_disk", strconv.FormatUint(uint64(o.Version), 10), o.Name
	case orderer.LoadAdapter:
		path, body.Adapter = "/load_lora_adapter", o.Name
	case orderer.ChangeRole:
		path, body.Role = "/set_role", o.Name
	default:
		return orderer.Rejected
	}
	data, err := json.Marshal(body)
	if err != nil {
		return orderer.Rejected
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.address+path, bytes.NewReader(data))
	if err != nil {
		return orderer.Rejected
	}
	// Without GetBody the transport can't resend the order by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return orderer.Lost
	}
	defer func() { _ = resp.Body.Close() }()
	return engineOutcome(resp)
}

// engineOutcome maps the engine's response to the outcome of an order. After a server error, or a response that broke off, it is unknown
// whether the order took effect.
func engineOutcome(resp *http.Response) orderer.Outcome {
	var answer struct {
		Success bool `json:"success"`
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes))
	switch {
	case err != nil, resp.StatusCode >= http.StatusInternalServerError:
		return orderer.Lost
	case resp.StatusCode == http.StatusConflict:
		return orderer.Stale
	case resp.StatusCode == http.StatusOK && json.Unmarshal(body, &answer) == nil && answer.Success:
		return orderer.Accepted
	default:
		return orderer.Rejected
	}
}
