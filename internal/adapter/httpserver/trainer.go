package httpserver

import (
	"context"
	"encoding/json"
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
	// maxPullWait bounds how long a pull may wait for a batch.
	maxPullWait = 30 * time.Second
	// movedRetry is the retry hint while a run changes its owner, and while it is full.
	movedRetry = time.Second
)

// RunService answers trainers' calls.
type RunService interface {
	Open(ctx context.Context, s collector.Spec) collector.Receipt
	Handle(ctx context.Context, c collector.Call) collector.Reply
}

// TrainerRoutes is the interface for trainers.
type TrainerRoutes struct {
	runs    RunService
	weights Announcer
	auth    *authenticator.Authenticator
	config  *configurator.Configurator
}

// NewTrainerRoutes returns the trainers' routes.
func NewTrainerRoutes(runs RunService, weights Announcer, auth *authenticator.Authenticator, config *configurator.Configurator) *TrainerRoutes {
	return &TrainerRoutes{runs: runs, weights: weights, auth: auth, config: config}
}

// Register adds the trainers' routes.
func (ts *TrainerRoutes) Register(e *echo.Echo) {
	e.POST("/v1/runs", ts.open)
	e.GET("/v1/runs/:run", ts.status)
	e.POST("/v1/runs/:run/submissions", ts.submit)
	e.POST("/v1/runs/:run/pull", ts.pull)
	e.POST("/v1/runs/:run/weights", ts.announce)
	e.POST("/v1/runs/:run/acknowledgements", ts.acknowledge)
}

