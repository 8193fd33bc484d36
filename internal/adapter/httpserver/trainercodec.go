package httpserver

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/collector"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/pkg/client"
)

// decodeStatement converts a statement from its wire type.
func decodeStatement(wire client.Statement) collector.Statement {
	s := collector.Statement{Number: wire.Number, Fence: identifier.Fence(wire.Fence)}
	for _, h := range wire.Held {
		held := collector.HeldBatch{Batch: collector.BatchID{
			Run: collector.RunID(h.Batch.Run), Seq: h.Batch.Seq, Fence: identifier.Fence(h.Batch.Fence),
		}}
		for _, g := range h.Groups {
			held.Groups = append(held.Groups, collector.Group{Submission: g.Submission, Index: g.Index})
		}
		s.Held = append(s.Held, held)
	}
	return s
}

// encodeReceipt converts a receipt to its wire type.
func encodeReceipt(r collector.Receipt) client.Receipt {
	return client.Receipt{Next: r.Next, All: r.All, Fence: uint64(r.Fence)}
}

// encodeDelivery converts a delivered batch to its wire type.
func encodeDelivery(d collector.Delivery) client.Delivery {
	out := client.Delivery{
		Receipt: encodeReceipt(d.Receipt), Step: d.Batch.Step, Last: d.Batch.Last,
		Batch: client.Batch{Run: string(d.Batch.ID.Run), Seq: d.Batch.ID.Seq, Fence: uint64(d.Batch.ID.Fence)},
	}
	for _, g := range d.Batch.Groups {
		rollouts := client.Rollouts{Group: client.Group{Submission: g.Group.Submission, Index: g.Group.Index}}
		for _, s := range g.Samples {
			sample := client.Sample{Text: s.Text, Tokens: int64(s.Tokens)}
			for _, r := range s.Ranges {
				sample.Ranges = append(sample.Ranges, client.Range{
					Version: uint64(r.Version), From: int64(r.From), To: int64(r.To), Adapter: r.Adapter,
					Engine: string(r.Target), Incarnation: uint64(r.Incarnation),
				})
			}
			rollouts.Samples = append(rollouts.Samples, sample)
		}
		out.Groups = append(out.Groups, rollouts)
	}
	return out
}

// encodeStatus converts the status of a run to its wire type.
func encodeStatus(s collector.Status, r collector.Receipt) client.Status {
	out := client.Status{
		Spec: client.Spec{
			Run: string(s.Spec.Run), Service: string(s.Spec.Service), Adapter: s.Spec.Adapter,
			Bound: s.Spec.Bound, Group: s.Spec.Group, Step: s.Spec.Step,
		},
		Receipt: encodeReceipt(r), Pull: s.Pull, Version: uint64(s.Current), Step: s.Step, Groups: s.Groups, Ready: s.Ready,
		Running: s.Running, Hedges: s.Counts.Hedges, OverAge: s.Counts.OverAge, Unlabelled: s.Counts.Unlabelled,
		Waste: int64(s.Counts.Waste), Idle: secondsByCause(s.Idle),
	}
	for _, step := range s.Steps {
		out.Steps = append(out.Steps, client.Step{Step: step.Step, Took: step.Took.Seconds(), Idle: step.Total.Seconds(), By: secondsByCause(step.By)})
	}
	return out
}

// secondsByCause converts the idle times by cause to seconds.
func secondsByCause(by map[collector.Cause]time.Duration) map[string]float64 {
	out := make(map[string]float64, len(by))
	for c, d := range by {
		out[string(c)] = d.Seconds()
	}
	return out
}
