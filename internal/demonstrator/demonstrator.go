package demonstrator

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/mimosalb/mimosalb/pkg/loader"
)

// Step is one part of the main job.
type Step interface {
	// Name says what the step shows.
	Name() string
	// Run does the step. It returns what was counted, and an error for a broken promise.
	Run(ctx context.Context, s *Session) (string, error)
}

// Session is what the steps share: the deployment, a client and the keys made so far.
type Session struct {
	Deployment *Deployment
	Client     *Client
	// Keys holds the callers' keys by name.
	Keys map[string]string
}

// Run does the main job on a fresh deployment, writes a table to out and events to log. It fails if any promise was
// broken.
func Run(ctx context.Context, out, log io.Writer) error {
	return withDeployment(log, func(s *Session) error { return s.run(ctx, out, Steps()) })
}

// withDeployment runs f on a fresh deployment.
func withDeployment(log io.Writer, f func(*Session) error) error {
	d, err := NewDeployment(DefaultPlan(), log)
	if err != nil {
		return err
	}
	client := NewClient(d)
	err = f(&Session{Deployment: d, Client: client, Keys: make(map[string]string)})
	client.Close()
	if closeErr := d.Close(); err == nil && closeErr != nil {
		err = fmt.Errorf("stop the deployment: %w", closeErr)
	}
	return err
}

// Steps returns the parts of the main job in order.
func Steps() []Step {
	return []Step{configure{}, streamAnswer{}, callOnce{}, withdrawKey{}, switchPreset{}, collectStep{}, reportUsage{}}
}

// DefaultPlan is the deployment of the main job: one entry and four back ends in two availability zones.
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

func (s *Session) run(ctx context.Context, out io.Writer, steps []Step) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "STEP\tRESULT\tTIME\tCOUNTED")
	broken := 0
	for _, step := range steps {
		start := time.Now()
		counted, err := step.Run(ctx, s)
		result := "kept"
		if err != nil {
			broken++
			result, counted = "BROKEN", err.Error()
		}
		took := time.Since(start).Round(time.Millisecond)
		_, _ = fmt.Fprintf(table, "%s\t%s\t%v\t%s\n", step.Name(), result, took, counted)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d promises broken", broken, len(steps))
	}
	return nil
}
