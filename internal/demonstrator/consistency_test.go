package demonstrator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/standin/service"
	"github.com/mimosalb/mimosalb/internal/standin/switcher"
)

const (
	consistencySeed     = 20261204
	consistencyRequests = 10000
	consistencyWorkers  = 48
	answerTokens        = 6
)

// Kinds of requests: completions, streamed or not, and calls that must not be repeated, with an idempotency key or without.
const (
	kindModel = iota
	kindStream
	kindOnce
	kindKeyed
	kindCount
)

// Faults that affect a single request.
const (
	faultNone = iota
	// faultDrop breaks the connection to the target before the call runs, faultMute after it ran.
	faultDrop
	faultMute
	// faultCancel makes the caller disconnect before the response.
	faultCancel
	faultCount
)

// faultMarks holds the texts in the body of a call that make the stand-in service show the fault.
var faultMarks = [faultCount]string{faultNone: "", faultDrop: " drop", faultMute: " mute", faultCancel: ""}

// testRequest is one request of the test. It depends only on the seed and the index.
type testRequest struct {
	index int
	kind  int
	fault int
	// entry is the index of the entry that gets the request.
	entry int
	// repeat states that a call with an idempotency key is sent again, to another entry.
	repeat bool
	// cancelAfter is the time after which the caller disconnects if fault is faultCancel.
	cancelAfter time.Duration
}

func newTestRequest(i int) testRequest {
	random := rand.New(rand.NewPCG(consistencySeed, uint64(i)))
	q := testRequest{index: i, kind: random.IntN(kindCount), entry: random.IntN(3), repeat: random.IntN(2) == 0}
	if random.IntN(8) == 0 {
		q.fault = 1 + random.IntN(faultCount-1)
		if q.kind <= kindStream {
			q.fault = faultCancel
		}
	}
	q.cancelAfter = time.Duration(random.IntN(20)) * time.Millisecond
	return q
}

func (q testRequest) body() string {
	return fmt.Sprintf("call %d%s;", q.index, faultMarks[q.fault])
}

// tally counts the outcomes of requests, the violations of guarantees and the injected faults.
type tally struct {
	// Outcomes that callers saw. refused counts "not run", and entryLost requests without a response from the entry that
	// crashed.
	answered, refused, unknown, ran, cancelled, entryLost atomic.Int64
	// Violations. crossed counts responses that belong to another request.
	doubled, lost, falseNotRun, falseRan, crossed, truncated atomic.Int64
	// Injected faults, and the calls that were sent again.
	faultyRequests, replayed, engineCrashes, linkCuts, linkSilences, agentCrashes, entryCrashes atomic.Int64
}

// consistencyTest compares the outcomes that callers see with the runs at the stand-ins while faults are injected.
type consistencyTest struct {
	*testbed
	tally

	// entries holds the callers' addresses of all entries, of which the last crashes during the test.
	entries      []string
	entryCrashed atomic.Bool
	// faultMu serializes the injection of faults.
	faultMu sync.Mutex
}