// read authenticates a call and decodes its body into q. The returned context ends when the key is withdrawn.
func (ts *TrainerRoutes) read(c echo.Context, q any) (context.Context, context.CancelFunc, identifier.Team, *Problem) {
	key, _ := bearer(c.Request())
	who, revoked, ok := ts.auth.Authenticate(key)
	if !ok {
		p := refused(http.StatusUnauthorized, "key-refused", "the key is missing, unknown or withdrawn")
		return nil, nil, "", &p
	}
	if q != nil {
		if err := json.NewDecoder(c.Request().Body).Decode(q); err != nil {
			p := refused(http.StatusBadRequest, "bad-json", "the body is not the JSON that this route takes")
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
	return ctx, cancel, who.Team, nil
}

func (ts *TrainerRoutes) open(c echo.Context) error {
	var q client.Spec
	ctx, cancel, team, problem := ts.read(c, &q)
	if problem != nil {
		return problem.write(c, 0)
	}
	defer cancel()
	spec := collector.Spec{
		Run: collector.RunID(q.Run), Service: identifier.Service(q.Service), Adapter: q.Adapter, Bound: q.Bound, Group: q.Group, Step: q.Step,
	}.WithTeam(team)
	if detail := spec.Problem(); detail != "" {
		return refused(http.StatusBadRequest, "bad-field", detail).write(c, 0)
	}
	if _, problem, ok := serviceOf(ts.config.Current(), spec.Service, configurator.Model); !ok {
		return problem.write(c, 0)
	}
	if r := ts.runs.Open(ctx, spec); r.Outcome != collector.Done {
		return ofReceipt(r).write(c, movedRetry)
	}
	return c.JSON(http.StatusOK, q)
}

func (ts *TrainerRoutes) submit(c echo.Context) error {
	var q client.Submission
	ctx, cancel, team, problem := ts.read(c, &q)
	if problem != nil {
		return problem.write(c, 0)
	}
	defer cancel()
	prompts := make([]collector.Prompt, 0, len(q.Prompts))
	for _, p := range q.Prompts {
		if p.MaxTokens < 1 || p.MaxTokens > maxTokensLimit || p.Text == "" {
			return refused(http.StatusBadRequest, "bad-field", "prompts: want a text and max_tokens within the limit").write(c, 0)
		}
		prompts = append(prompts, collector.Prompt{Text: p.Text, Limit: identifier.Tokens(p.MaxTokens)})
	}
	if len(prompts) == 0 || q.Number == 0 {
		return refused(http.StatusBadRequest, "bad-field", "want a number from 1 and at least one prompt").write(c, 0)
	}
	call := ts.call(c, collector.KindSubmit, team)
	call.Submission = collector.Submission{Number: q.Number}.WithPrompts(prompts...)
	r := ts.runs.Handle(ctx, call)
	if r.Outcome != collector.Done {
		return ofReceipt(r.Receipt).write(c, movedRetry)
	}
	return c.JSON(http.StatusOK, receipt(r.Receipt))
}

func (ts *TrainerRoutes) pull(c echo.Context) error {
	var q client.Pull
	ctx, cancel, team, problem := ts.read(c, &q)
	if problem != nil {
		return problem.write(c, 0)
	}
	defer cancel()
	call := ts.call(c, collector.KindPull, team)
	call.Pull = collector.Pull{
		Statement: statement(q.Statement), Most: q.Most, Version: identifier.Version(q.Version),
		Wait: min(max(0, time.Duration(q.Wait)*time.Millisecond), maxPullWait),
	}
	r := ts.runs.Handle(ctx, call)
	switch {
	case ctx.Err() != nil:
		// The batch stays outstanding: the trainer's next statement says whether it has it.
		return refused(http.StatusUnauthorized, "key-refused", "the key was withdrawn").write(c, 0)
	case r.Outcome == collector.Empty:
		return c.JSON(http.StatusOK, client.Delivery{Receipt: receipt(r.Receipt)})
	case r.Outcome != collector.Done:
		return ofReceipt(r.Receipt).write(c, movedRetry)
	}
	return c.JSON(http.StatusOK, delivery(r.Delivery))
}

func (ts *TrainerRoutes) acknowledge(c echo.Context) error {
	var q client.Statement
	ctx, cancel, team, problem := ts.read(c, &q)
	if problem != nil {
		return problem.write(c, 0)
	}
	defer cancel()
	call := ts.call(c, collector.KindAcknowledge, team)
	call.Pull.Statement = statement(q)
	r := ts.runs.Handle(ctx, call)
	if r.Outcome != collector.Done {
		return ofReceipt(r.Receipt).write(c, movedRetry)
	}
	return c.JSON(http.StatusOK, receipt(r.Receipt))
}

func (ts *TrainerRoutes) status(c echo.Context) error {
	ctx, cancel, team, problem := ts.read(c, nil)
	if problem != nil {
		return problem.write(c, 0)
	}
	defer cancel()
	r := ts.runs.Handle(ctx, ts.call(c, collector.KindStatus, team))
	if r.Outcome != collector.Done {
		return ofReceipt(r.Receipt).write(c, movedRetry)
	}
	return c.JSON(http.StatusOK, status(r.Status, r.Receipt))
}

func (ts *TrainerRoutes) call(c echo.Context, k collector.Kind, team identifier.Team) collector.Call {
	return collector.Call{Kind: k, Run: collector.RunID(c.Param("run")), Team: team}
}

// ofReceipt is the problem of a call that was not done.
func ofReceipt(r collector.Receipt) Problem {
	switch r.Outcome {
	case collector.Refused:
		status := http.StatusConflict
		switch r.Reason {
		case collector.ReasonFull:
			status = http.StatusTooManyRequests
		case collector.ReasonNoRun, collector.ReasonTeam:
			// Runs of other teams are not told from runs that do not exist.
			return refused(http.StatusNotFound, collector.ReasonNoRun, "")
		}
		return refused(status, r.Reason, "")
	case collector.OutcomeUnknown:
		p := refused(http.StatusGatewayTimeout, "store-unknown", "the same call again settles it")
		p.Type, p.Title = TypeUnknown, "The call may have taken effect"
		return p
	default:
		return refused(http.StatusServiceUnavailable, "owner-moving", "the run is changing its owner")
	}
}
