package httpserver

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// forwarded lists the request headers that a plain service gets. The caller's key is never among them.
var forwarded = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match"}

// callService passes a call to a plain service and its answer back.
func (cs *CallerRoutes) callService(c echo.Context) error {
	name := identifier.Service(c.Param("service"))
	x, problem, ok := cs.open(c, name, configurator.Plain)
	if !ok {
		return problem.write(c, 0)
	}
	defer x.end()
	body, problem, ok := readBody(c)
	if !ok {
		return problem.write(c, 0)
	}
	path, ok := servicePath(c.Request().URL)
	if !ok {
		return refused(http.StatusBadRequest, "bad-path", "want a path without . and .. as its parts").write(c, 0)
	}
	x.request.Call = plainCall(c, name, path, body)
	x.request.Call.Team = x.request.Identity.Team
	x.request.Expected = 1
	x.request.Key = c.Request().Header.Get("Idempotency-Key")
	answer, refusal := cs.submit.Submit(x.ctx, x.request)
	if refusal.Refused() {
		return ofRefusal(refusal).write(c, refusal.RetryAfter)
	}
	_, span := tracer.Start(x.ctx, "delivery")
	defer span.End()
	chunk := readWhole(answer)
	result := answer.Result()
	if result.Replayed {
		c.Response().Header().Set("Idempotent-Replayed", "true")
	}
	if result.Reason != "" {
		return ofResult(result, string(x.request.ID)).write(c, result.RetryAfter)
	}
	return writePlain(c, chunk, result)
}

// servicePath returns the part of the path that is the service's own, escaped as the caller sent it. A path with dot
// segments is refused: the service could resolve it to a path that the caller did not name.
func servicePath(u *url.URL) (string, bool) {
	_, path, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), servicePrefix), "/")
	for segment := range strings.SplitSeq(path, "/") {
		if plain, err := url.PathUnescape(segment); err != nil || plain == "." || plain == ".." {
			return "", false
		}
	}
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return "/" + path, true
}

func plainCall(c echo.Context, name identifier.Service, path string, body []byte) executor.Call {
	r := c.Request()
	header := make(map[string]string)
	for _, h := range forwarded {
		if v := r.Header.Get(h); v != "" {
			header[h] = v
		}
	}
	return executor.Call{Service: name, Method: r.Method, Path: path, Header: header, Body: body}
}

func writePlain(c echo.Context, chunk streamer.Chunk, result dispatcher.Result) error {
	contentType := "application/octet-stream"
	for k, v := range result.Final.Header {
		if strings.EqualFold(k, "Content-Type") {
			contentType = v
			continue
		}
		c.Response().Header().Set(k, v)
	}
	var body []byte
	for _, p := range chunk.Pieces {
		body = append(body, p.Data...)
	}
	return c.Blob(result.Final.Status, contentType, body)
}
