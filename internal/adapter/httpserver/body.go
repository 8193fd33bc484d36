package httpserver

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/labstack/echo/v4"
)

// readBody reads the complete request body. If ok is false, p says why it could not be read.
func readBody(c echo.Context) (body []byte, p Problem, ok bool) {
	body, room, err := readReserved(c.Request())
	if !room {
		return nil, notRunProblem(http.StatusServiceUnavailable, reasonNoRoom, "the process has no memory for the body now"), false
	}
	var he *echo.HTTPError
	var ne net.Error
	switch {
	case err == nil:
		return body, Problem{}, true
	case errors.As(err, &he) && he.Code == http.StatusRequestEntityTooLarge:
		return nil, notRunProblem(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, "the body is larger than "+bodyLimit), false
	case errors.As(err, &ne) && ne.Timeout():
		return nil, notRunProblem(http.StatusRequestTimeout, "body-slow", "the body did not arrive in "+bodyTimeout.String()), false
	default:
		return nil, notRunProblem(http.StatusBadRequest, "body-unreadable", "the body could not be read completely"), false
	}
}

// readJSON decodes the body, which must be exactly one JSON value, into value. If strict is set, unknown fields are
// rejected. It checks the UTF-8 encoding and the end of the body itself: encoding/json replaces invalid bytes and its
// decoder ignores data after the first value.
func readJSON(c echo.Context, value any, strict bool) (Problem, bool) {
	body, p, ok := readBody(c)
	if !ok {
		return p, false
	}
	if !utf8.Valid(body) {
		return notRunProblem(http.StatusBadRequest, "bad-json", "the body is not UTF-8"), false
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	if strict {
		dec.DisallowUnknownFields()
	}
	if err := dec.Decode(value); err != nil {
		return notRunProblem(http.StatusBadRequest, "bad-json", jsonDetail(err)), false
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return notRunProblem(http.StatusBadRequest, "bad-json", "the body has more than one JSON value"), false
	}
	return Problem{}, true
}

// jsonDetail describes a JSON decoding error for the client. It leaves out values of the body, which may hold a prompt.
func jsonDetail(err error) string {
	var wrong *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.Is(err, io.EOF):
		return "the body is empty"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "the JSON of the body is truncated"
	case errors.As(err, &wrong) && wrong.Field != "":
		kind, _, _ := strings.Cut(wrong.Value, " ") // the rest of wrong.Value may hold the value itself
		return wrong.Field + ": the field can't hold this JSON " + kind
	case errors.As(err, &wrong):
		return "the body: want a JSON object"
	case errors.As(err, &syntax):
		return "the body is not JSON"
	default:
		return err.Error()
	}
}
