package demonstrator_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/demonstrator"
)

// Guards against a non-streamed response without usage, which callers compare with their usage reports. The result of a
// request is known shortly before its stream ends, so a response that is sent at that moment could lack the usage.
func TestEveryAnswerHasUsage(t *testing.T) {
	const callers, requests = 16, 15
	c := qt.New(t)
	ctx := context.Background()
	plan := demonstrator.DefaultPlan()
	plan.TokenTime = 50 * time.Microsecond
	d, err := demonstrator.NewDeployment(plan, io.Discard)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(d.Close(), qt.IsNil) }()
	s := &demonstrator.Session{Deployment: d, Client: demonstrator.NewClient(d), Keys: make(map[string]string)}
	_, err = demonstrator.Steps()[0].Run(ctx, s)
	c.Assert(err, qt.IsNil)
	body := map[string]any{"model": "sortmind", "prompt": "quote", "max_tokens": 2}
	var answers, withoutUsage atomic.Int64
	var calls sync.WaitGroup
	for range callers {
		calls.Go(func() {
			for range requests {
				var answer struct {
					Usage struct {
						Completion int `json:"completion_tokens"`
					} `json:"usage"`
				}
				r, err := s.Client.SendAsCaller(ctx, http.MethodPost, "/v1/completions", s.Keys["driver"], body)
				if err != nil || r.Status != http.StatusOK {
					continue
				}
				answers.Add(1)
				if json.Unmarshal(r.Body, &answer) != nil || answer.Usage.Completion != 2 {
					withoutUsage.Add(1)
				}
			}
		})
	}
	calls.Wait()
	c.Check(answers.Load(), qt.Equals, int64(callers*requests))
	c.Check(withoutUsage.Load(), qt.Equals, int64(0))
}
