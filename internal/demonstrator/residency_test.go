package demonstrator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/demonstrator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/standin/link"
	"github.com/mimosalb/mimosalb/internal/standin/switcher"
	"github.com/mimosalb/mimosalb/pkg/client"
)

// residencyBed is a testbed with targets of both services in two regions, and an entry in each.
type residencyBed struct {
	*testbed

	client *demonstrator.Client
	region map[string]string
}

func newResidencyBed(t *testing.T) *residencyBed {
	plan := linkedPlan()
	far := demonstrator.Location{Zone: "kano-nassarawa", Region: "kano"}
	plan.Entries[1] = far
	for _, i := range []int{2, 3, 6} {
		plan.BackEnds[i].Zone, plan.BackEnds[i].Region = far.Zone, far.Region
	}
	b := &residencyBed{testbed: newTestbed(t, plan), region: make(map[string]string)}
	b.client = demonstrator.NewClient(b.Deployment)
	t.Cleanup(b.client.Close)
	for _, backEnd := range plan.BackEnds {
		b.region[backEnd.Name] = backEnd.Region
	}
	return b
}

// restrict sets the regions of both services and of the callers' teams, and waits until all entries have the document.
func (b *residencyBed) restrict(service, team []identifier.Region) {
	operate := func(method, path string, base any, body any) []byte {
		r, err := b.client.SendAsOperator(context.Background(), method, path, map[string]string{"If-Match": fmt.Sprint(base)}, body)
		b.Assert(err, qt.IsNil)
		b.Assert(r.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.Body))
		return r.Body
	}
	var doc, stored codec.Document
	b.Assert(json.Unmarshal(operate(http.MethodGet, "/v1/config", "", nil), &doc), qt.IsNil)
	for i := range 2 {
		doc.Services[i].Regions, doc.Teams[i].Regions = service, team
	}
	b.Assert(json.Unmarshal(operate(http.MethodPut, "/v1/config", doc.Revision, doc), &stored), qt.IsNil)
	for i := range b.Entries {
		one := demonstrator.NewClient(&demonstrator.Deployment{Entries: b.Entries[i:], OperatorToken: b.OperatorToken})
		b.await(evacuationLimit, func() bool {
			var adopted codec.Document
			r, err := one.SendAsOperator(context.Background(), http.MethodGet, "/v1/config", nil, nil)
			return err == nil && json.Unmarshal(r.Body, &adopted) == nil && adopted.Revision >= stored.Revision
		})
		one.Close()
	}
}

// bodies calls send and returns whether bodies that contain a text passed on to the agents in each region.
func (b *residencyBed) bodies(text string, send func()) string {
	for _, l := range b.Links {
		l.Watch(text)
	}
	send()
	arrived := make(map[string]int)
	for name, l := range b.Links {
		arrived[b.region[name]] += l.Carried()
	}
	return fmt.Sprintf("lagos %t, kano %t", arrived["lagos"] > 0, arrived["kano"] > 0)
}

// send completes prompts at all entries.
func (b *residencyBed) send(text string) func() {
	return func() {
		for i := range 20 * len(b.Entries) {
			r := b.complete(i%len(b.Entries), text, 2)
			b.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
		}
	}
}

// train submits prompts to a training run that the first entry opens, through the second, and pulls their samples.
func (b *residencyBed) train(text string) func() {
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		spec := client.Spec{Run: text, Service: "sortmind", Bound: 1, Group: 2, Step: 8}
		addresses := []string{"http://" + b.Entries[0].Callers, "http://" + b.Entries[1].Callers}
		_, err := client.Open(ctx, addresses[:1], b.keys["driver"], spec)
		b.Assert(err, qt.IsNil)
		trainer, err := client.Open(ctx, addresses[1:], b.keys["driver"], spec)
		b.Assert(err, qt.IsNil)
		_, err = trainer.Submit(ctx, slices.Repeat([]client.Prompt{{Text: text, MaxTokens: 5}}, 4))
		b.Assert(err, qt.IsNil)
		for taken := 0; taken < 4; {
			batch, err := trainer.Pull(ctx, 4, 0)
			b.Assert(err, qt.IsNil)
			taken += len(batch.Groups)
		}
	}
}

