package httpserver

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/mimosalb/mimosalb/internal/dispatcher"
)

// Problem is an error body as defined by RFC 9457. Type says whether the request ran.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Reason is a short identifier of the cause that programs can match.
	Reason string `json:"reason"`
	Detail string `json:"detail,omitempty"`
	// Request is the ID of the request, if it has one.
	Request string `json:"request,omitempty"`
}

// Values of Problem.Type.
const (
	TypeNotRun  = "urn:mimosalb:problem:not-run"
	TypeUnknown = "urn:mimosalb:problem:unknown"
	TypeRan     = "urn:mimosalb:problem:ran"
)

// problemContentType is the media type of problems.
const problemContentType = "application/problem+json"

// notRunProblem returns the problem for a request that did not run.
func notRunProblem(status int, reason, detail string) Problem {
	return Problem{Type: TypeNotRun, Title: "The request did not run", Status: status, Reason: reason, Detail: detail}
}

// refusalProblem returns the problem for a request that the dispatcher refused.
func refusalProblem(r dispatcher.Refusal) Problem {
	return notRunProblem(refusalStatus(r.Reason), r.Reason, refusalDetails[r.Reason])
}

// refusalDetails explains the refusals for which the caller can change the request or wait.
var refusalDetails = map[string]string{
	dispatcher.ReasonCrashesTargets: "targets crashed while they ran this request; it is refused until the time in Retry-After has passed",
	dispatcher.ReasonNoRegion:       "no target of the service is in the regions that the configuration allows",
	dispatcher.ReasonKeyReused:      "the Idempotency-Key was already used for a different request",
}

func refusalStatus(reason string) int {
	switch reason {
	case dispatcher.ReasonCrashesTargets, dispatcher.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case dispatcher.ReasonStopping, dispatcher.ReasonStoreUnavailable, dispatcher.ReasonNoRegion:
		return http.StatusServiceUnavailable
	default:
		return http.StatusTooManyRequests
	}
}

// resultProblem returns the problem for a request that ended without a complete answer.
func resultProblem(r dispatcher.Result, request string) Problem {
	p := Problem{Reason: r.Reason, Request: request, Detail: refusalDetails[r.Reason]}
	switch r.RunState {
	case dispatcher.NotRun:
		p.Type, p.Title, p.Status = TypeNotRun, "The request did not run", http.StatusServiceUnavailable
		if _, explained := refusalDetails[r.Reason]; explained {
			p.Status = refusalStatus(r.Reason)
		}
	case dispatcher.HasRun:
		p.Type, p.Title, p.Status = TypeRan, "The request ran and failed", http.StatusBadGateway
	default:
		p.Type, p.Title, p.Status = TypeUnknown, "The request may have run", http.StatusGatewayTimeout
	}
	switch r.Reason {
	case dispatcher.ReasonKeyWithdrawn:
		p.Status = http.StatusUnauthorized
	case dispatcher.ReasonAnswerInvalid:
		// The target did answer, so the gateway did not time out.
		p.Status = http.StatusBadGateway
	default:
	}
	return p
}

// write sends the problem. A positive retryAfter is sent as Retry-After, rounded up to whole seconds.
func (p Problem) write(c echo.Context, retryAfter time.Duration) error {
	if retryAfter > 0 {
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	return c.Blob(p.Status, problemContentType, p.encode())
}

func (p Problem) encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		panic("invariant problem-form: every problem can be encoded as JSON")
	}
	return data
}

// handleError writes a problem for errors that no handler has answered, such as unknown routes, wrong methods and bodies
// over the limit.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var he *echo.HTTPError
	if errors.As(err, &he) {
		status = he.Code
	}
	p := notRunProblem(status, reasonForStatus(status), http.StatusText(status))
	if status == http.StatusInternalServerError {
		p.Type, p.Title = TypeUnknown, "The request may have run"
	}
	_ = p.write(c, 0)
}

// reasonBodyTooLarge is the Problem.Reason for a body over the limit.
const reasonBodyTooLarge = "body-too-large"

// reasonForStatus returns the Problem.Reason for an HTTP status that net/http or echo chose.
func reasonForStatus(status int) string {
	switch status {
	case http.StatusNotFound:
		return "no-such-route"
	case http.StatusMethodNotAllowed:
		return "wrong-method"
	case http.StatusRequestEntityTooLarge:
		return reasonBodyTooLarge
	case http.StatusRequestHeaderFieldsTooLarge:
		return "header-too-large"
	case http.StatusBadRequest, http.StatusNotImplemented, http.StatusHTTPVersionNotSupported:
		return "bad-request"
	default:
		return "internal"
	}
}
