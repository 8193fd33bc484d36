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

// completeStream is a stream of one token with a finish reason and the closing line.
const completeStream = `data: {"text":" a","output_ids":[1],"meta_info":{"id":"r/0","weight_version":"v3",` +
	`"completion_tokens":1,"finish_reason":{"type":"length"}}}` + "\n\ndata: [DONE]\n\n"

// scriptedEngine answers every call with the bytes of stream.
type scriptedEngine struct{ stream []byte }

func (e *scriptedEngine) ServeHTTP(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(e.stream) }

func run(e *engineclient.Engine) streamer.Final {
	id := identifier.Attempt{Request: "r"}
	return e.Run(context.Background(), id, executor.Call{Prompt: "p", Limit: 4}, func(streamer.Piece) {})
}

// Guards against an answer that is reported complete although its stream broke off, has no finish reason or belongs to
// another request.
func TestOnlyFinishedStreamIsComplete(t *testing.T) {
	c := qt.New(t)
	script := &scriptedEngine{}
	s := httptest.NewServer(script)
	defer s.Close()
	client := engineclient.NewEngine(s.URL)
	for _, tc := range []struct {
		name, stream string
		end          streamer.End
	}{
		{"whole", completeStream, streamer.Complete},
		{"empty", "", streamer.Crashed},
		{"no end", strings.Split(completeStream, "\n")[0] + "\n", streamer.Crashed},
		{"no finish reason", "data: [DONE]\n", streamer.Failed},
		{"finish reason without a type", strings.Replace(completeStream, "type", "kind", 1), streamer.Failed},
		{"other request", strings.ReplaceAll(completeStream, "r/0", "q/0"), streamer.Failed},
		{"truncated event", completeStream[:60] + "\n", streamer.Failed},
		{"line of 2 MB", "data: " + strings.Repeat("a", 2<<20), streamer.Crashed},
	} {
		script.stream = []byte(tc.stream)
		final := run(client)
		c.Check(final.End, qt.Equals, tc.end, qt.Commentf(tc.name))
	}
}

// Guards against a malformed stream that makes the client panic, and against a stream without finish reason or closing
// line that is reported complete.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{
		completeStream, completeStream[:60], "", "data:", "data: {}\n", "data: [DONE]\n", "\xff\n",
		strings.ReplaceAll(completeStream, "r/0", "q/0"),
	} {
		f.Add([]byte(seed))
	}
	script := &scriptedEngine{}
	client := engineclient.NewEngine("http://engine.test")
	engineclient.SetTransport(client, roundTrip(func(r *http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(script.stream))), Request: r}, nil
	}))
	f.Fuzz(func(t *testing.T, stream []byte) {
		script.stream = stream
		final := run(client)
		// A field name with escapes is valid JSON, but the comparison below would not find it.
		if final.End != streamer.Complete || strings.Contains(string(stream), `\u`) {
			return
		}
		// The JSON decoder matches field names without regard to case.
		for _, want := range []string{"[done]", "finish_reason", `"type"`} {
			if !strings.Contains(strings.ToLower(string(stream)), want) {
				t.Errorf("complete without %s: %q", want, stream)
			}
		}
	})
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
