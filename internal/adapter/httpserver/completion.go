package httpserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

const (
	// defaultMaxTokens is the length of an answer whose request sets none.
	defaultMaxTokens = 16
	// maxTokensLimit bounds the length of an answer in tokens.
	maxTokensLimit = 1 << 17
)

// completionRequest is the usual JSON request for a completion.
type completionRequest struct {
	Model     identifier.Service `json:"model"`
	Prompt    string             `json:"prompt"`
	Messages  []chatMessage      `json:"messages"`
	MaxTokens identifier.Tokens  `json:"max_tokens"`
	Stream    bool               `json:"stream"`
	// Version pins the answer to a weight version; zero accepts any.
	Version identifier.Version `json:"weight_version"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// complete answers a completion request.
func (cs *CallerRoutes) complete(c echo.Context) error { return cs.generate(c, textForm{}) }

// chat answers a chat completion request.
func (cs *CallerRoutes) chat(c echo.Context) error { return cs.generate(c, chatForm{}) }

func (cs *CallerRoutes) generate(c echo.Context, form completionForm) error {
	var q completionRequest
	if p, ok := readJSON(c, &q, false); !ok {
		return p.write(c, 0)
	}
	prompt, detail := form.prompt(q)
	if detail == "" && (q.MaxTokens < 0 || q.MaxTokens > maxTokensLimit) {
		detail = fmt.Sprintf("max_tokens: want a number from 1 to %d", maxTokensLimit)
	}
	if detail != "" {
		return refused(http.StatusBadRequest, "bad-field", detail).write(c, 0)
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = defaultMaxTokens
	}
	x, problem, ok := cs.open(c, q.Model, configurator.Model)
	if !ok {
		return problem.write(c, 0)
	}
	defer x.end()
	x.request.Call = executor.Call{
		Service: q.Model, Team: x.request.Identity.Team, Prompt: prompt, Limit: q.MaxTokens, Version: q.Version,
	}
	x.request.Expected = q.MaxTokens
	x.request.Key = c.Request().Header.Get("Idempotency-Key")
	answer, refusal := cs.submit.Submit(x.ctx, x.request)
	if refusal.Refused() {
		return ofRefusal(refusal).write(c, refusal.RetryAfter)
	}
	_, span := tracer.Start(x.ctx, "delivery")
	defer span.End()
	w := &completionWriter{c: c, form: form, model: q.Model, id: x.request.ID, created: time.Now()}
	if q.Stream {
		return w.stream(answer)
	}
	return w.whole(answer)
}

// completionWriter writes one answer in a form.
type completionWriter struct {
	c       echo.Context
	form    completionForm
	model   identifier.Service
	id      identifier.Request
	created time.Time
}

// readWhole waits for the end of the answer's stream. The result is there by then; the other way round, the final record
// may still be missing.
func readWhole(answer *dispatcher.Answer) streamer.Chunk {
	for {
		chunk, changed := answer.Read(0)
		if chunk.Done() {
			return chunk
		}
		<-changed
	}
}

// whole waits for the end and writes the answer as one JSON object.
func (w *completionWriter) whole(answer *dispatcher.Answer) error {
	chunk := readWhole(answer)
	result := answer.Result()
	if result.Reason != "" {
		return ofResult(result, string(w.id)).write(w.c, result.RetryAfter)
	}
	var text strings.Builder
	for _, p := range chunk.Pieces {
		text.Write(p.Data)
	}
	body := w.body(w.form.whole(text.String(), result.Final.Reason))
	body.Usage = usageOf(chunk.Final)
	body.Versions = versionsOf(chunk.Pieces)
	return w.c.JSON(http.StatusOK, body)
}

// stream writes the pieces as server-sent events as they come. A failure before the first piece is a plain problem; a
// later one is an error event, and the closing [DONE] is left out.
func (w *completionWriter) stream(answer *dispatcher.Answer) error {
	at, tokens := 0, identifier.Tokens(0)
	for {
		chunk, changed := answer.Read(at)
		if at == 0 && len(chunk.Pieces) == 0 && chunk.Done() {
			if result := answer.Result(); result.Reason != "" {
				return ofResult(result, string(w.id)).write(w.c, result.RetryAfter)
			}
		}
		if at == 0 && (len(chunk.Pieces) > 0 || chunk.Done()) {
			w.c.Response().Header().Set("Content-Type", "text/event-stream")
			w.c.Response().Header().Set("Cache-Control", "no-cache")
			w.c.Response().WriteHeader(http.StatusOK)
		}
		for _, p := range chunk.Pieces {
			body := w.body(w.form.piece(string(p.Data)))
			body.Versions = versionsFrom(tokens, []streamer.Piece{p})
			w.event("", body)
			at++
			tokens += p.Tokens
		}
		if chunk.Done() {
			w.finish(answer, chunk.Final)
			return nil
		}
		if at > 0 {
			w.c.Response().Flush()
		}
		<-changed
	}
}

func (w *completionWriter) finish(answer *dispatcher.Answer, final streamer.Final) {
	result := answer.Result()
	if result.Reason != "" {
		w.event("error", ofResult(result, string(w.id)))
	} else {
		body := w.body(w.form.end(result.Final.Reason))
		body.Usage = usageOf(final)
		w.event("", body)
		_, _ = fmt.Fprint(w.c.Response(), "data: [DONE]\n\n")
	}
	w.c.Response().Flush()
}

// event writes one server-sent event. A caller that has gone away is noticed by the request's context.
func (w *completionWriter) event(name string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic("invariant event-form: an event can be encoded")
	}
	if name != "" {
		_, _ = fmt.Fprintf(w.c.Response(), "event: %s\n", name)
	}
	_, _ = fmt.Fprintf(w.c.Response(), "data: %s\n\n", data)
}

func (w *completionWriter) body(choice any) completionBody {
	return completionBody{
		ID: string(w.id), Object: w.form.object(), Created: w.created.Unix(), Model: w.model, Choices: []any{choice},
	}
}
