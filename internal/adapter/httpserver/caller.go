package httpserver

import (
	"context"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/mimosalb/mimosalb/internal/adapter/guardedconn"
	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Submitter accepts requests for execution.
type Submitter interface {
	Submit(ctx context.Context, r dispatcher.Request) (*dispatcher.Answer, dispatcher.Refusal)
}

// CallerRoutes are the routes for callers of models and plain services.
type CallerRoutes struct {
	submitter Submitter
	auth      *authenticator.Authenticator
	config    *configurator.Configurator
}

// NewCallerRoutes returns routes that pass requests to submitter.
func NewCallerRoutes(submitter Submitter, auth *authenticator.Authenticator, config *configurator.Configurator) *CallerRoutes {
	return &CallerRoutes{submitter: submitter, auth: auth, config: config}
}

// servicePrefix precedes the name of a plain service in a path.
const servicePrefix = "/v1/services/"

// Register adds the routes to e.
func (cs *CallerRoutes) Register(e *echo.Echo) {
	e.POST("/v1/completions", cs.complete)
	e.POST("/v1/chat/completions", cs.chat)
	e.Any(servicePrefix+":service", cs.callService)
	e.Any(servicePrefix+":service/*", cs.callService)
}

// tracer creates the spans of callers' requests.
var tracer = otel.Tracer("github.com/mimosalb/mimosalb/internal/adapter/httpserver")

// exchange is one authenticated request of a caller with its context and trace span.
type exchange struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	span    trace.Span
	request dispatcher.Request
}

// end cancels the context and ends the span.
func (x *exchange) end() {
	x.cancel(context.Canceled)
	x.span.End()
}

// openExchange looks up the service and authenticates the caller. The context of the exchange is cancelled when the
// caller's key is withdrawn. If the last result is false, the problem says why the request is refused.
func (cs *CallerRoutes) openExchange(c echo.Context, name identifier.Service, kind configurator.Kind) (*exchange, Problem, bool) {
	service, problem, ok := findService(cs.config.Current(), name, kind)
	if !ok {
		return nil, problem, false
	}
	var identity authenticator.Identity
	var revoked <-chan struct{}
	if key, given := bearerToken(c.Request()); given {
		var verdict authenticator.Verdict
		if identity, revoked, verdict = cs.auth.Authenticate(key); verdict != authenticator.Accepted {
			return nil, keyProblem(verdict, "the key is unknown or withdrawn"), false
		}
	} else if !service.Open {
		return nil, notRunProblem(http.StatusUnauthorized, "key-missing", "want an Authorization header with a bearer key"), false
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
		request: dispatcher.Request{ID: id, Identity: identity, Service: service},
	}, Problem{}, true
}

// refuseKey returns the problem of a request with a key that is not accepted, before its body is read. A request without a key may be
// for an open service, which only its body names.
func (cs *CallerRoutes) refuseKey(c echo.Context) (Problem, bool) {
	key, given := bearerToken(c.Request())
	if !given {
		return Problem{}, false
	}
	switch _, _, verdict := cs.auth.Authenticate(key); verdict {
	case authenticator.Refused:
		return keyProblem(verdict, "the key is unknown or withdrawn"), true
	case authenticator.Accepted:
		guardedconn.Of(c.Request()).Know()
	default:
	}
	return Problem{}, false
}

// keyProblem returns the problem for a key that was not accepted. Refusal says why one is refused.
func keyProblem(v authenticator.Verdict, refusal string) Problem {
	if v == authenticator.Undecided {
		return notRunProblem(http.StatusServiceUnavailable, "keys-stale", "this entry has no current list of keys")
	}
	return notRunProblem(http.StatusUnauthorized, "key-refused", refusal)
}

// findService looks up a service of the given kind. If the entry has no configuration yet, the problem has status 503
// instead of 404, since the service may exist.
func findService(d configurator.Document, name identifier.Service, kind configurator.Kind) (configurator.Service, Problem, bool) {
	service, ok := d.Service(name)
	switch {
	case ok && service.Kind == kind:
		return service, Problem{}, true
	case d.Revision() == 0:
		return service, notRunProblem(http.StatusServiceUnavailable, "no-configuration", "this entry has no configuration yet"), false
	default:
		return service, notRunProblem(http.StatusNotFound, "no-such-service", "there is no "+string(kind)+" service of this name"), false
	}
}

// bearerToken returns the bearer token of the Authorization header and whether the header is set. The token is empty if
// the header has another form.
func bearerToken(r *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", r.Header.Get("Authorization") != ""
	}
	return strings.TrimSpace(key), true
}
