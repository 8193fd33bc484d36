package estimator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/estimator"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// request is one request as a stand-in of docs/requirements.md, part 6, serves it.
type request struct {
	kind     string
	features estimator.Features
	work     estimator.Work
}

const (
	eventTime  = 40 * time.Millisecond
	promptTime = 500 * time.Microsecond
)

// newItem returns an item of a job with a shared prompt part and a number of events, of which the hint is what the caller says.
func newItem(shared identifier.Tokens, held bool, events, hint int) request {
	f := estimator.Features{Service: "engines", Route: "jobs", Path: "/jobs/i/7", Held: held, Shape: estimator.Shape{
		Model: "m", Prompt: shared + 16, Hint: identifier.Tokens(hint), Parts: []estimator.Part{{ID: "a", Tokens: shared}, {ID: "b", Tokens: 16}},
	}}
	read := shared + 16
	if held {
		read = 16
	}
	w := estimator.Work{Start: time.Duration(read)*promptTime + eventTime, Events: float64(events), Interval: eventTime}
	return request{kind: fmt.Sprintf("items of %d shared tokens, held %v", shared, held), features: f, work: w}
}

// newPlain returns a request that a plain service answers.
func newPlain(path string, took time.Duration) request {
	f := estimator.Features{Service: "plain", Route: "plain", Path: path}
	return request{kind: "plain " + path, features: f, work: estimator.Work{Start: took}}
}

// newRequests returns requests of all kinds with the lengths of the stand-ins. hint returns what callers say of a length.
func newRequests(n int, hint func(r *rand.Rand, events int) int) []request {
	r := rand.New(rand.NewPCG(1, 1))
	all := make([]request, 0, n)
	for range n {
		events := 6 + r.IntN(13)
		switch r.IntN(6) {
		case 0:
			all = append(all, newPlain("/query", time.Duration(21000+r.IntN(4000))*time.Microsecond))
		case 1:
			all = append(all, newPlain("/score/a", time.Duration(28+r.IntN(5))*time.Millisecond))
		case 2:
			all = append(all, newPlain("/score/b", time.Duration(76+r.IntN(9))*time.Millisecond))
		default:
			all = append(all, newItem([]identifier.Tokens{260, 1000}[r.IntN(2)], r.IntN(3) == 0, events, hint(r, events)))
		}
	}
	return all
}

// rough hints are right at the median and often far off; lies have nothing to do with the length.
func rough(r *rand.Rand, events int) int {
	return max(1, int(float64(events)*math.Exp(0.5*r.NormFloat64())))
}

func lie(r *rand.Rand, _ int) int { return 1 + r.IntN(64) }

// errorsByKind returns the mean relative error of predictions by kind, of those by the mean of all requests of the service, and of those by
// the hint at the true time of an event and of a prompt token. The first tenth of the requests is only observed.
func errorsByKind(all []request) string {
	e := estimator.NewEstimator()
	type sums struct{ n, learned, alike, hinted float64 }
	by, order := make(map[string]*sums), []string{}
	means, counts := make(map[identifier.Service]float64), make(map[identifier.Service]float64)
	for i, q := range all {
		actual := float64(q.work.Total())
		off := func(predicted float64) float64 { return math.Abs(predicted-actual) / actual }
		if i >= len(all)/10 {
			k := by[q.kind]
			if k == nil {
				k = &sums{}
				by[q.kind], order = k, append(order, q.kind)
			}
			hinted := estimator.Work{
				Start: time.Duration(q.features.Shape.Prompt)*promptTime + eventTime, Events: float64(q.features.Shape.Hint), Interval: eventTime,
			}
			k.n++
			k.learned += off(float64(e.Predict(q.features).Total()))
			k.alike += off(means[q.features.Service])
			k.hinted += off(float64(hinted.Total()))
		}
		e.Observe(q.features, q.work)
		s := q.features.Service
		counts[s]++
		means[s] += (actual - means[s]) / counts[s]
	}
	var out strings.Builder
	for _, kind := range order {
		k := by[kind]
		hinted := fmt.Sprintf("%.2f", k.hinted/k.n)
		if strings.HasPrefix(kind, "plain") {
			hinted = "none"
		}
		fmt.Fprintf(&out, "%s: learned %.2f, all alike %.2f, by hint %s\n", kind, k.learned/k.n, k.alike/k.n, hinted)
	}
	return out.String()
}

// Guards against predictions that are worse than to take all requests of a service for alike, or worse than the caller's hint.
func TestErrorByKind(t *testing.T) {
	out := "# hints right at the median\n" + errorsByKind(newRequests(6000, rough)) + "# hints that lie\n" + errorsByKind(newRequests(6000, lie))
	goldie.New(t).Assert(t, "errors", []byte(out))
}

// predictions shows what an estimator expects of an item.
func predictions(e *estimator.Estimator, q request) string {
	w := e.Predict(q.features)
	return fmt.Sprintf("start %v, %.1f events, %v between", w.Start.Round(time.Millisecond), w.Events, w.Interval.Round(time.Millisecond))
}