// Guards against calls that run twice, responses that are lost, truncated or belong to another request, and "not run" or
// "ran" that is false, while targets, agents, links, an entry and callers fail.
func TestRunsMatchAnswers(t *testing.T) {
	p := linkedPlan()
	p.Entries = append(p.Entries, p.Entries[0])
	b := newTestbed(t, p)
	b.setServiceSwitches(switcher.Switches{Drop: " drop;", Mute: " mute;"})
	n := &consistencyTest{testbed: b}
	for _, e := range b.Entries {
		n.entries = append(n.entries, e.Callers)
	}
	start := time.Now()
	var next atomic.Int64
	var workers sync.WaitGroup
	for range consistencyWorkers {
		workers.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= consistencyRequests {
					return
				}
				n.injectFault(i)
				n.send(newTestRequest(i))
			}
		})
	}
	workers.Wait()
	n.countDoubled()
	t.Logf("%d requests in %v: %d answered (%d replayed), %d not run, %d unknown, %d ran, %d cancelled, %d lost with their entry; "+
		"faults: %d of requests, %d engine crashes, %d cut links, %d silent links, %d agent crashes, %d entry crashes",
		consistencyRequests, time.Since(start).Round(time.Millisecond), n.answered.Load(), n.replayed.Load(), n.refused.Load(),
		n.unknown.Load(), n.ran.Load(), n.cancelled.Load(), n.entryLost.Load(), n.faultyRequests.Load(), n.engineCrashes.Load(),
		n.linkCuts.Load(), n.linkSilences.Load(), n.agentCrashes.Load(), n.entryCrashes.Load())
	for what, wrong := range map[string]*atomic.Int64{
		"doubled": &n.doubled, "lost": &n.lost, "false not-run": &n.falseNotRun, "false ran": &n.falseRan,
		"crossed": &n.crossed, "truncated": &n.truncated,
	} {
		b.Check(wrong.Load(), qt.Equals, int64(0), qt.Commentf("%s", what))
	}
	b.Check(n.faultyRequests.Load() >= consistencyRequests/10, qt.IsTrue)
	b.Check(n.answered.Load() > consistencyRequests/2, qt.IsTrue, qt.Commentf("too few requests were answered for a meaningful test"))
}

// injectFault injects the fault that belongs to index i, if any. It affects all requests that run at the time.
func (n *consistencyTest) injectFault(i int) {
	random := rand.New(rand.NewPCG(consistencySeed+1, uint64(i)))
	model := fmt.Sprintf("sortmind-%d", 1+random.IntN(4))
	plain := fmt.Sprintf("manifest-%d", 1+random.IntN(3))
	link := []string{model, plain}[random.IntN(2)]
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	switch {
	case i == consistencyRequests/2:
		n.entryCrashed.Store(true)
		n.entryCrashes.Add(1)
		_ = n.StopEntry(cancelledContext(), 2)
	case i%2000 == 999:
		n.agentCrashes.Add(1)
		_ = n.StopAgent(cancelledContext(), link)
		n.Check(n.RestartAgent(link), qt.IsNil)
	case i%2500 == 1249:
		n.linkSilences.Add(1)
		n.Links[link].Silence()
	case i%200 == 99:
		n.linkCuts.Add(1)
		n.Links[link].Cut()
	case i%150 == 49:
		n.engineCrashes.Add(1)
		n.Standin.Engines[model].Crash()
	case i%100 == 9:
		n.Standin.Store.Switches.Set(switcher.Switches{Lose: 1})
	}
}

