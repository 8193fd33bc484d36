package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/meter"
)

const (
	// reportTimeout limits the wait for the usage report of a window, and confirmTimeout the wait until the window is shown
	// as confirmed and reconciled.
	reportTimeout  = 10 * time.Second
	confirmTimeout = 5 * time.Second
)

// reportUsage makes calls of one team within one usage window and compares the report at the platform with the usage in
// the responses.
type reportUsage struct{}

func (reportUsage) Name() string { return "usage window reported" }

func (reportUsage) Run(ctx context.Context, s *Session) (string, error) {
	const calls = 5
	calendar := meter.Calendar{Length: time.Duration(s.Deployment.Usage.Window)}
	// The calls start at the beginning of a window, so that all of them end in it.
	next := calendar.Window(time.Now()) + 1
	if err := s.Client.Await(ctx, 2*time.Duration(s.Deployment.Usage.Window), func() bool { return calendar.Window(time.Now()) >= next }); err != nil {
		return "", fmt.Errorf("wait for usage window %d: %w", next, err)
	}
	var used meter.Figures
	for i := range calls {
		r, err := s.Client.SendAsCaller(ctx, http.MethodPost, "/v1/completions", s.Keys["auditor"], newCompletion("manifest for depot", 3+i, false))
		if err := expectStatus(r, err, http.StatusOK); err != nil {
			return "", err
		}
		var body struct {
			Usage struct {
				Prompt     identifier.Tokens `json:"prompt_tokens"`
				Completion identifier.Tokens `json:"completion_tokens"`
				Details    struct {
					Cached identifier.Tokens `json:"cached_tokens"`
				} `json:"prompt_tokens_details"`
			} `json:"usage"`
		}
		if err := json.Unmarshal(r.Body, &body); err != nil {
			return "", fmt.Errorf("decode usage: %w", err)
		}
		used = used.WithAdded(meter.Figures{
			Requests: 1, Input: body.Usage.Prompt, Cached: body.Usage.Details.Cached, Output: body.Usage.Completion,
		})
	}
	var reports []codec.Report
	err := s.Client.Await(ctx, reportTimeout, func() bool {
		reports = s.usageReports("metered")
		return len(reports) > 0
	})
	if err != nil {
		return "", fmt.Errorf("wait for usage report of team metered: %w", err)
	}
	f := reports[0].Figures.Figures
	f.Busy, f.Cross = 0, 0
	if len(reports) != 1 || meter.Figures(f) != used || reports[0].Figures.Corrections != nil {
		return "", fmt.Errorf("%d usage reports, the first with %+v, want 1 with %+v", len(reports), reports[0].Figures, used)
	}
	// A duplicate report would arrive within the next window.
	if err := s.awaitConfirmed(ctx, reports[0].Window); err != nil {
		return "", err
	}
	return fmt.Sprintf("1 report: %d requests, %d tokens in, %d out, equal to the usage in the responses", f.Requests, f.Input, f.Output), nil
}

// usageReports returns the reports of a team at the platform that contain usage.
func (s *Session) usageReports(team string) []codec.Report {
	var found []codec.Report
	for _, r := range s.Deployment.Standin.Platform.Reports() {
		var f codec.ReportFigures
		if r.Team != team || json.Unmarshal(r.Figures, &f) != nil || f.Requests == 0 && f.Corrections == nil {
			continue
		}
		found = append(found, codec.Report{ID: r.ID, Team: identifier.Team(r.Team), Window: meter.Window(r.Window), Figures: f})
	}
	return found
}

// awaitConfirmed waits until the operators' API shows the window of team metered as confirmed and reconciled.
func (s *Session) awaitConfirmed(ctx context.Context, w meter.Window) error {
	var shown string
	err := s.Client.Await(ctx, confirmTimeout, func() bool {
		r, err := s.Client.SendAsOperator(ctx, http.MethodGet, fmt.Sprintf("/v1/windows/%d", w), nil, nil)
		if expectStatus(r, err, http.StatusOK) != nil {
			return false
		}
		shown = string(r.Body)
		var body struct {
			Teams []struct {
				Team       identifier.Team `json:"team"`
				Stage      string          `json:"stage"`
				Reconciled bool            `json:"reconciled"`
			} `json:"teams"`
		}
		if json.Unmarshal(r.Body, &body) != nil {
			return false
		}
		for _, t := range body.Teams {
			if t.Team == "metered" {
				return t.Stage == "confirmed" && t.Reconciled
			}
		}
		return false
	})
	if err != nil {
		return fmt.Errorf("usage window %d not confirmed and reconciled, shown as %s: %w", w, shown, err)
	}
	return nil
}
