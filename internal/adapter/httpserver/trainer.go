package httpserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/collector"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/pkg/client"
)

const (
	// maxPullWait is the longest time that a pull waits for a batch.
	maxPullWait = 30 * time.Second
	// runRetryAfter is the Retry-After hint for a call that a run refused, for example while the run changes its owner or
	// is full.
	runRetryAfter = time.Second
)

// RunService handles calls of trainers to training runs.
type RunService interface {
	Open(ctx context.Context, s collector.Spec) collector.Receipt
	Handle(ctx context.Context, c collector.Call) collector.Reply
}

// TrainerRoutes are the routes for trainers.
type TrainerRoutes struct {
	runs    RunService
	weights Announcer
	auth    *authenticator.Authenticator
	config  *configurator.Configurator
}

// NewTrainerRoutes returns routes that pass calls to runs and announcements of weights to weights.
func NewTrainerRoutes(runs RunService, weights Announcer, auth *authenticator.Authenticator, config *configurator.Configurator) *TrainerRoutes {
	return &TrainerRoutes{runs: runs, weights: weights, auth: auth, config: config}
}

// Register adds the routes to e.
func (ts *TrainerRoutes) Register(e *echo.Echo) {
	e.POST("/v1/runs", ts.openRun)
	e.GET("/v1/runs/:run", ts.status)
	e.POST("/v1/runs/:run/submissions", ts.submit)
	e.POST("/v1/runs/:run/pull", ts.pull)
	e.POST("/v1/runs/:run/weights", ts.announceWeights)
	e.POST("/v1/runs/:run/acknowledgements", ts.acknowledge)
}

