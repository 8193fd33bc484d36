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

// readBody reads the whole body. The problem is set if ok is false.
func readBody(c echo.Context) (body []byte, p Problem, ok bool) {
	body, err := io.ReadAll(c.Request().Body)
	var he *echo.HTTPError
	var ne net.Error
	switch {
	case err == nil:
		return body, Problem{}, true
	case errors.As(err, &he) && he.Code == http.StatusRequestEntityTooLarge:
		return nil, refused(http.StatusRequestEntityTooLarge, reasonTooLarge, "the body is larger than "+bodyLimit), false
	case errors.As(err, &ne) && ne.Timeout():
		return nil, refused(http.StatusRequestTimeout, "body-slow", "the body did not arrive in "+bodyTimeout.String()), false
	default:
		return nil, refused(http.StatusBadRequest, "body-unreadable", "the body could not be read whole"), false
	}
}

// readJSON reads the body as one JSON value into value. strict refuses fields that value does not have. The decoder of
// the library would replace bytes that are not UTF-8 and pass over what follows the value.
func readJSON(c echo.Context, value any, strict bool) (Problem, bool) {
	body, p, ok := readBody(c)
	if !ok {
		return p, false
	}
	if !utf8.Valid(body) {
		return refused(http.StatusBadRequest, "bad-json", "the body is not UTF-8"), false
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	if strict {
		dec.DisallowUnknownFields()
	}
	if err := dec.Decode(value); err != nil {
		return refused(http.StatusBadRequest, "bad-json", jsonDetail(err)), false
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return refused(http.StatusBadRequest, "bad-json", "the body has more than one JSON value"), false
	}
	return Problem{}, true
}

// jsonDetail says in plain words what is wrong with a JSON body. It repeats no value, since a prompt may be among them.
func jsonDetail(err error) string {
	var wrong *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.Is(err, io.EOF):
		return "the body is empty"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "the JSON of the body breaks off"
	case errors.As(err, &wrong) && wrong.Field != "":
		kind, _, _ := strings.Cut(wrong.Value, " ") // the rest is the value
		return wrong.Field + ": want another type than a JSON " + kind
	case errors.As(err, &wrong):
		return "the body: want a JSON object"
	case errors.As(err, &syntax):
		return "the body is not JSON"
	default:
		return err.Error()
	}
}
