package engineclient

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/mimosalb/mimosalb/internal/adapter/inspector"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// Service is a plain service behind its HTTP address.
type Service struct {
	address string
	client  *http.Client
}

// NewService returns the plain service at address, such as http://127.0.0.1:7000.
// reports are called for answers with an invalid status.
func NewService(address string, reports ...inspector.Report) *Service {
	t := newTransport()
	// net/http resends a request when a reused connection breaks, which would repeat a call that must not be repeated.
	t.DisableKeepAlives = true
	return &Service{address: address, client: newHTTPClient(t, reports)}
}

// Version returns zero: a plain service has no weights.
func (s *Service) Version() identifier.Version { return 0 }

// Run forwards the call to the service and emits the whole body of the answer as one piece.
func (s *Service) Run(ctx context.Context, id identifier.Attempt, call executor.Call, emit func(streamer.Piece)) streamer.Final {
	ctx, span := startSpan(ctx, id)
	defer span.End()
	req, err := http.NewRequestWithContext(ctx, call.Method, s.address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return streamer.Final{}.WithEnd(streamer.Failed, "request")
	}
	for k, v := range call.Header {
		req.Header.Set(k, v)
	}
	req.Header.Set("X-Request-Id", string(id.Request))
	req.Header.Set("X-Team", string(call.Team))
	resp, err := s.client.Do(req)
	if err != nil {
		return connectionFailure(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return connectionFailure(ctx, err)
	case len(body) > maxAnswerBytes:
		return streamer.Final{}.WithEnd(streamer.Failed, "answer-too-large")
	}
	emit(streamer.Piece{Data: body})
	return streamer.Final{}.WithHeader(resp.StatusCode, answerHeader(resp.Header)).WithEnd(streamer.Complete, "answered")
}

// answerHeader returns the headers of an answer that describe its content.
func answerHeader(h http.Header) map[string]string {
	header := make(map[string]string)
	for _, name := range []string{"Content-Type", "Content-Language", "Etag", "Last-Modified", "Location", "Cache-Control"} {
		if v := h.Get(name); v != "" {
			header[name] = v
		}
	}
	return header
}