// readRequest authenticates a request and decodes its JSON into body, unless that is nil. The returned context is
// cancelled when the key is withdrawn.
func (ts *TrainerRoutes) readRequest(c echo.Context, body any) (context.Context, context.CancelFunc, identifier.Team, *Problem) {
	key, _ := bearerToken(c.Request())
	identity, revoked, verdict := ts.auth.Authenticate(key)
	if verdict != authenticator.Accepted {
		p := keyProblem(verdict, "the key is missing, unknown or withdrawn")
		return nil, nil, "", &p
	}
	if body != nil {
		data, problem, ok := readBody(c)
		if !ok {
			return nil, nil, "", &problem
		}
		if err := json.NewDecoder(bytes.NewReader(data)).Decode(body); err != nil {
			p := notRunProblem(http.StatusBadRequest, "bad-json", "the body is not the JSON object that this route expects")
			return nil, nil, "", &p
		}
	}
	ctx, cancel := context.WithCancel(c.Request().Context())
	go func() {
		select {
		case <-revoked:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel, identity.Team, nil
}

func (ts *TrainerRoutes) openRun(c echo.Context) error {
	var req client.Spec
	ctx, cancel, team, problem := ts.readRequest(c, &req)
	if problem != nil {
		return problem.write(c, 0)
	}
	defer cancel()
	spec := collector.Spec{
		Run: collector.RunID(req.Run), Service: identifier.Service(req.Service), Adapter: req.Adapter, Bound: req.Bound, Group: req.Group, Step: req.Step,
	}.WithTeam(team)
	if detail := spec.Problem(); detail != "" {
		return notRunProblem(http.StatusBadRequest, "bad-field", detail).write(c, 0)
	}
	if _, problem, ok := findService(ts.config.Current(), spec.Service, configurator.Model); !ok {
		return problem.write(c, 0)
	}
	if r := ts.runs.Open(ctx, spec); r.Outcome != collector.Done {
		return receiptProblem(r).write(c, runRetryAfter)
	}
	return c.JSON(http.StatusOK, req)
}

func (ts *TrainerRoutes) submit(c echo.Context) error {
	var req client.Submission
	ctx, cancel, team, problem := ts.readRequest(c, &req)
	if problem != nil {
		return problem.write(c, 0)
	}
	defer cancel()
	prompts := make([]collector.Prompt, 0, len(req.Prompts))
	for _, p := range req.Prompts {
		if p.MaxTokens < 1 || p.MaxTokens > maxTokensLimit || p.Text == "" {
			return notRunProblem(http.StatusBadRequest, "bad-field",
				fmt.Sprintf("prompts: want a non-empty text and max_tokens from 1 to %d", maxTokensLimit)).write(c, 0)
		}
		prompts = append(prompts, collector.Prompt{Text: p.Text, Limit: identifier.Tokens(p.MaxTokens)})
	}
	if len(prompts) == 0 || req.Number == 0 {
		return notRunProblem(http.StatusBadRequest, "bad-field", "number: want 1 or more; prompts: want at least one").write(c, 0)
	}
	call := ts.newCall(c, collector.KindSubmit, team)
	call.Submission = collector.Submission{Number: req.Number}.WithPrompts(prompts...)
	r := ts.runs.Handle(ctx, call)
	if r.Outcome != collector.Done {
		return receiptProblem(r.Receipt).write(c, runRetryAfter)
	}
	return c.JSON(http.StatusOK, encodeReceipt(r.Receipt))
}

func (ts *TrainerRoutes) pull(c echo.Context) error {
	var req client.Pull
	ctx, cancel, team, problem := ts.readRequest(c, &req)
	if problem != nil {
		return problem.write(c, 0)
	}
	defer cancel()
	call := ts.newCall(c, collector.KindPull, team)
	call.Pull = collector.Pull{
		Statement: decodeStatement(req.Statement), Most: req.Most, Version: identifier.Version(req.Version),
		Wait: min(max(0, time.Duration(req.Wait)*time.Millisecond), maxPullWait),
	}
	r := ts.runs.Handle(ctx, call)
	switch {
	case ctx.Err() != nil:
		// The batch stays outstanding: the trainer's next statement says whether the trainer holds it.
		return notRunProblem(http.StatusUnauthorized, "key-refused", "the key was withdrawn").write(c, 0)
	case r.Outcome == collector.Empty:
		return c.JSON(http.StatusOK, client.Delivery{Receipt: encodeReceipt(r.Receipt)})
	case r.Outcome != collector.Done:
		return receiptProblem(r.Receipt).write(c, runRetryAfter)
	}
	return c.JSON(http.StatusOK, encodeDelivery(r.Delivery))
}

func (ts *TrainerRoutes) acknowledge(c echo.Context) error {
	var req client.Statement
	ctx, cancel, team, problem := ts.readRequest(c, &req)
	if problem != nil {
		return problem.write(c, 0)
	}
	defer cancel()
	call := ts.newCall(c, collector.KindAcknowledge, team)
	call.Pull.Statement = decodeStatement(req)
	r := ts.runs.Handle(ctx, call)
	if r.Outcome != collector.Done {
		return receiptProblem(r.Receipt).write(c, runRetryAfter)
	}
	return c.JSON(http.StatusOK, encodeReceipt(r.Receipt))
}

func (ts *TrainerRoutes) status(c echo.Context) error {
	ctx, cancel, team, problem := ts.readRequest(c, nil)
	if problem != nil {
		return problem.write(c, 0)
	}
	defer cancel()
	r := ts.runs.Handle(ctx, ts.newCall(c, collector.KindStatus, team))
	if r.Outcome != collector.Done {
		return receiptProblem(r.Receipt).write(c, runRetryAfter)
	}
	return c.JSON(http.StatusOK, encodeStatus(r.Status, r.Receipt))
}

// newCall returns a call to the run that the path names.
func (ts *TrainerRoutes) newCall(c echo.Context, k collector.Kind, team identifier.Team) collector.Call {
	return collector.Call{Kind: k, Run: collector.RunID(c.Param("run")), Team: team}
}

// receiptProblem returns the problem for a call whose outcome is not Done.
func receiptProblem(r collector.Receipt) Problem {
	switch r.Outcome {
	case collector.Refused:
		status := http.StatusConflict
		switch r.Reason {
		case collector.ReasonFull:
			status = http.StatusTooManyRequests
		case collector.ReasonNoRegion:
			return notRunProblem(http.StatusServiceUnavailable, r.Reason, refusalDetails[r.Reason])
		case collector.ReasonNoRun, collector.ReasonTeam:
			// A run of another team gets the same answer as a run that does not exist, so that nothing is disclosed.
			return notRunProblem(http.StatusNotFound, collector.ReasonNoRun, "")
		}
		return notRunProblem(status, r.Reason, "")
	case collector.OutcomeUnknown:
		p := notRunProblem(http.StatusGatewayTimeout, "store-unknown", "the same call again settles it")
		p.Type, p.Title = TypeUnknown, "The call may have taken effect"
		return p
	default:
		return notRunProblem(http.StatusServiceUnavailable, "owner-moving", "another entry owns the run or is about to own it")
	}
}
