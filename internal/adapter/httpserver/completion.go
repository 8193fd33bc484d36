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
	// defaultMaxTokens is the length limit of an answer whose request sets none.
	defaultMaxTokens = 16
	// maxTokensLimit is the largest length limit that a request may set.
	maxTokensLimit = 1 << 17
)

// completionRequest is the JSON body of a request to either completion route.
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

// complete serves /v1/completions.
func (cs *CallerRoutes) complete(c echo.Context) error { return cs.generate(c, textCodec{}) }

// chat serves /v1/chat/completions.
func (cs *CallerRoutes) chat(c echo.Context) error { return cs.generate(c, chatCodec{}) }

// generate submits a completion request and writes its answer, encoded by codec.
func (cs *CallerRoutes) generate(c echo.Context, codec completionCodec) error {
	if p, refused := cs.refuseKey(c); refused {
		return p.write(c, 0)
	}
	var req completionRequest
	if p, ok := readJSON(c, &req, false); !ok {
		return p.write(c, 0)
	}
	prompt, detail := codec.prompt(req)
	if detail == "" && (req.MaxTokens < 0 || req.MaxTokens > maxTokensLimit) {
		detail = fmt.Sprintf("max_tokens: want a number from 1 to %d", maxTokensLimit)
	}
	if detail != "" {
		return notRunProblem(http.StatusBadRequest, "bad-field", detail).write(c, 0)
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	ex, problem, ok := cs.openExchange(c, req.Model, configurator.Model)
	if !ok {
		return problem.write(c, 0)
	}
	defer ex.end()
	ex.request.Call = executor.Call{
		Service: req.Model, Team: ex.request.Identity.Team, Prompt: prompt, Limit: req.MaxTokens, Version: req.Version,
	}
	ex.request.Expected = req.MaxTokens
	ex.request.Key = c.Request().Header.Get("Idempotency-Key")
	answer, refusal := cs.submitter.Submit(ex.ctx, ex.request)
	if refusal.Refused() {
		return refusalProblem(refusal).write(c, refusal.RetryAfter)
	}
	_, span := tracer.Start(ex.ctx, "delivery")
	defer span.End()
	w := &completionWriter{c: c, codec: codec, model: req.Model, id: ex.request.ID, created: time.Now()}
	if req.Stream {
		return w.writeStream(answer)
	}
	return w.writeJSON(answer)
}

// completionWriter writes the answer of one completion request.
type completionWriter struct {
	c       echo.Context
	codec   completionCodec
	model   identifier.Service
	id      identifier.Request
	created time.Time
}

// readToEnd waits for the end of the answer's stream and returns its contents. The result of the answer is set by then.
// Waiting for the result instead is not enough: the final record of the stream may still be missing at that time.
func readToEnd(answer *dispatcher.Answer) streamer.Chunk {
	for {
		chunk, changed := answer.Read(0)
		if chunk.Done() {
			return chunk
		}
		<-changed
	}
}

// writeJSON waits until the answer is complete and writes it as one JSON object.
func (w *completionWriter) writeJSON(answer *dispatcher.Answer) error {
	chunk := readToEnd(answer)
	result := answer.Result()
	if result.Reason != "" {
		return resultProblem(result, string(w.id)).write(w.c, result.RetryAfter)
	}
	var text strings.Builder
	for _, p := range chunk.Pieces {
		text.Write(p.Data)
	}
	body := w.newBody(w.codec.fullChoice(text.String(), result.Final.Reason))
	body.Usage = newUsage(chunk.Final)
	body.Versions = versionRanges(chunk.Pieces)
	return w.c.JSON(http.StatusOK, body)
}

// writeStream writes each piece of the answer as a server-sent event when it arrives. A failure before the first piece
// is answered with a problem; a later one with an error event in place of the closing [DONE].
func (w *completionWriter) writeStream(answer *dispatcher.Answer) error {
	next, tokens := 0, identifier.Tokens(0)
	for {
		chunk, changed := answer.Read(next)
		if next == 0 && len(chunk.Pieces) == 0 && chunk.Done() {
			if result := answer.Result(); result.Reason != "" {
				return resultProblem(result, string(w.id)).write(w.c, result.RetryAfter)
			}
		}
		if next == 0 && (len(chunk.Pieces) > 0 || chunk.Done()) {
			w.c.Response().Header().Set("Content-Type", "text/event-stream")
			w.c.Response().Header().Set("Cache-Control", "no-cache")
			w.c.Response().WriteHeader(http.StatusOK)
		}
		for _, p := range chunk.Pieces {
			body := w.newBody(w.codec.pieceChoice(string(p.Data)))
			body.Versions = versionRangesFrom(tokens, []streamer.Piece{p})
			w.writeEvent("", body)
			next++
			tokens += p.Tokens
		}
		if chunk.Done() {
			w.writeEnd(answer, chunk.Final)
			return nil
		}
		if next > 0 {
			w.c.Response().Flush()
		}
		<-changed
	}
}

// writeEnd writes the last event of a stream: the finish reason and the usage, or an error.
func (w *completionWriter) writeEnd(answer *dispatcher.Answer, final streamer.Final) {
	result := answer.Result()
	if result.Reason != "" {
		w.writeEvent("error", resultProblem(result, string(w.id)))
	} else {
		body := w.newBody(w.codec.endChoice(result.Final.Reason))
		body.Usage = newUsage(final)
		w.writeEvent("", body)
		_, _ = fmt.Fprint(w.c.Response(), "data: [DONE]\n\n")
	}
	w.c.Response().Flush()
}

// writeEvent writes one server-sent event. It ignores write errors: when the caller disconnects, the context of the
// request is cancelled, which ends the answer.
func (w *completionWriter) writeEvent(name string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic("invariant event-form: every event can be encoded as JSON")
	}
	if name != "" {
		_, _ = fmt.Fprintf(w.c.Response(), "event: %s\n", name)
	}
	_, _ = fmt.Fprintf(w.c.Response(), "data: %s\n\n", data)
}

func (w *completionWriter) newBody(choice any) completionBody {
	return completionBody{
		ID: string(w.id), Object: w.codec.object(), Created: w.created.Unix(), Model: w.model, Choices: []any{choice},
	}
}
