package demonstrator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/demonstrator"
	"github.com/mimosalb/mimosalb/internal/standin/switcher"
	"github.com/mimosalb/mimosalb/pkg/client"
)

// statusMetric matches the count of invalid statuses of one dependency in the metrics of a process.
var statusMetric = regexp.MustCompile(`(?m)^mimosalb_inspector_invalid_statuses_total\{dependency="(\w+)"\} (\d+)$`)

// countedStatuses returns the invalid statuses that all processes counted, by dependency.
func (b *testbed) countedStatuses() map[string]int {
	addresses := make([]string, 0, len(b.Entries)+len(b.Agents))
	for _, e := range b.Entries {
		addresses = append(addresses, e.Operators)
	}
	for _, a := range b.Agents {
		addresses = append(addresses, a.Health)
	}
	counted := make(map[string]int)
	for _, address := range addresses {
		r := readReply(b.http.Get("http://" + address + "/metrics"))
		b.Assert(r.status, qt.Equals, http.StatusOK)
		for _, m := range statusMetric.FindAllStringSubmatch(r.body, -1) {
			n, err := strconv.Atoi(m[2])
			b.Assert(err, qt.IsNil)
			counted[m[1]] += n
		}
	}
	return counted
}

// loggedStatuses returns the invalid statuses in a log, by dependency, and the set of their calls and values.
func loggedStatuses(log *logBuffer) (logged map[string]int, calls map[string]bool) {
	logged, calls = make(map[string]int), make(map[string]bool)
	for line := range strings.Lines(log.String()) {
		var e struct {
			Event, Dependency, Call string
			Status                  int
		}
		if json.Unmarshal([]byte(line), &e) == nil && e.Event == "E1408" {
			logged[e.Dependency]++
			calls[e.Call] = true
			calls[fmt.Sprintf("%s %03d", e.Dependency, e.Status)] = true
		}
	}
	return logged, calls
}

// setTargetSwitches sets the failure switches of every target.
func (b *testbed) setTargetSwitches(sw switcher.Switches) {
	b.setServiceSwitches(sw)
	for _, e := range b.Standin.Engines {
		e.Switches.Set(sw)
	}
}

// targetEndings returns what the agents did with the connections of all targets after answers with an invalid status.
func (b *testbed) targetEndings() (all switcher.Endings) {
	for _, s := range b.Standin.Services {
		all.Closed, all.Kept = all.Closed+s.Switches.Endings().Closed, all.Kept+s.Switches.Endings().Kept
	}
	for _, e := range b.Standin.Engines {
		all.Closed, all.Kept = all.Closed+e.Switches.Endings().Closed, all.Kept+e.Switches.Endings().Kept
	}
	return all
}

