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
	countSeed     = 20261204
	countRequests = 10000
	countWorkers  = 48
	answerTokens  = 6
)

// kinds of requests and of the faults that belong to one of them.
const (
	kindModel = iota
	kindStream
	kindOnce
	kindClaimed
	kindCount
)

const (
	faultNone = iota
	// faultDrop breaks the connection to the target before the run, faultMute after it.
	faultDrop
	faultMute
	// faultLeave lets the caller go away before the answer.
	faultLeave
	faultCount
)

// marks are what the stand-in service finds in the body of a call with a fault.
var marks = [faultCount]string{faultNone: "", faultDrop: " drop", faultMute: " mute", faultLeave: ""}

// order is one request of the count. It follows from the seed alone.
type order struct {
	index int
	kind  int
	fault int
	entry int
	// again sends a claimed call a second time, to another entry.
	again bool
	leave time.Duration
}

func newOrder(i int) order {
	random := rand.New(rand.NewPCG(countSeed, uint64(i)))
	o := order{index: i, kind: random.IntN(kindCount), entry: random.IntN(3), again: random.IntN(2) == 0}
	if random.IntN(8) == 0 {
		o.fault = 1 + random.IntN(faultCount-1)
		if o.kind <= kindStream {
			o.fault = faultLeave
		}
	}
	o.leave = time.Duration(random.IntN(20)) * time.Millisecond
	return o
}

func (o order) body() string {
	return fmt.Sprintf("call %d%s;", o.index, marks[o.fault])
}

// tally counts what callers saw against what ran.
type tally struct {
	answered, refused, unknown, ran, left, cut                   atomic.Int64
	doubled, lost, falseNotRun, falseRan, crossed, cutShort      atomic.Int64
	faulty, replayed, crashes, cuts, silences, deaths, entryDead atomic.Int64
}

// count is one run of the counting test.
type count struct {
	*bed
	tally

	entries []string
	gone    atomic.Bool
	chaos   sync.Mutex
}

// Guards against a run that is doubled, an answer that is lost, crossed or cut short, and a refusal that is untrue, while
// targets, agents, links, an entry and callers fail.
func TestRunsMatchAnswers(t *testing.T) {
	p := wide()
	p.Entries = append(p.Entries, p.Entries[0])
	b := newBed(t, p)
	b.plain(switcher.Switches{Drop: " drop;", Mute: " mute;"})
	n := &count{bed: b}
	for _, e := range b.Entries {
		n.entries = append(n.entries, e.Callers)
	}
	start := time.Now()
	var next atomic.Int64
	var workers sync.WaitGroup
	for range countWorkers {
		workers.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= countRequests {
					return
				}
				n.disturb(i)
				n.run(newOrder(i))
			}
		})
	}
	workers.Wait()
	n.audit()
	t.Logf("%d requests in %v: %d answered (%d replayed), %d not run, %d unknown, %d ran, %d left, %d cut with their entry; "+
		"faults: %d of requests, %d crashes, %d cut links, %d silent links, %d agents, %d entries",
		countRequests, time.Since(start).Round(time.Millisecond), n.answered.Load(), n.replayed.Load(), n.refused.Load(), n.unknown.Load(),
		n.ran.Load(), n.left.Load(), n.cut.Load(), n.faulty.Load(), n.crashes.Load(), n.cuts.Load(), n.silences.Load(), n.deaths.Load(),
		n.entryDead.Load())
	for what, wrong := range map[string]*atomic.Int64{
		"doubled": &n.doubled, "lost": &n.lost, "false not-run": &n.falseNotRun, "false ran": &n.falseRan,
		"crossed": &n.crossed, "truncated": &n.cutShort,
	} {
		b.Check(wrong.Load(), qt.Equals, int64(0), qt.Commentf("%s", what))
	}
	b.Check(n.faulty.Load() >= countRequests/10, qt.IsTrue)
	b.Check(n.answered.Load() > countRequests/2, qt.IsTrue, qt.Commentf("too few answers for the counts to mean anything"))
}

