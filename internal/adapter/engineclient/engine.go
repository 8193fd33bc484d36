package engineclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/mimosalb/mimosalb/internal/adapter/inspector"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// maxLineBytes limits one line of an engine's event stream, and also any other response of an engine.
const maxLineBytes = 1 << 20

// Engine is a model engine behind its HTTP address.
type Engine struct {
	address string
	client  *http.Client
	version atomic.Uint64
}

// NewEngine returns the engine at address, such as http://127.0.0.1:30000.
// reports are called for answers with an invalid status.
func NewEngine(address string, reports ...inspector.Report) *Engine {
	return &Engine{address: address, client: newHTTPClient(newTransport(), reports)}
}

// Version returns the weight version that the engine reported last; zero before its first report.
func (e *Engine) Version() identifier.Version { return identifier.Version(e.version.Load()) }

type generateRequest struct {
	RID      string         `json:"rid"`
	Text     string         `json:"text"`
	Stream   bool           `json:"stream"`
	Priority int            `json:"priority,omitempty"`
	Adapter  string         `json:"lora_path,omitempty"`
	Sampling samplingParams `json:"sampling_params"`
}

type samplingParams struct {
	MaxNewTokens identifier.Tokens `json:"max_new_tokens"`
}

type generateEvent struct {
	Text string `json:"text"`
	IDs  []int  `json:"output_ids"`
	Meta struct {
		ID            string            `json:"id"`
		WeightVersion string            `json:"weight_version"`
		Adapter       string            `json:"lora_path"`
		Prompt        identifier.Tokens `json:"prompt_tokens"`
		Cached        identifier.Tokens `json:"cached_tokens"`
		Completion    identifier.Tokens `json:"completion_tokens"`
		Finish        *struct {
			Type string `json:"type"`
		} `json:"finish_reason"`
	} `json:"meta_info"`
}

// Run generates the answer to a call on the engine and emits each streamed event that carries tokens as a piece.
func (e *Engine) Run(ctx context.Context, id identifier.Attempt, call executor.Call, emit func(streamer.Piece)) streamer.Final {
	ctx, span := startSpan(ctx, id)
	defer span.End()
	body, err := json.Marshal(generateRequest{
		RID:      id.String(),
		Text:     call.Prompt,
		Stream:   true,
		Priority: call.Priority,
		Adapter:  call.Adapter,
		Sampling: samplingParams{MaxNewTokens: call.Limit},
	})
	if err != nil {
		return streamer.Final{}.WithEnd(streamer.Failed, "request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.address+"/generate", bytes.NewReader(body))
	if err != nil {
		return streamer.Final{}.WithEnd(streamer.Failed, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return connectionFailure(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxLineBytes))
		return streamer.Final{}.WithEnd(streamer.Failed, "status-"+strconv.Itoa(resp.StatusCode))
	}
	return e.receive(ctx, id, call, resp.Body, emit)
}

// receive reads the events of an answer until the stream ends. It emits no token of another weight version to a call
// that is pinned to one.
func (e *Engine) receive(ctx context.Context, id identifier.Attempt, call executor.Call, body io.Reader, emit func(streamer.Piece)) streamer.Final {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	var last generateEvent
	var received identifier.Tokens
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		if data = strings.TrimSpace(data); data == "[DONE]" {
			return streamResult(last, received)
		}
		event, err := decodeEvent(data, id)
		if err != nil {
			return streamer.Final{}.WithEnd(streamer.Failed, "event")
		}
		last = event
		version := parseVersion(event.Meta.WeightVersion)
		e.version.Store(uint64(version))
		if call.Version != 0 && version != call.Version {
			return streamer.Final{}.WithEnd(streamer.Failed, "version")
		}
		if len(event.IDs) > 0 {
			received += identifier.Tokens(len(event.IDs))
			emit(streamer.Piece{
				Data: []byte(event.Text), Tokens: identifier.Tokens(len(event.IDs)), Version: version, Adapter: event.Meta.Adapter,
			})
		}
	}
	return connectionFailure(ctx, lines.Err())
}

// decodeEvent decodes an event and checks that it belongs to the attempt.
func decodeEvent(data string, id identifier.Attempt) (generateEvent, error) {
	var event generateEvent
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return event, fmt.Errorf("decode event: %w", err)
	}
	if event.Meta.ID != id.String() {
		return event, fmt.Errorf("event has the ID %q, want %q", event.Meta.ID, id)
	}
	return event, nil
}

// streamResult returns the result of a stream that ended with its closing line. The answer is incomplete when the last
// event has no finish reason, or when the engine's token count differs from the tokens received.
func streamResult(last generateEvent, received identifier.Tokens) streamer.Final {
	f := streamer.Final{Prompt: last.Meta.Prompt, Cached: last.Meta.Cached}
	switch {
	case last.Meta.Finish == nil || last.Meta.Finish.Type == "":
		return f.WithEnd(streamer.Failed, "no-finish")
	case last.Meta.Finish.Type == "abort":
		return f.WithEnd(streamer.Cancelled, "abort")
	case last.Meta.Completion != received:
		return f.WithEnd(streamer.Failed, "token-count")
	default:
		return f.WithEnd(streamer.Complete, last.Meta.Finish.Type)
	}
}

// parseVersion parses a weight version such as "12" or "v12". It returns zero, the unknown version, for anything else.
func parseVersion(s string) identifier.Version {
	n, err := strconv.ParseUint(strings.TrimPrefix(s, "v"), 10, 64)
	if err != nil {
		return 0
	}
	return identifier.Version(n)
}