// Guards against bodies, counted on the way to the agents, that leave the regions of their service and team: as first sends, rollouts,
// hedged requests, retries and continuations, from an entry that starts later, and while the key-value service is down.
func TestBodiesStayInRegions(t *testing.T) {
	b := newResidencyBed(t)
	b.Check(b.bodies("anywhere", b.send("anywhere")), qt.Equals, "lagos true, kano true", qt.Commentf("no restriction"))
	b.restrict([]identifier.Region{"kano"}, nil)
	b.Check(b.bodies("confined", b.send("confined")), qt.Equals, "lagos false, kano true")
	b.Check(b.bodies("rollout", b.train("rollout")), qt.Equals, "lagos false, kano true")
	b.Links["sortmind-3"].Set(link.Faults{Delay: 200 * time.Millisecond})
	b.Check(b.bodies("hedged", b.send("hedged")), qt.Equals, "lagos false, kano true")
	b.Check(b.Links["sortmind-4"].Carried() > 0, qt.IsTrue)
	b.Links["sortmind-3"].Set(link.Faults{})
	b.Check(b.bodies("continued", func() {
		s := b.stream("driver", "continued", 60, func(n int) {
			if n == 20 {
				b.Standin.Engines[b.busyEngineOr("sortmind-4")].Crash()
			}
		})
		b.assertComplete(s, "continued", 60)
	}), qt.Equals, "lagos false, kano true")
	b.Standin.Store.Switches.Set(switcher.Switches{Down: true})
	b.Check(b.bodies("storeless", b.send("storeless")), qt.Equals, "lagos false, kano true")
	b.Standin.Store.Switches.Set(switcher.Switches{})
	b.Assert(b.AddEntry(demonstrator.Location{Zone: "lagos-ikeja", Region: "lagos"}), qt.IsNil)
	b.await(evacuationLimit, func() bool { return b.complete(2, "ready", 1).status == http.StatusOK })
	b.Check(b.bodies("later", b.send("later")), qt.Equals, "lagos false, kano true")
	b.Links["sortmind-3"].Set(link.Faults{Refuse: true})
	b.Links["sortmind-3"].Cut()
	b.Check(b.bodies("retried", func() {
		// The retry budget may run out, so that some are refused as not run.
		for i := range 20 * len(b.Entries) {
			b.complete(i%len(b.Entries), "retried", 2)
		}
	}), qt.Equals, "lagos false, kano true")
}

// Guards against callers who wait, or are told anything but that nothing ran, when the regions of service and team have no target,
// also with an idempotency key,
// against operators who are not told, and against work that goes on outside the regions of both its own configuration and a later one.
func TestWorkEndsWithTheRegionsOfBothConfigurations(t *testing.T) {
	b := newResidencyBed(t)
	b.restrict([]identifier.Region{"kano"}, []identifier.Region{"lagos"})
	b.Check(b.bodies("nowhere", func() {
		for i := range b.Entries {
			began := time.Now()
			r := b.complete(i, "nowhere", 2)
			kind, reason := r.problem()
			b.Check(fmt.Sprint(r.status, kind, " ", reason, r.header["Retry-After"]), qt.Equals, "503not-run no-target-in-regions[1]")
			b.Check(time.Since(began) < time.Second, qt.IsTrue)
			r = b.callWithKey(i, "once", "nowhere")
			kind, reason = r.problem()
			b.Check(fmt.Sprint(r.status, kind, " ", reason, r.header["Retry-After"]), qt.Equals, "503not-run no-target-in-regions[1]")
		}
	}), qt.Equals, "lagos false, kano false")
	b.await(evacuationLimit, func() bool {
		r := readReply(b.http.Get("http://" + b.Entries[0].Operators + "/metrics"))
		return strings.Contains(r.body, "mimosalb_confiner_unserved_restrictions 4\n") && b.log.contains("E1109")
	})
	b.restrict([]identifier.Region{"kano"}, nil)
	b.Check(b.callWithKey(0, "once", "nowhere").status, qt.Equals, http.StatusOK)
	b.restrict([]identifier.Region{"kano"}, []identifier.Region{"lagos"})
	b.Check(b.callWithKey(1, "once", "nowhere").status, qt.Equals, http.StatusOK, qt.Commentf("it ran before"))
	b.Check(b.runsOfBody("nowhere"), qt.Equals, 1)
	b.restrict([]identifier.Region{"kano"}, nil)
	b.Check(b.bodies("moved", func() {
		s := b.stream("driver", "moved", 3000, func(n int) {
			if n == 20 {
				b.restrict([]identifier.Region{"lagos"}, nil)
				b.Standin.Engines[b.busyEngine()].Crash()
			}
		})
		b.Check(s.error, qt.Equals, "no-target-in-regions")
		b.Check(s.done, qt.IsFalse)
	}), qt.Equals, "lagos false, kano true")
	b.Check(b.bodies("new", b.send("new")), qt.Equals, "lagos true, kano false")
}
