package httpserver

import (
	"context"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Submitter takes requests.
type Submitter interface {
	Submit(ctx context.Context, r dispatcher.Request) (*dispatcher.Answer, dispatcher.Refusal)
}

// CallerRoutes is the interface for everyday callers.
type CallerRoutes struct {
	submit Submitter
	auth   *authenticator.Authenticator
	config *configurator.Configurator
}

// NewCallerRoutes returns the callers' routes.
func NewCallerRoutes(submit Submitter, auth *authenticator.Authenticator, config *configurator.Configurator) *CallerRoutes {
	return &CallerRoutes{submit: submit, auth: auth, config: config}
}

// servicePrefix is the path before the name of a plain service.
const servicePrefix = "/v1/services/"

// Register adds the callers' routes.
func (cs *CallerRoutes) Register(e *echo.Echo) {
	e.POST("/v1/completions", cs.complete)
	e.POST("/v1/chat/completions", cs.chat)
	e.Any(servicePrefix+":service", cs.callService)
	e.Any(servicePrefix+":service/*", cs.callService)
}

// tracer makes the spans of the callers' edge.
var tracer = otel.Tracer("github.com/mimosalb/mimosalb/internal/adapter/httpserver")

// exchange is one authenticated call of a caller.
type exchange struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	span    trace.Span
	request dispatcher.Request
}

// end releases the exchange.
func (x *exchange) end() {
	x.cancel(context.Canceled)
	x.span.End()
}

// open finds the service and the caller's team. The exchange ends early when the caller's key is withdrawn. A problem
// with a status was found if ok is false.
func (cs *CallerRoutes) open(c echo.Context, name identifier.Service, kind configurator.Kind) (*exchange, Problem, bool) {
	service, problem, ok := serviceOf(cs.config.Current(), name, kind)
	if !ok {
		return nil, problem, false
	}
	var who authenticator.Identity
	var revoked <-chan struct{}
	if key, given := bearer(c.Request()); given {
		if who, revoked, ok = cs.auth.Authenticate(key); !ok && !cs.auth.Fresh() {
			return nil, refused(http.StatusServiceUnavailable, "keys-stale", "withdrawals of keys can't be known at present"), false
		}
		if !ok {
			return nil, refused(http.StatusUnauthorized, "key-refused", "the key is unknown or withdrawn"), false
		}
	} else if !service.Open {
		return nil, refused(http.StatusUnauthorized, "key-missing", "want an Authorization header with a bearer key"), false
	}
	id := identifier.NewRequest()
	c.Response().Header().Set("X-Request-Id", string(id))
	ctx, span := tracer.Start(c.Request().Context(), "caller", trace.WithAttributes(
		attribute.String("mimosalb.request", string(id)), attribute.String("mimosalb.service", string(name))))
	ctx, cancel := context.WithCancelCause(ctx)
	if revoked != nil {
		go func() {
			select {
			case <-revoked:
				cancel(dispatcher.ErrKeyWithdrawn)
			case <-ctx.Done():
			}
		}()
	}
	return &exchange{
		ctx:     ctx,
		cancel:  cancel,
		span:    span,
		request: dispatcher.Request{ID: id, Identity: who, Service: service},
	}, Problem{}, true
}

// serviceOf finds a service of a kind. An entry that has no configuration yet can't say that there is none.
func serviceOf(d configurator.Document, name identifier.Service, kind configurator.Kind) (configurator.Service, Problem, bool) {
	service, ok := d.Service(name)
	switch {
	case ok && service.Kind == kind:
		return service, Problem{}, true
	case d.Revision() == 0:
		return service, refused(http.StatusServiceUnavailable, "no-configuration", "this entry has no configuration yet"), false
	default:
		return service, refused(http.StatusNotFound, "no-such-service", "there is no "+string(kind)+" service of this name"), false
	}
}

// bearer returns the key of the Authorization header.
func bearer(r *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", r.Header.Get("Authorization") != ""
	}
	return strings.TrimSpace(key), true
}
