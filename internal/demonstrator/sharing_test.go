package demonstrator_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/demonstrator"
	"github.com/mimosalb/mimosalb/internal/standin/switcher"
	"github.com/mimosalb/mimosalb/pkg/client"
)

// lossyTransport loses every third response, after the request has taken effect.
type lossyTransport struct{ calls atomic.Int64 }

func (l *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil || l.calls.Add(1)%3 != 0 {
		return resp, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return nil, errors.New("response lost")
}

// The large training run takes at least 51 s on any machine: 384 groups of 4 samples with 40 tokens of 20 ms each, by 24 workers. Two steps
// of the small one take 1.2 s alone, most of it the delay before lost calls are repeated.
const (
	backlog          = 384
	sharingTokenTime = 20 * time.Millisecond
	sharingWorkers   = 24
)

// Guards against groups that are lost or delivered twice when responses to the trainer and responses of the key-value
// service are lost, and against a training run with a large backlog that starves another one.
func TestTrainersShareEnginesWithLostAnswers(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	plan := demonstrator.DefaultPlan()
	plan.TokenTime, plan.Workers = sharingTokenTime, sharingWorkers
	d, err := demonstrator.NewDeployment(plan, io.Discard)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(d.Close(), qt.IsNil) }()
	s := &demonstrator.Session{Deployment: d, Client: demonstrator.NewClient(d), Keys: make(map[string]string)}
	_, err = demonstrator.Steps()[0].Run(ctx, s)
	c.Assert(err, qt.IsNil)
	entry := []string{"http://" + d.Entries[0].Callers}
	open := func(run string, step int, opts ...client.Option) *client.Trainer {
		spec := client.Spec{Run: run, Service: "sortmind", Bound: 1, Group: 4, Step: step}
		trainer, err := client.Open(ctx, entry, s.Keys["driver"], spec, opts...)
		c.Assert(err, qt.IsNil)
		return trainer
	}
	prompts := func(n int, tokens int64) []client.Prompt {
		ps := make([]client.Prompt, n)
		for i := range ps {
			ps[i] = client.Prompt{Text: fmt.Sprintf("tube-%d", i), MaxTokens: tokens}
		}
		return ps
	}

	large := open("large", backlog)
	_, err = large.Submit(ctx, prompts(backlog, 40))
	c.Assert(err, qt.IsNil)

	small := open("small", 16, client.WithHTTP(&http.Client{Transport: &lossyTransport{}}))
	got := make(map[client.Group]int)
	for range 2 {
		d.Standin.Store.Switches.Set(switcher.Switches{Lose: 1})
		_, err = small.Submit(ctx, prompts(4, 5))
		c.Assert(err, qt.IsNil)
		for last := false; !last; {
			b, err := small.Pull(ctx, 2, 0)
			c.Assert(err, qt.IsNil)
			last = b.Last
			for _, g := range b.Groups {
				c.Assert(g.Samples, qt.HasLen, 4)
				got[g.Group]++
			}
		}
	}
	status, err := large.Status(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(status.Ready < status.Groups, qt.IsTrue, qt.Commentf("the small run waited for all %d groups of the large one", status.Groups))
	c.Assert(got, qt.HasLen, 8)
	for g, n := range got {
		c.Assert(n, qt.Equals, 1, qt.Commentf("group %v", g))
	}
}
