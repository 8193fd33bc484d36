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

// forwardedHeaders are the request headers that are forwarded to a plain service. Authorization must not be among them:
// it holds the caller's key.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match"}

// callService forwards a request to a plain service and returns the service's answer.
func (cs *CallerRoutes) callService(c echo.Context) error {
	name := identifier.Service(c.Param("service"))
	ex, problem, ok := cs.openExchange(c, name, configurator.Plain)
	if !ok {
		return problem.write(c, 0)
	}
	defer ex.end()
	body, problem, ok := readBody(c)
	if !ok {
		return problem.write(c, 0)
	}
	path, ok := servicePath(c.Request().URL)
	if !ok {
		return notRunProblem(http.StatusBadRequest, "bad-path", "the path after the service name: want valid escapes and no . or .. segments").write(c, 0)
	}
	ex.request.Call = plainCall(c, name, path, body)
	ex.request.Call.Team = ex.request.Identity.Team
	ex.request.Expected = 1
	ex.request.Key = c.Request().Header.Get("Idempotency-Key")
	answer, refusal := cs.submitter.Submit(ex.ctx, ex.request)
	if refusal.Refused() {
		return refusalProblem(refusal).write(c, refusal.RetryAfter)
	}
	_, span := tracer.Start(ex.ctx, "delivery")
	defer span.End()
	chunk := readToEnd(answer)
	result := answer.Result()
	if result.Replayed {
		c.Response().Header().Set("Idempotent-Replayed", "true")
	}
	if result.Reason != "" {
		return resultProblem(result, string(ex.request.ID)).write(c, result.RetryAfter)
	}
	return writePlain(c, chunk, result)
}

// servicePath returns the path after the service name and the query, escaped as the caller sent them. It refuses paths
// with dot segments, which the service could resolve to a path outside the requested one.
func servicePath(u *url.URL) (string, bool) {
	_, path, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), servicePrefix), "/")
	for segment := range strings.SplitSeq(path, "/") {
		if decoded, err := url.PathUnescape(segment); err != nil || decoded == "." || decoded == ".." {
			return "", false
		}
	}
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return "/" + path, true
}

// plainCall returns the call for a request to a plain service.
func plainCall(c echo.Context, name identifier.Service, path string, body []byte) executor.Call {
	r := c.Request()
	header := make(map[string]string)
	for _, h := range forwardedHeaders {
		if v := r.Header.Get(h); v != "" {
			header[h] = v
		}
	}
	return executor.Call{Service: name, Method: r.Method, Path: path, Header: header, Body: body}
}

// writePlain writes the answer of a plain service with its status and headers.
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