// disturb injects the faults that hit whatever is under way.
func (n *count) disturb(i int) {
	random := rand.New(rand.NewPCG(countSeed+1, uint64(i)))
	model := fmt.Sprintf("sortmind-%d", 1+random.IntN(4))
	plain := fmt.Sprintf("manifest-%d", 1+random.IntN(3))
	link := []string{model, plain}[random.IntN(2)]
	n.chaos.Lock()
	defer n.chaos.Unlock()
	switch {
	case i == countRequests/2:
		n.gone.Store(true)
		n.entryDead.Add(1)
		_ = n.StopEntry(dead(), 2)
	case i%2000 == 999:
		n.deaths.Add(1)
		_ = n.StopAgent(dead(), link)
		n.Check(n.RestartAgent(link), qt.IsNil)
	case i%2500 == 1249:
		n.silences.Add(1)
		n.Links[link].Silence()
	case i%200 == 99:
		n.cuts.Add(1)
		n.Links[link].Cut()
	case i%150 == 49:
		n.crashes.Add(1)
		n.Standin.Engines[model].Crash()
	case i%100 == 9:
		n.Standin.Store.Switches.Set(switcher.Switches{Lose: 1})
	}
}

// run sends one request and checks what its caller sees.
func (n *count) run(o order) {
	if o.fault != faultNone {
		n.faulty.Add(1)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if o.fault == faultLeave {
		defer time.AfterFunc(o.leave, cancel).Stop()
	}
	entry := o.entry
	if n.gone.Load() {
		entry %= 2
	}
	switch o.kind {
	case kindModel, kindStream:
		prompt := fmt.Sprintf("prompt%d of many", o.index)
		resp, err := n.post(ctx, n.entries[entry], "/v1/completions", "driver", nil, ask(prompt, answerTokens, o.kind == kindStream))
		r := read(resp, err)
		n.judge(ctx, entry, r, func() { n.judgeText(r, prompt) }, func() bool { return n.ranPrompt(prompt) })
	default:
		header := map[string]string{}
		if o.kind == kindClaimed {
			header["Idempotency-Key"] = fmt.Sprint("key", o.index)
		}
		r := n.plainCall(ctx, o, entry, header)
		if o.kind == kindClaimed && o.again {
			n.again(o, r, header)
		}
	}
}

func (n *count) plainCall(ctx context.Context, o order, entry int, header map[string]string) reply {
	r := read(n.post(ctx, n.entries[entry], "/v1/services/manifest/check", "clerk", header, o.body()))
	n.judge(ctx, entry, r, func() { n.judgeCall(r, o.body()) }, func() bool { return n.runs(o.body()) > 0 })
	return r
}

// again sends a claimed call to another entry. It must get the first outcome, or an unknown if that is lost.
func (n *count) again(o order, first reply, header map[string]string) {
	second := n.plainCall(context.Background(), o, 1-o.entry%2, header)
	n.replayed.Add(1)
	if first.status == http.StatusOK && second.status == http.StatusOK && first.body != second.body {
		n.crossed.Add(1)
	}
}

// judge sorts a reply. ran tells whether a target ran the request.
func (n *count) judge(ctx context.Context, entry int, r reply, answered func(), ran func() bool) {
	kind, reason := r.problem()
	switch {
	case ctx.Err() != nil:
		n.left.Add(1)
	case r.status == 0 && entry == 2:
		n.cut.Add(1)
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

func (n *count) judgeCall(r reply, body string) {
	var a service.Answer
	if json.Unmarshal([]byte(r.body), &a) != nil {
		n.cutShort.Add(1)
	} else if a.Body != body {
		n.crossed.Add(1)
	}
	if n.runs(body) == 0 {
		n.lost.Add(1)
	}
}

// judgeText checks the text of a whole answer, or of a stream whose error event says how it ended.
func (n *count) judgeText(r reply, prompt string) {
	var got string
	var failed bool
	if strings.HasPrefix(r.body, "data:") || strings.HasPrefix(r.body, "event:") {
		got, failed = joinEvents(r.body)
	} else {
		got = joinChoices(r.body)
	}
	want := text(prompt, answerTokens)
	switch {
	case got == want && !failed, failed && strings.HasPrefix(want, got):
	case strings.HasPrefix(want, got):
		n.cutShort.Add(1)
	default:
		n.crossed.Add(1)
		n.Logf("got %q, want %q", got, want)
	}
}

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

// joinEvents returns the text of a stream and whether it ended with an error event instead of [DONE].
func joinEvents(body string) (joined string, failed bool) {
	for line := range strings.Lines(body) {
		failed = failed || strings.HasPrefix(line, "event: error")
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			joined += joinChoices(data)
		}
	}
	return joined, failed
}

func (n *count) ranPrompt(prompt string) bool {
	for _, e := range n.Standin.Engines {
		if e.RunsOfPrompt(prompt) > 0 {
			return true
		}
	}
	return false
}

// audit counts the calls that may not be repeated and ran more than once, after everything has ended.
func (n *count) audit() {
	for i := range countRequests {
		if o := newOrder(i); o.kind >= kindOnce && n.runs(o.body()) > 1 {
			n.doubled.Add(1)
		}
	}
}
