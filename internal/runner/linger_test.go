package runner_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/demonstrator"
)

// Guards against a planned stop that refuses requests before the balancer has noticed that the entry is not ready: during
// its linger time the entry must still serve requests.
func TestStoppingEntryLingers(t *testing.T) {
	c := qt.New(t)
	plan := demonstrator.DefaultPlan()
	plan.Linger = time.Second
	d, err := demonstrator.NewDeployment(plan, io.Discard)
	c.Assert(err, qt.IsNil)
	client := demonstrator.NewClient(d)
	s := &demonstrator.Session{Deployment: d, Client: client, Keys: make(map[string]string)}
	ctx := context.Background()
	_, err = demonstrator.Steps()[0].Run(ctx, s)
	c.Assert(err, qt.IsNil)

	r, err := client.SendAsCaller(ctx, http.MethodGet, "/metrics", "", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Status, qt.Equals, http.StatusNotFound, qt.Commentf("callers must not learn the names in the metrics"))

	stopped := make(chan error, 1)
	go func() { stopped <- d.Close() }()
	served := 0
	err = client.Await(ctx, 5*time.Second, func() bool {
		r, err := client.SendAsCaller(ctx, http.MethodGet, "/readyz", "", nil)
		if err != nil || r.Status != http.StatusServiceUnavailable {
			return false
		}
		r, err = client.SendAsCaller(ctx, http.MethodPost, "/v1/completions", s.Keys["driver"],
			map[string]any{"model": "sortmind", "prompt": "quote", "max_tokens": 2})
		if err == nil && r.Status == http.StatusOK {
			served++
		}
		return served == 3
	})
	c.Assert(err, qt.IsNil, qt.Commentf("served %d requests", served))
	client.Close()
	c.Assert(<-stopped, qt.IsNil)
}