// Guards against an answer of a target with an invalid status that reaches the caller, is repeated where that is not allowed and not
// repeated where it is, is told as a run that nobody knows of, leaves its connection in use, or is not logged and counted.
func TestInvalidStatusesOfTargets(t *testing.T) {
	log := &logBuffer{}
	b := newLoggedTestbed(t, linkedPlan(), log)
	var out strings.Builder
	record := func(what, status string, r reply, runs int) {
		kind, reason := r.problem()
		fmt.Fprintf(&out, "%-10s %s: %d %s %s, %d runs\n", what, status, r.status, kind, reason, runs)
	}
	promptRuns := func(prompt string) (n int) {
		for _, e := range b.Standin.Engines {
			n += int(e.RunsOfPrompt(prompt))
		}
		return n
	}
	statuses := []string{"000", "042", "099", "101", "199", "600", "777", "999"}
	for i, status := range statuses {
		b.setTargetSwitches(switcher.Switches{Status: status})
		body := "call " + status
		record("call", status, b.callService(i%2, "/v1/services/manifest/check", nil, body), b.runsOfBody(body))
		body = "key " + status
		record("key", status, b.callWithKey(i%2, status, body), b.runsOfBody(body))
		record("same key", status, b.callWithKey(1-i%2, status, body), b.runsOfBody(body))
	}
	// Each request takes three of the ten retries that an entry may make at once.
	for i, status := range []string{"000", "101", "999"} {
		b.setTargetSwitches(switcher.Switches{Status: status})
		prompt := "p" + status
		record("completion", status, b.complete(0, prompt, 2), promptRuns(prompt))
		if i > 0 {
			continue
		}
		prompt = "s" + status
		resp, err := b.post(t.Context(), b.Entries[1].Callers, "/v1/completions", "driver", nil, completionJSON(prompt, 2, true))
		record("stream", status, readReply(resp, err), promptRuns(prompt))
	}
	b.setTargetSwitches(switcher.Switches{})
	s := b.stream("driver", "later", 60, func(n int) {
		if n == 5 {
			busy := b.busyEngine()
			b.setTargetSwitches(switcher.Switches{Status: "042"})
			b.Standin.Engines[busy].Crash()
		}
	})
	fmt.Fprintf(&out, "continued  042: %s, done %t\n", s.error, s.done)
	b.setTargetSwitches(switcher.Switches{})
	b.Standin.Engines["sortmind-1"].Switches.Set(switcher.Switches{Status: "042"})
	faulty := b.Standin.Engines["sortmind-1"]
	for n := 0; faulty.RunsOfPrompt("beside") < 2; n++ {
		b.Assert(n < 100, qt.IsTrue, qt.Commentf("the faulty engine got no request"))
		b.Assert(b.complete(1, "beside", 2).status, qt.Equals, http.StatusOK)
	}
	goldie.New(t).Assert(t, "statuses", []byte(out.String()))
	logged, calls := loggedStatuses(log)
	for _, status := range statuses {
		b.Check(calls["target "+status], qt.IsTrue, qt.Commentf("%s is not logged", status))
	}
	b.Check(logged["target"] > len(statuses), qt.IsTrue)
	b.Check(b.countedStatuses(), qt.DeepEquals, logged)
	b.await(2*time.Second, func() bool { return b.targetEndings() == switcher.Endings{Closed: logged["target"]} })
}

// Guards against answers of the platform, the weight store and the key-value service with an invalid status that a process logs but does
// not count, that leave their connection in use, or after which the calls are not made again.
func TestInvalidStatusesOfPlatform(t *testing.T) {
	log, plan := &logBuffer{}, linkedPlan()
	plan.Usage = demonstrator.DefaultPlan().Usage
	b := newLoggedTestbed(t, plan, log)
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	spec := client.Spec{Run: "statuses", Service: "sortmind", Bound: 1, Group: 2, Step: 2}
	trainer, err := client.Open(ctx, []string{"http://" + b.Entries[0].Callers}, b.keys["driver"], spec)
	b.Assert(err, qt.IsNil)
	data := []byte(strings.Repeat("w", 4096))
	b.Standin.Weights.Put(1, data)
	faulty := []*switcher.Switcher{&b.Standin.Weights.Switches, &b.Standin.Platform.Switches}
	for _, s := range faulty {
		s.Set(switcher.Switches{Status: "042"})
	}
	b.Assert(trainer.Publish(ctx, client.NewWeights(1, data, 1024)), qt.IsNil)
	b.await(20*time.Second, func() bool {
		_, calls := loggedStatuses(log)
		return calls["GET /v1/vms"] && calls["POST /v1/usage"] && calls["GET /weights/1/0"]
	})
	store := &b.Standin.Store.Switches
	store.Set(switcher.Switches{Status: "999"})
	b.await(20*time.Second, func() bool {
		_, calls := loggedStatuses(log)
		return calls["store 999"]
	})
	for _, s := range append(faulty, store) {
		s.Set(switcher.Switches{})
	}
	b.await(20*time.Second, func() bool {
		for _, e := range b.Standin.Engines {
			if e.Version() != 1 {
				return false
			}
		}
		return true
	})
	var logged, counted map[string]int
	b.await(5*time.Second, func() bool {
		// A call may be logged between the two reads.
		logged, _ = loggedStatuses(log)
		counted = b.countedStatuses()
		same := fmt.Sprint(logged) == fmt.Sprint(counted)
		if !same {
			b.Logf("logged %v, counted %v", logged, counted)
		}
		return same
	})
	for dependency, s := range map[string]*switcher.Switcher{"weights": faulty[0], "platform": faulty[1], "store": store} {
		b.Check(s.Endings(), qt.Equals, switcher.Endings{Closed: logged[dependency]}, qt.Commentf(dependency))
	}
}
