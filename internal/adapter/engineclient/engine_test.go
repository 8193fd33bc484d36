package engineclient_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/engineclient"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// whole is a stream of one token that ends in order.
const whole = `data: {"text":" a","output_ids":[1],"meta_info":{"id":"r/0","weight_version":"v3",` +
	`"completion_tokens":1,"finish_reason":{"type":"length"}}}` + "\n\ndata: [DONE]\n\n"

// scriptedEngine answers every call with the same bytes.
type scriptedEngine struct{ stream []byte }

func (e *scriptedEngine) ServeHTTP(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(e.stream) }

func run(back *engineclient.Engine) streamer.Final {
	id := identifier.Attempt{Request: "r"}
	return back.Run(context.Background(), id, executor.Call{Prompt: "p", Limit: 4}, func(streamer.Piece) {})
}

// Guards against an answer that is called complete although its stream broke off, did not finish or belongs to another
// request.
func TestOnlyAnOrderlyStreamIsComplete(t *testing.T) {
	c := qt.New(t)
	e := &scriptedEngine{}
	s := httptest.NewServer(e)
	defer s.Close()
	back := engineclient.NewEngine(s.URL)
	for _, tc := range []struct {
		name, stream string
		end          streamer.End
	}{
		{"whole", whole, streamer.Complete},
		{"empty", "", streamer.Crashed},
		{"no end", strings.Split(whole, "\n")[0] + "\n", streamer.Crashed},
		{"no finish reason", "data: [DONE]\n", streamer.Failed},
		{"finish reason without a type", strings.Replace(whole, "type", "kind", 1), streamer.Failed},
		{"other request", strings.ReplaceAll(whole, "r/0", "q/0"), streamer.Failed},
		{"truncated event", whole[:60] + "\n", streamer.Failed},
		{"line of 2 MB", "data: " + strings.Repeat("a", 2<<20), streamer.Crashed},
	} {
		e.stream = []byte(tc.stream)
		final := run(back)
		c.Check(final.End, qt.Equals, tc.end, qt.Commentf(tc.name))
	}
}

// Guards against an engine's stream that panics or is called complete without its closing mark.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{whole, whole[:60], "", "data:", "data: {}\n", "data: [DONE]\n", "\xff\n", strings.ReplaceAll(whole, "r/0", "q/0")} {
		f.Add([]byte(seed))
	}
	e := &scriptedEngine{}
	back := engineclient.NewEngine("http://engine.test")
	engineclient.SetTransport(back, roundTrip(func(r *http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(e.stream))), Request: r}, nil
	}))
	f.Fuzz(func(t *testing.T, stream []byte) {
		e.stream = stream
		final := run(back)
		// An escaped field name is valid and would hide from the comparison below.
		if final.End != streamer.Complete || strings.Contains(string(stream), `\u`) {
			return
		}
		// The JSON decoder takes field names in any case.
		for _, want := range []string{"[done]", "finish_reason", `"type"`} {
			if !strings.Contains(strings.ToLower(string(stream)), want) {
				t.Errorf("complete without %s: %q", want, stream)
			}
		}
	})
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
