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

// Problem is an error body in the form of RFC 9457. Type says whether the request ran.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Reason is a short fixed word for programs.
	Reason string `json:"reason"`
	Detail string `json:"detail,omitempty"`
	// Request is the identity of the request, if it has one.
	Request string `json:"request,omitempty"`
}

// Types of problems.
const (
	TypeNotRun  = "urn:mimosalb:problem:not-run"
	TypeUnknown = "urn:mimosalb:problem:unknown"
	TypeRan     = "urn:mimosalb:problem:ran"
)

// problemContentType is the media type of problems.
const problemContentType = "application/problem+json"

// refused is a problem of a request that was not taken.
func refused(status int, reason, detail string) Problem {
	return Problem{Type: TypeNotRun, Title: "The request did not run", Status: status, Reason: reason, Detail: detail}
}

// ofRefusal is the problem of a request that the dispatcher did not take.
func ofRefusal(r dispatcher.Refusal) Problem {
	return refused(refusalStatus(r.Reason), r.Reason, refusalDetails[r.Reason])
}

// refusalDetails explains the refusals that a caller can do something about.
var refusalDetails = map[string]string{
	dispatcher.ReasonCrashesTargets: "targets crashed while they ran this request; it is held back until the time in Retry-After",
	dispatcher.ReasonKeyReused:      "the Idempotency-Key belongs to a request with another body",
}

func refusalStatus(reason string) int {
	switch reason {
	case dispatcher.ReasonCrashesTargets, dispatcher.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case dispatcher.ReasonStopping, dispatcher.ReasonStoreUnavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusTooManyRequests
	}
}

// ofResult is the problem of a request that ended without a whole answer.
func ofResult(r dispatcher.Result, request string) Problem {
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
	if r.Reason == dispatcher.ReasonKeyWithdrawn {
		p.Status = http.StatusUnauthorized
	}
	return p
}

// write sends the problem. A positive retryAfter is rounded up to whole seconds.
func (p Problem) write(c echo.Context, retryAfter time.Duration) error {
	if retryAfter > 0 {
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	return c.Blob(p.Status, problemContentType, p.encode())
}

func (p Problem) encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		panic("invariant problem-form: a problem can be encoded")
	}
	return data
}

// handleError answers errors that no handler turned into a problem: unknown routes, wrong methods, large bodies.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var he *echo.HTTPError
	if errors.As(err, &he) {
		status = he.Code
	}
	p := refused(status, reasonOf(status), http.StatusText(status))
	if status == http.StatusInternalServerError {
		p.Type, p.Title = TypeUnknown, "The request may have run"
	}
	_ = p.write(c, 0)
}

// reasonTooLarge is the reason of a body above the limit.
const reasonTooLarge = "body-too-large"

func reasonOf(status int) string {
	switch status {
	case http.StatusNotFound:
		return "no-such-route"
	case http.StatusMethodNotAllowed:
		return "wrong-method"
	case http.StatusRequestEntityTooLarge:
		return reasonTooLarge
	case http.StatusRequestHeaderFieldsTooLarge:
		return "header-too-large"
	case http.StatusBadRequest, http.StatusNotImplemented, http.StatusHTTPVersionNotSupported:
		return "bad-request"
	default:
		return "internal"
	}
}
