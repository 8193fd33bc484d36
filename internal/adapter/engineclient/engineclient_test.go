package engineclient_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/engineclient"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

const (
	tokenEvent        = `data: {"text":" a","output_ids":[1],"meta_info":{"id":"r/0","weight_version":"3","completion_tokens":1}}` + "\n\n"
	lastEvent         = `data: {"text":" b","output_ids":[2],"meta_info":{"id":"r/0","completion_tokens":2,"finish_reason":{"type":"length"}}}` + "\n\n"
	lastEventAfterGap = `data: {"text":" c","output_ids":[3],"meta_info":{"id":"r/0","completion_tokens":3,"finish_reason":{"type":"length"}}}` + "\n\n"
	otherRequestEvent = `data: {"text":" x","output_ids":[9],"meta_info":{"id":"s/0","weight_version":"3","completion_tokens":2}}` + "\n\n"
	closingLine       = "data: [DONE]\n\n"
)

// Guards against an answer that is reported complete although it was cut short, never arrived, lacks a token or
// contains an event of another request, and against a refused connection that is reported as a call that may have run.
func TestAnswerEnds(t *testing.T) {
	c := qt.New(t)
	var out strings.Builder
	record := func(what string, address string) {
		e := engineclient.NewEngine(address)
		tokens := 0
		final := e.Run(context.Background(), identifier.Attempt{Request: "r"}, executor.Call{Limit: 2}, func(streamer.Piece) { tokens++ })
		fmt.Fprintf(&out, "%-28s %v (%s), %d tokens\n", what, final.End, final.Reason, tokens)
	}
	answers := []struct{ what, body string }{
		{"whole", tokenEvent + lastEvent + closingLine},
		{"cut after a token", tokenEvent},
		{"cut before the closing line", tokenEvent + lastEvent},
		{"token missing", tokenEvent + lastEventAfterGap + closingLine},
		{"no finish reason", tokenEvent + closingLine},
		{"event of another request", tokenEvent + otherRequestEvent + lastEvent + closingLine},
		{"no JSON", "data: {\n\n" + closingLine},
	}
	for _, a := range answers {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(a.body)) }))
		record(a.what, s.URL)
		s.Close()
	}
	abort := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	record("connection broken", abort.URL)
	abort.Close()
	full := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	record("status 503", full.URL)
	full.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	record("connection refused", "http://"+l.Addr().String())
	goldie.New(t).Assert(t, "ends", []byte(out.String()))

	final := engineclient.NewService("http://"+l.Addr().String()).Run(
		context.Background(), identifier.Attempt{Request: "r"}, executor.Call{Method: http.MethodPost, Path: "/"}, func(streamer.Piece) {})
	c.Assert(final.End, qt.Equals, streamer.Unreached)
}
