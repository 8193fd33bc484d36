package demonstrator

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/mimosalb/mimosalb/pkg/loader"
)

// Step is one step of the demo scenario. Each checks one or more guarantees of the service.
type Step interface {
	// Name returns the title of the step in the table.
	Name() string
	// Run executes the step. It returns a summary of what was counted, or an error if a guarantee does not hold.
	Run(ctx context.Context, s *Session) (string, error)
}

// Session is the state that the steps share.
type Session struct {
	Deployment *Deployment
	Client     *Client
	// Keys holds the API keys that were created so far, by the name of their caller.
	Keys map[string]string
}

// Run executes the demo scenario on a new deployment. It writes a table to out and log events to log, and fails if any
// step fails.
func Run(ctx context.Context, out, log io.Writer) error {
	return withDeployment(log, func(s *Session) error { return s.runSteps(ctx, out, Steps()) })
}

// withDeployment calls f with a session of a new deployment and stops the deployment afterwards.
func withDeployment(log io.Writer, f func(*Session) error) error {
	d, err := NewDeployment(DefaultPlan(), log)
	if err != nil {
		return err
	}
	client := NewClient(d)
	err = f(&Session{Deployment: d, Client: client, Keys: make(map[string]string)})
	client.Close()
	if closeErr := d.Close(); err == nil && closeErr != nil {
		err = fmt.Errorf("stop deployment: %w", closeErr)
	}
	return err
}

// Steps returns the steps of the demo scenario in order.
func Steps() []Step {
	return []Step{configure{}, streamCompletion{}, callOnce{}, withdrawKey{}, switchPreset{}, collectRollouts{}, reportUsage{}}
}

// DefaultPlan returns the plan of the demo scenario: one entry and four back ends in two availability zones.
func DefaultPlan() Plan {
	return Plan{
		BackEnds: []BackEnd{
			{Name: "sortmind-1", Service: "sortmind", Kind: "model", Zone: "lagos-ikeja", Region: "lagos"},
			{Name: "sortmind-2", Service: "sortmind", Kind: "model", Zone: "lagos-ikeja", Region: "lagos"},
			{Name: "sortmind-3", Service: "sortmind", Kind: "model", Zone: "kano-nassarawa", Region: "kano"},
			{Name: "manifest-1", Service: "manifest", Kind: "plain", Zone: "lagos-ikeja", Region: "lagos"},
		},
		Entries:   []Location{{Zone: "lagos-ikeja", Region: "lagos"}},
		TokenTime: 2 * time.Millisecond,
		Period:    100 * time.Millisecond,
		Usage: loader.Usage{
			Window: loader.Duration(2 * time.Second), Grace: loader.Duration(1500 * time.Millisecond),
			Flush: loader.Duration(500 * time.Millisecond),
		},
	}
}

// runSteps executes the steps in order, also after a failure, and writes a table with a row for each.
func (s *Session) runSteps(ctx context.Context, out io.Writer, steps []Step) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "STEP\tRESULT\tTIME\tCOUNTED")
	failed := 0
	for _, step := range steps {
		start := time.Now()
		counted, err := step.Run(ctx, s)
		result := "kept"
		if err != nil {
			failed++
			result, counted = "BROKEN", err.Error()
		}
		took := time.Since(start).Round(time.Millisecond)
		_, _ = fmt.Fprintf(table, "%s\t%s\t%v\t%s\n", step.Name(), result, took, counted)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d steps failed", failed, len(steps))
	}
	return nil
}
