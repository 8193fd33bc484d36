package bencher

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/adapter/kvclient"
	"github.com/mimosalb/mimosalb/internal/collector"
	"github.com/mimosalb/mimosalb/internal/standin/store"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/streamer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

var _ = Register("handover", benchHandover)

const (
	handoverSteps = 4
	handoverGroup = 8
	// handoverStep is the step size of the design page.
	handoverStep = 8192
)

// benchHandover takes four steps of 8,192 samples from submission to the confirmed cursor, with the stand-in store over
// HTTP. Writes include the claim of the run; renewals of the lease depend on time, not on samples.
func benchHandover(ctx context.Context) ([]Figure, error) {
	clock := timer.NewSystem()
	defer clock.Close()
	kv := store.NewStore(clock)
	server := httptest.NewServer(kv.Handler())
	defer server.Close()
	st := storer.NewStorer(kvclient.NewDriver(server.URL), clock)
	spec := collector.Spec{Run: "bench", Team: "t", Service: "s", Bound: 1, Group: handoverGroup, Step: handoverStep}
	if _, out := collector.CreateSpec(ctx, st, codec.Rollouts{}, spec); out != storer.Applied {
		return nil, errors.New("the run was not stored")
	}
	place := collector.OwnerRecord{Fence: 1, Address: "bench"}
	o, out := collector.Claim(ctx, st, codec.Rollouts{}, clock, spec.Run, place, "n", func() bool { return true })
	if out != storer.Applied {
		return nil, errors.New("the run was not claimed")
	}
	start := clock.Boot()
	var number uint64
	for step := uint64(1); step <= handoverSteps; step++ {
		if err := handStep(ctx, clock, o, spec, step, &number); err != nil {
			return nil, err
		}
	}
	took := clock.Boot() - start
	_, writes := kv.Calls()
	const samples = handoverSteps * handoverStep
	return []Figure{
		{Name: "handover/cost-per-sample", Unit: "µs", Value: float64(took) / float64(time.Microsecond) / samples},
		{Name: "handover/writes-per-1000-samples", Unit: "writes", Value: 1000 * float64(writes) / samples, Target: AtMost(1)},
	}, nil
}

// handStep submits, finishes, pulls and acknowledges one step in batches of 256 groups.
func handStep(ctx context.Context, clock timer.Service, o *collector.Owner, spec collector.Spec, step uint64, number *uint64) error {
	prompts := make([]collector.Prompt, spec.Groups())
	for i := range prompts {
		prompts[i] = collector.Prompt{Text: fmt.Sprintf("shelter %d of step %d", i, step), Limit: 100}
	}
	if r := o.Submit(ctx, collector.Submission{Number: step}.WithPrompts(prompts...)); r.Outcome != collector.Done {
		return fmt.Errorf("submission %d: outcome %d %s", step, r.Outcome, r.Reason)
	}
	pieces := []streamer.Piece{{Data: make([]byte, 400), Tokens: 100, Version: 1, Target: "e", Incarnation: 1}}
	for {
		t, ok := o.Run().Next(clock.Boot(), 1)
		if !ok {
			break
		}
		s := collector.NewSample(t.Rollout.Group, t.Rollout.Index, pieces)
		o.Run().Finish(t.Rollout, &s, clock.Boot())
	}
	var held []collector.HeldBatch
	for last := false; !last; {
		*number++
		d := o.Pull(ctx, collector.Pull{Statement: collector.Statement{Number: *number, Held: held}, Most: 256})
		if d.Outcome != collector.Done {
			return fmt.Errorf("pull %d: outcome %d %s", *number, d.Outcome, d.Reason)
		}
		held, last = []collector.HeldBatch{{Batch: d.Batch.ID}}, d.Batch.Last
	}
	*number++
	if r := o.Acknowledge(ctx, collector.Statement{Number: *number, Held: held}); !r.All {
		return fmt.Errorf("step %d is not confirmed", step)
	}
	return nil
}
