package httpserver

import (
	"io"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// forwarded lists the request headers that a plain service gets. The caller's key is never among them.
var forwarded = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match"}

// callService passes a call to a plain service and its answer back.
func (cs *Callers) callService(c echo.Context) error {
	name := identifier.Service(c.Param("service"))
	x, problem, ok := cs.open(c, name, configurator.Plain)
	if !ok {
		return problem.write(c, 0)
	}
	defer x.end()
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return refused(http.StatusBadRequest, "body-unreadable", "the body could not be read whole").write(c, 0)
	}
	x.request.Call = plainCall(c, name, body)
	x.request.Call.Team = x.request.Identity.Team
	x.request.Expected = 1
	x.request.Key = c.Request().Header.Get("Idempotency-Key")
	answer, refusal := cs.submit.Submit(x.ctx, x.request)
	if refusal.Refused() {
		return ofRefusal(refusal).write(c, refusal.RetryAfter)
	}
	<-answer.Done()
	result := answer.Result()
	if result.Replayed {
		c.Response().Header().Set("Idempotent-Replayed", "true")
	}
	if result.Reason != "" {
		return ofResult(result, string(x.request.ID)).write(c, result.RetryAfter)
	}
	return writePlain(c, answer, result)
}

func plainCall(c echo.Context, name identifier.Service, body []byte) executor.Call {
	r := c.Request()
	path := "/" + c.Param("*")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := make(map[string]string)
	for _, h := range forwarded {
		if v := r.Header.Get(h); v != "" {
			header[h] = v
		}
	}
	return executor.Call{Service: name, Method: r.Method, Path: path, Header: header, Body: body}
}

func writePlain(c echo.Context, answer *dispatcher.Answer, result dispatcher.Result) error {
	contentType := "application/octet-stream"
	for k, v := range result.Final.Header {
		if strings.EqualFold(k, "Content-Type") {
			contentType = v
			continue
		}
		c.Response().Header().Set(k, v)
	}
	chunk, _ := answer.Read(0)
	var body []byte
	for _, p := range chunk.Pieces {
		body = append(body, p.Data...)
	}
	return c.Blob(result.Final.Status, contentType, body)
}