// Guards against a prediction from too little, a kind never seen that counts as no work, a hint that keeps its weight once it lies, a change
// that is not followed, and an observation of a stalled target that counts as one of the kind.
func TestPredictions(t *testing.T) {
	var out strings.Builder
	e := estimator.NewEstimator()
	show := func(title string, q request) { fmt.Fprintf(&out, "%s: %s\n", title, predictions(e, q)) }
	observe := func(n int, q request) {
		for range n {
			e.Observe(q.features, q.work)
		}
	}
	observe(7, newItem(260, false, 8, 8))
	show("after 7 attempts", newItem(260, false, 8, 8))
	observe(1, newItem(260, false, 8, 8))
	show("after 8", newItem(260, false, 8, 8))
	observe(40, newItem(260, false, 16, 16))
	show("a short one", newItem(260, false, 8, 8))
	show("a long one", newItem(260, false, 16, 16))
	show("a hint never seen", newItem(260, false, 0, 500))
	unseen := newItem(1000, false, 0, 8)
	unseen.features.Route = "other"
	show("a route never seen", unseen)
	observe(60, newItem(260, false, 16, 8))
	show("the hint of short ones is given for long ones", newItem(260, false, 8, 8))
	stalled := newItem(260, false, 16, 16)
	stalled.work.Start = time.Minute
	observe(1, stalled)
	show("after a target stalled", newItem(260, false, 16, 16))
	observe(40, newItem(260, false, 32, 16))
	show("texts are twice as long now", newItem(260, false, 16, 16))
	goldie.New(t).Assert(t, "predictions", []byte(out.String()))
}

// Guards against remaining work that does not fall with each event, falls to nothing for a text that outgrows its kind, or is negative.
func TestRemainingWork(t *testing.T) {
	c := qt.New(t)
	w := estimator.Work{Start: 100 * time.Millisecond, Events: 10, Interval: 20 * time.Millisecond}
	c.Assert(w.Total(), qt.Equals, 280*time.Millisecond)
	c.Assert(w.Remaining(0, 0), qt.Equals, 280*time.Millisecond)
	c.Assert(w.Remaining(6, 6), qt.Equals, 80*time.Millisecond)
	c.Assert(w.From(6), qt.Equals, 180*time.Millisecond)
	c.Assert(w.Remaining(16, 16), qt.Equals, 40*time.Millisecond)
	c.Assert(estimator.Work{}.Remaining(3, 3), qt.Equals, time.Duration(0))
	c.Assert(estimator.Work{Start: time.Second}.Total(), qt.Equals, time.Second)
}

// Guards against a table that grows with each path, model and hint that callers make up, and that forgets what is in use.
func TestKindsAreBounded(t *testing.T) {
	c := qt.New(t)
	e, used := estimator.NewEstimator(), newItem(260, false, 8, 8)
	for i := range 20000 {
		made := newItem(identifier.Tokens(1+i), false, 1+i%40, i)
		made.features.Path, made.features.Route = fmt.Sprintf("/%d/x", i), fmt.Sprint(i%500)
		e.Observe(made.features, made.work)
		if i%50 == 0 {
			e.Observe(used.features, used.work)
		}
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 4000 {
		long := newItem(260, false, 8, i)
		long.features.Shape.Model = identifier.Model(strings.Repeat(fmt.Sprint(i), 4000))
		long.features.Path = "/" + strings.Repeat(fmt.Sprint(i), 4000)
		e.Observe(long.features, long.work)
		e.Observe(used.features, used.work)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	more := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	c.Assert(more < 4<<20, qt.IsTrue, qt.Commentf("%d bytes more", more))
	c.Assert(e.Count() <= 2048, qt.IsTrue, qt.Commentf("%d kinds", e.Count()))
	c.Assert(math.Abs(e.Predict(used.features).Events-8) < 1, qt.IsTrue, qt.Commentf("%+v", e.Predict(used.features)))
}

// Guards against requests of a group that count as having no part in common, and of different groups or models as having one.
func TestSharedKey(t *testing.T) {
	c := qt.New(t)
	shape := func(model identifier.Model, parts ...estimator.Part) estimator.Shape {
		return estimator.Shape{Model: model, Parts: parts}
	}
	a := shape("m", estimator.Part{ID: "a", Tokens: 260}, estimator.Part{ID: "own1", Tokens: 16}).SharedKey()
	c.Assert(shape("m", estimator.Part{ID: "a", Tokens: 260}, estimator.Part{ID: "own2", Tokens: 16}).SharedKey(), qt.Equals, a)
	c.Assert(shape("m", estimator.Part{ID: "b", Tokens: 260}, estimator.Part{ID: "own1", Tokens: 16}).SharedKey(), qt.Not(qt.Equals), a)
	c.Assert(shape("n", estimator.Part{ID: "a", Tokens: 260}, estimator.Part{ID: "own1", Tokens: 16}).SharedKey(), qt.Not(qt.Equals), a)
	c.Assert(shape("m").SharedKey(), qt.Equals, uint64(0))
}
