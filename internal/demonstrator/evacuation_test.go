package demonstrator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/demonstrator"
)

// evacuationLimit is the time within which a change of the configuration is in force everywhere.
const evacuationLimit = 8 * time.Second

// Guards against requests, counted over all entries, that reach a target of an evacuated zone, also from an entry that starts later or
// after the configuration was replaced from a file; against callers who wait when the last zone is evacuated, against a zone that is
// taken back and gets nothing, and against capacity that is not ordered elsewhere.
func TestEvacuatedZoneGetsNoWork(t *testing.T) {
	plan := linkedPlan()
	near, far := plan.Entries[0], demonstrator.Location{Zone: "kano-nassarawa", Region: "kano"}
	for _, i := range []int{0, 4} {
		plan.BackEnds[i].Zone, plan.BackEnds[i].Region = far.Zone, far.Region
	}
	b := newTestbed(t, plan)
	client := demonstrator.NewClient(b.Deployment)
	t.Cleanup(client.Close)
	operate := func(method, path string, base any, body any) string {
		r, err := client.SendAsOperator(context.Background(), method, path, map[string]string{"If-Match": fmt.Sprint(base)}, body)
		b.Assert(err, qt.IsNil)
		b.Assert(r.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.Body))
		return string(r.Body)
	}
	order := func(method string, zone demonstrator.Location) string {
		return operate(method, "/v1/zones/"+zone.Zone+"/evacuation", "", nil)
	}
	// ask sends requests through all entries and returns how many were answered and refused at once, and whether any arrived near and far.
	rounds := 0
	ask := func() string {
		rounds++
		prompt := fmt.Sprintf("round %d ", rounds)
		answered, refused, atNear, atFar := 0, 0, int64(0), int64(0)
		for i := range 10 * len(b.Entries) {
			began := time.Now()
			r := b.complete(i%len(b.Entries), prompt, 2)
			if kind, _ := r.problem(); r.status == http.StatusOK {
				answered++
			} else if r.status == http.StatusServiceUnavailable && kind == "not-run" && time.Since(began) < time.Second {
				refused++
			}
		}
		for name, e := range b.Standin.Engines {
			if name == plan.BackEnds[0].Name {
				atFar += e.RunsOfPrompt(prompt)
			} else {
				atNear += e.RunsOfPrompt(prompt)
			}
		}
		return fmt.Sprintf("%d answered, %d refused, near %t, far %t", answered, refused, atNear > 0, atFar > 0)
	}
	// expect waits until a round has an outcome and checks that the next one has it too.
	expect := func(outcome string) {
		b.await(evacuationLimit, func() bool { return ask() == outcome })
		b.Check(ask(), qt.Equals, outcome)
	}
	b.Check(ask(), qt.Matches, "20 answered, 0 refused, near true, .*")
	order(http.MethodPut, near)
	// The file has another zone and knows nothing of the order.
	var file map[string]any
	b.Assert(json.Unmarshal([]byte(operate(http.MethodGet, "/v1/config", "", nil)), &file), qt.IsNil)
	delete(file, "evacuated")
	zones, _ := file["zones"].([]any)
	file["zones"] = append(zones, map[string]string{"name": "lagos-yaba", "region": near.Region})
	operate(http.MethodPut, "/v1/config", file["revision"], file)
	expect("20 answered, 0 refused, near false, far true")
	b.Check(operate(http.MethodGet, "/v1/plan", "", nil), qt.Contains, `{"kind":"start","service":"sortmind","zone":"lagos-yaba"`)
	b.Assert(b.AddEntry(near), qt.IsNil)
	expect("30 answered, 0 refused, near false, far true")
	b.Check(order(http.MethodPut, far), qt.Contains, `"stranded":["manifest","sortmind"]`, qt.Commentf("the operator is told"))
	expect("0 answered, 30 refused, near false, far false")
	order(http.MethodDelete, near)
	expect("30 answered, 0 refused, near true, far false")
}
