package httpserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/demonstrator"
)

// Guards against a complete answer without its usage. The result of an answer used to be set before the final record of
// its stream, so that a handler that read the stream in between found no token counts.
func TestWholeAnswersHaveTheirUsage(t *testing.T) {
	const callers, calls = 20, 25
	c := qt.New(t)
	d, err := demonstrator.NewDeployment(demonstrator.DefaultPlan(), io.Discard)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(d.Close(), qt.IsNil) }()
	s := &demonstrator.Session{Deployment: d, Client: demonstrator.NewClient(d), Keys: make(map[string]string)}
	defer s.Client.Close()
	_, err = demonstrator.Steps()[0].Run(context.Background(), s)
	c.Assert(err, qt.IsNil)

	var wrong atomic.Int64
	var sample atomic.Value // one of the wrong answers, for the failure message
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for range calls {
				r, err := s.Client.SendAsCaller(context.Background(), http.MethodPost, "/v1/completions", s.Keys["driver"],
					map[string]any{"model": "sortmind", "prompt": "quote", "max_tokens": 2})
				var body struct {
					Usage struct {
						Total int `json:"total_tokens"`
					} `json:"usage"`
				}
				if err != nil || json.Unmarshal(r.Body, &body) != nil || body.Usage.Total != 3 {
					wrong.Add(1)
					sample.Store(fmt.Sprintf("%d %s %v", r.Status, r.Body, err))
				}
			}
		})
	}
	all.Wait()
	c.Assert(wrong.Load(), qt.Equals, int64(0), qt.Commentf("%v", sample.Load()))
}
