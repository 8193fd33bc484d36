// Package engineclient runs calls on the target beside an agent: on a model engine through its /generate interface, or
// on a plain service over HTTP.
package engineclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/textproto"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/mimosalb/mimosalb/internal/adapter/inspector"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

const (
	// idleConnections is the number of connections to the target that stay open between calls.
	idleConnections = 256
	// maxAnswerBytes limits the body of a plain service's answer.
	maxAnswerBytes = 16 << 20
	// headerTimeout bounds the wait for the first byte of an answer's header.
	headerTimeout = 2 * time.Minute
	// maxHeadBytes is the largest size of the head of an answer. A faulty target may send a head without end.
	maxHeadBytes = 64 << 10
)

// tracer creates the spans of calls to the target.
var tracer = otel.Tracer("github.com/mimosalb/mimosalb/internal/adapter/engineclient")

// startSpan starts the span of one attempt on the target. No trace context is sent to the target, because it is not
// part of this project.
func startSpan(ctx context.Context, id identifier.Attempt) (context.Context, trace.Span) {
	return tracer.Start(ctx, "engine", trace.WithAttributes(attribute.String("mimosalb.attempt", id.String())))
}

func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConns:           idleConnections,
		MaxIdleConnsPerHost:    idleConnections,
		ResponseHeaderTimeout:  headerTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

func newHTTPClient(t *http.Transport, reports []inspector.Report) *http.Client {
	return &http.Client{
		Transport:     inspector.NewTransport(t, reports...),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// connectionFailure returns the result of a call whose connection failed with err. A dial error means that the target
// received no byte: net/http dials again only when nothing was written to the previous connection.
func connectionFailure(ctx context.Context, err error) streamer.Final {
	var opErr *net.OpError
	var netErr net.Error
	var invalid *inspector.StatusError
	var malformed textproto.ProtocolError
	switch {
	case errors.As(err, &invalid):
		return streamer.Final{}.WithEnd(streamer.Invalid, fmt.Sprintf("status-%03d", invalid.Status))
	case errors.Is(err, inspector.ErrFieldName), errors.As(err, &malformed):
		return streamer.Final{}.WithEnd(streamer.Invalid, "header")
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return streamer.Final{}.WithEnd(streamer.Unreached, "connection-refused")
	case ctx.Err() != nil:
		return streamer.Final{}.WithEnd(streamer.Cancelled, "cancelled")
	case errors.As(err, &netErr) && netErr.Timeout():
		return streamer.Final{}.WithEnd(streamer.NoAnswer, "no-answer")
	default:
		return streamer.Final{}.WithEnd(streamer.Crashed, "connection")
	}
}
