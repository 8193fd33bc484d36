package bencher

import (
	"context"
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
	handoverSteps     = 4
	handoverGroupSize = 8
	// handoverStepSize is the step size that the design page assumes.
	handoverStepSize = 8192
)

// benchHandover measures the time and the writes from the submission of samples to their confirmed cursor, with the
// stand-in store over HTTP. The writes include the claim of the run, but no lease renewals: their number depends on time
// and not on samples.
func benchHandover(ctx context.Context) ([]Figure, error) {
	clock := timer.NewSystem()
	defer clock.Close()
	standin := store.NewStore(clock)
	server := httptest.NewServer(standin.Handler())
	defer server.Close()
	kvStore := storer.NewStorer(kvclient.NewDriver(server.URL), clock)
	spec := collector.Spec{Run: "bench", Team: "t", Service: "s", Bound: 1, Group: handoverGroupSize, Step: handoverStepSize}
	if _, out := collector.CreateSpec(ctx, kvStore, codec.Rollouts{}, spec); out != storer.Applied {
		return nil, fmt.Errorf("store run %s: outcome %d, want %d", spec.Run, out, storer.Applied)
	}
	ownerRecord := collector.OwnerRecord{Fence: 1, Address: "bench"}
	owner, out := collector.ClaimRun(ctx, kvStore, codec.Rollouts{}, clock, spec.Run, ownerRecord, "n", func() bool { return true })
	if out != storer.Applied {
		return nil, fmt.Errorf("claim run %s: outcome %d, want %d", spec.Run, out, storer.Applied)
	}
	start := clock.Monotonic()
	var number uint64
	for step := uint64(1); step <= handoverSteps; step++ {
		if err := handOverStep(ctx, clock, owner, spec, step, &number); err != nil {
			return nil, err
		}
	}
	took := clock.Monotonic() - start
	_, writes := standin.Calls()
	const samples = handoverSteps * handoverStepSize
	return []Figure{
		{Name: "handover/cost-per-sample", Unit: "µs", Value: float64(took) / float64(time.Microsecond) / samples},
		{Name: "handover/writes-per-1000-samples", Unit: "writes", Value: 1000 * float64(writes) / samples, Target: AtMost(1)},
	}, nil
}

// handOverStep submits one step, finishes its rollouts, pulls them in batches of at most 256 groups and acknowledges them.
func handOverStep(ctx context.Context, clock timer.Service, owner *collector.Owner, spec collector.Spec, step uint64, number *uint64) error {
	prompts := make([]collector.Prompt, spec.Groups())
	for i := range prompts {
		prompts[i] = collector.Prompt{Text: fmt.Sprintf("shelter %d of step %d", i, step), Limit: 100}
	}
	if r := owner.Submit(ctx, collector.Submission{Number: step}.WithPrompts(prompts...)); r.Outcome != collector.Done {
		return fmt.Errorf("submission %d: outcome %d (%s), want %d", step, r.Outcome, r.Reason, collector.Done)
	}
	pieces := []streamer.Piece{{Data: make([]byte, 400), Tokens: 100, Version: 1, Target: "e", Incarnation: 1}}
	for {
		t, ok := owner.Run().Next(clock.Monotonic(), 1)
		if !ok {
			break
		}
		s := collector.NewSample(t.Rollout.Group, t.Rollout.Index, pieces)
		owner.Run().Finish(t.Rollout, &s, clock.Monotonic())
	}
	var held []collector.HeldBatch
	for last := false; !last; {
		*number++
		d := owner.Pull(ctx, collector.Pull{Statement: collector.Statement{Number: *number, Held: held}, Most: 256})
		if d.Outcome != collector.Done {
			return fmt.Errorf("pull %d: outcome %d (%s), want %d", *number, d.Outcome, d.Reason, collector.Done)
		}
		held, last = []collector.HeldBatch{{Batch: d.Batch.ID}}, d.Batch.Last
	}
	*number++
	if r := owner.Acknowledge(ctx, collector.Statement{Number: *number, Held: held}); !r.All {
		return fmt.Errorf("statement %d: step %d is not confirmed: %+v", *number, step, r)
	}
	return nil
}
