package demonstrator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/demonstrator"
	"github.com/mimosalb/mimosalb/pkg/client"
)

// Guards against groups that a trainer loses or receives twice when the entry that owns its training run stops, when it
// restarts from its saved state, or when it calls an entry that does not own the run. Also guards against access to the
// run by another team.
func TestTrainerSurvivesOwnerStop(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	plan := demonstrator.DefaultPlan()
	plan.Entries = append(plan.Entries, demonstrator.Location{Zone: "kano-nassarawa", Region: "kano"})
	d, err := demonstrator.NewDeployment(plan, io.Discard)
	c.Assert(err, qt.IsNil)
	stopped := false
	defer func() {
		if stopped {
			d.Entries = d.Entries[1:]
		}
		c.Check(d.Close(), qt.IsNil)
	}()
	s := &demonstrator.Session{Deployment: d, Client: demonstrator.NewClient(d), Keys: make(map[string]string)}
	_, err = demonstrator.Steps()[0].Run(ctx, s)
	c.Assert(err, qt.IsNil)

	both := []string{"http://" + d.Entries[0].Callers, "http://" + d.Entries[1].Callers}
	spec := client.Spec{Run: "owner", Service: "sortmind", Bound: 1, Group: 2, Step: 8}
	trainer, err := client.Open(ctx, both[:1], s.Keys["driver"], spec)
	c.Assert(err, qt.IsNil)
	prompts := make([]client.Prompt, 16)
	for i := range prompts {
		prompts[i] = client.Prompt{Text: fmt.Sprintf("tube-%d", i), MaxTokens: 5}
	}
	_, err = trainer.Submit(ctx, prompts)
	c.Assert(err, qt.IsNil)

	var out strings.Builder
	got := make(map[client.Group]int)
	pull := func(groups int) {
		for taken := 0; taken < groups; {
			b, err := trainer.Pull(ctx, groups-taken, 0)
			c.Assert(err, qt.IsNil)
			taken += len(b.Groups)
			for _, g := range b.Groups {
				got[g.Group]++
			}
		}
	}
	pull(3)
	saved, err := json.Marshal(trainer.State())
	c.Assert(err, qt.IsNil)
	var state client.State
	c.Assert(json.Unmarshal(saved, &state), qt.IsNil)
	trainer, err = client.Open(ctx, both[1:], s.Keys["driver"], spec, client.WithState(state))
	c.Assert(err, qt.IsNil)
	pull(3)
	fmt.Fprintf(&out, "through the other entry after a restart: %d groups\n", len(got))

	stopped = true
	stopCtx, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	c.Assert(d.Entries[0].Stop(stopCtx), qt.IsNil)
	fence := trainer.State().Fence
	pull(10)
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	fmt.Fprintf(&out, "after the owner stopped: %d groups, each %d time, later fence %v\n", len(got), most, trainer.State().Fence > fence)
	all, err := trainer.Acknowledge(ctx)
	fmt.Fprintf(&out, "all confirmed %v, error %v\n", all, err)

	ctx, cancel = context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	_, err = client.Open(ctx, both[1:], s.Keys["clerk"], spec)
	fmt.Fprintf(&out, "other team: %v\n", err)
	goldie.New(t).Assert(t, "owner", []byte(out.String()))
}