// send sends one request and checks the outcome that its caller sees.
func (n *consistencyTest) send(q testRequest) {
	if q.fault != faultNone {
		n.faultyRequests.Add(1)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if q.fault == faultCancel {
		defer time.AfterFunc(q.cancelAfter, cancel).Stop()
	}
	entry := q.entry
	if n.entryCrashed.Load() {
		entry %= 2
	}
	switch q.kind {
	case kindModel, kindStream:
		prompt := fmt.Sprintf("prompt%d of many", q.index)
		resp, err := n.post(ctx, n.entries[entry], "/v1/completions", "driver", nil, completionJSON(prompt, answerTokens, q.kind == kindStream))
		r := readReply(resp, err)
		n.classify(ctx, entry, r, func() { n.checkCompletion(r, prompt) }, func() bool { return n.ranPrompt(prompt) })
	default:
		header := map[string]string{}
		if q.kind == kindKeyed {
			header["Idempotency-Key"] = fmt.Sprint("key", q.index)
		}
		r := n.sendCall(ctx, q, entry, header)
		if q.kind == kindKeyed && q.repeat {
			n.sendAgain(q, r, header)
		}
	}
}

func (n *consistencyTest) sendCall(ctx context.Context, q testRequest, entry int, header map[string]string) reply {
	r := readReply(n.post(ctx, n.entries[entry], "/v1/services/manifest/check", "clerk", header, q.body()))
	n.classify(ctx, entry, r, func() { n.checkServiceReply(r, q.body()) }, func() bool { return n.runsOfBody(q.body()) > 0 })
	return r
}

// sendAgain sends a call with an idempotency key to another entry. It must get the first outcome, or "unknown" if that is
// lost.
func (n *consistencyTest) sendAgain(q testRequest, first reply, header map[string]string) {
	second := n.sendCall(context.Background(), q, 1-q.entry%2, header)
	n.replayed.Add(1)
	if first.status == http.StatusOK && second.status == http.StatusOK && first.body != second.body {
		n.crossed.Add(1)
	}
}

// classify counts a reply by its outcome. It calls answered to check the body of a successful reply, and ran to find out
// whether a target ran the request.
func (n *consistencyTest) classify(ctx context.Context, entry int, r reply, answered func(), ran func() bool) {
	kind, reason := r.problem()
	switch {
	case ctx.Err() != nil:
		n.cancelled.Add(1)
	case r.status == 0 && entry == 2:
		n.entryLost.Add(1)
	case r.status == http.StatusOK:
		n.answered.Add(1)
		answered()
	case kind == "not-run":
		n.refused.Add(1)
		if ran() {
			n.falseNotRun.Add(1)
			n.Logf("false not-run: %s", r.body)
		}
	case kind == "unknown":
		n.unknown.Add(1)
	case kind == "ran":
		n.ran.Add(1)
		if !ran() {
			n.falseRan.Add(1)
		}
	default:
		n.lost.Add(1)
		n.Logf("lost: status %d %s %s", r.status, reason, r.body)
	}
}

// checkServiceReply checks that a reply of a plain service echoes the body of the call and that a target ran the call.
func (n *consistencyTest) checkServiceReply(r reply, body string) {
	var a service.Answer
	if json.Unmarshal([]byte(r.body), &a) != nil {
		n.truncated.Add(1)
	} else if a.Body != body {
		n.crossed.Add(1)
	}
	if n.runsOfBody(body) == 0 {
		n.lost.Add(1)
	}
}

// checkCompletion checks the text of a completion. A stream that ended with an error event may be incomplete.
func (n *consistencyTest) checkCompletion(r reply, prompt string) {
	var got string
	var failed bool
	if strings.HasPrefix(r.body, "data:") || strings.HasPrefix(r.body, "event:") {
		got, failed = joinEvents(r.body)
	} else {
		got = joinChoices(r.body)
	}
	want := expectedText(prompt, answerTokens)
	switch {
	case got == want && !failed, failed && strings.HasPrefix(want, got):
	case strings.HasPrefix(want, got):
		n.truncated.Add(1)
	default:
		n.crossed.Add(1)
		n.Logf("got %q, want %q", got, want)
	}
}

// joinChoices returns the text of a completion or of one event of its stream, or "" if there is none.
func joinChoices(body string) string {
	var a struct {
		Choices []struct{ Text string }
	}
	_ = json.Unmarshal([]byte(body), &a)
	if len(a.Choices) == 0 {
		return ""
	}
	return a.Choices[0].Text
}

// joinEvents returns the text of a stream and whether it has an error event.
func joinEvents(body string) (joined string, failed bool) {
	for line := range strings.Lines(body) {
		failed = failed || strings.HasPrefix(line, "event: error")
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			joined += joinChoices(data)
		}
	}
	return joined, failed
}

func (n *consistencyTest) ranPrompt(prompt string) bool {
	for _, e := range n.Standin.Engines {
		if e.RunsOfPrompt(prompt) > 0 {
			return true
		}
	}
	return false
}

// countDoubled counts the calls that must not be repeated and ran more than once. All requests must have ended.
func (n *consistencyTest) countDoubled() {
	for i := range consistencyRequests {
		if q := newTestRequest(i); q.kind >= kindOnce && n.runsOfBody(q.body()) > 1 {
			n.doubled.Add(1)
		}
	}
}
