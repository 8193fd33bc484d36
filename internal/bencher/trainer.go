package bencher

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/mimosalb/mimosalb/internal/collector"
	"github.com/mimosalb/mimosalb/internal/decider"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

var _ = Register("trainer", benchTrainer)

// Sizes of the simulated training run. Time is simulated; the decisions are those of the collector.
const (
	simGroup     = 8
	trainerStep  = 512
	trainerSteps = 24
	simEngines   = 8
	simSlots     = 128
	simTick      = 100 * time.Millisecond
	simPace      = 10 * time.Millisecond
	simLimit     = 2000
	simMedian    = 400
	simSpread    = 0.6
	simStraggler = 0.03
	simSlowdown  = 10
	simTraining  = 6 * time.Second
	simSwap      = 2 * time.Second
	simSwapEvery = 3
	simSeed      = 17
)

// trainerPolicy is how a trainer and the service in front of the engines behave.
type trainerPolicy struct {
	// ahead is the number of steps that are submitted at a time.
	ahead int
	hedge bool
	// spread chooses the least loaded engine; otherwise engines take turns.
	spread bool
	// waves is the number of waves in which engines change weights.
	waves int
}

// trainerResult is what a trainerSimulation measured.
type trainerResult struct {
	idle float64
	// step is the mean over steps of the time from submission to the last sample, divided by the longest rollout of the
	// step at the usual pace; worst is the largest.
	step  float64
	worst float64
}

// benchTrainer compares the collector with a trainer that submits a step, waits for all of it without hedging, and
// sends rollouts to the engines in turn. 3% of the rollouts take ten times as long, callers take 20 to 40% of the
// engines, and weights change every three steps. The collector's trainer keeps three steps submitted, which the bound of
// two versions and the run's window of four steps allow; the lockstep figures are without that.
func benchTrainer(context.Context) ([]Figure, error) {
	base := simulateTrainer(trainerPolicy{ahead: 1, waves: 1})
	ours := simulateTrainer(trainerPolicy{ahead: 3, hedge: true, spread: true, waves: 4})
	lockstep := simulateTrainer(trainerPolicy{ahead: 1, hedge: true, spread: true, waves: 4})
	return []Figure{
		{Name: "trainer/idle-share", Unit: "of time", Value: ours.idle, Baseline: base.idle, Target: AtMostTimes(0.5)},
		{Name: "trainer/idle-share-lockstep", Unit: "of time", Value: lockstep.idle, Baseline: base.idle},
		{Name: "trainer/step-time", Unit: "× longest rollout", Value: lockstep.step, Baseline: base.step, Target: AtMost(1.2)},
		{Name: "trainer/step-time-worst", Unit: "× longest rollout", Value: lockstep.worst, Baseline: base.worst, Target: AtMost(1.2)},
	}, nil
}

// simRollout is a running rollout.
type simRollout struct {
	engine  int
	pace    time.Duration
	length  float64
	done    float64
	version identifier.Version
	queued  bool
}

// simWorld is the state of a trainerSimulation.
type simWorld struct {
	policy   trainerPolicy
	random   *rand.Rand
	run      *collector.Run
	now      time.Duration
	version  identifier.Version
	pending  map[int]identifier.Version
	paused   [simEngines]time.Duration
	load     [simEngines]int
	capacity [simEngines]int
	turn     int
	running  map[collector.Rollout]*simRollout
	order    []collector.Rollout
	lengths  map[collector.Group][]float64
}

// simulateTrainer runs the training run under a policy.
func simulateTrainer(p trainerPolicy) trainerResult {
	w := &simWorld{
		policy: p, random: rand.New(rand.NewPCG(simSeed, simSeed)), version: 1, //nolint:gosec // a fixed seed
		running: make(map[collector.Rollout]*simRollout), lengths: make(map[collector.Group][]float64),
	}
	detector := collector.DefaultStragglerDetector()
	if !p.hedge {
		detector = collector.StragglerDetector{}.With(decider.WithPriority[decider.Policy[collector.Progress, bool]](
			decider.Func[collector.Progress, bool](func(collector.Progress) (bool, bool) { return false, true }), 0))
	}
	spec := collector.Spec{Run: "bench", Service: "sortmind", Bound: 2, Group: simGroup, Step: trainerStep}
	w.run = collector.NewRun(spec, 1, collector.Cursor{}, nil, collector.WithStragglerDetector(detector), collector.WithCancel(w.release))
	w.run.SetVersions(1, 1)
	for e := range w.capacity {
		w.capacity[e] = simSlots - int((0.2+0.2*w.random.Float64())*simSlots)
	}
	return w.train(spec)
}

// train plays the trainer until all steps are trained.
func (w *simWorld) train(spec collector.Spec) trainerResult {
	var idle, busy, sum, worst float64
	var submitted, number uint64
	var held []collector.HeldBatch
	begun := make(map[int]time.Duration)
	for step := 1; step <= trainerSteps; step++ {
		for ; submitted < uint64(step-1+w.policy.ahead); submitted++ { //nolint:gosec // small numbers
			w.submit(submitted+1, spec)
			begun[int(submitted)+1] = w.now
		}
		start := w.now
		for last := false; !last; {
			number++
			w.run.ApplyStatement(collector.Statement{Number: number, Held: held})
			if p, due := w.run.DueCursor(); due {
				w.run.ConfirmCursor(p)
			}
			b, ok := w.run.Offer(w.now, number, spec.Groups())
			if !ok {
				w.tick()
				continue
			}
			held, last = []collector.HeldBatch{{Batch: b.ID}}, b.Last
		}
		idle += (w.now - start).Seconds()
		ratio := (w.now - begun[step]).Seconds() / w.longest(step)
		sum, worst = sum+ratio, max(worst, ratio)
		for end := w.now + simTraining; w.now < end; {
			w.tick()
		}
		busy += simTraining.Seconds()
		if step%simSwapEvery == 0 {
			w.swap()
		}
	}
	return trainerResult{idle: idle / (idle + busy), step: sum / trainerSteps, worst: worst}
}

// submit adds the groups of a step. Lengths are log-normal and bounded by the limit.
func (w *simWorld) submit(number uint64, spec collector.Spec) {
	prompts := make([]collector.Prompt, spec.Groups())
	for i := range prompts {
		prompts[i] = collector.Prompt{Text: "p", Limit: simLimit}
		lengths := make([]float64, spec.Group)
		for j := range lengths {
			lengths[j] = min(simLimit, max(1, math.Round(simMedian*math.Exp(simSpread*w.random.NormFloat64()))))
		}
		w.lengths[collector.Group{Submission: number, Index: i}] = lengths
	}
	w.run.AddSubmission(collector.Submission{Number: number}.WithPrompts(prompts...))
}

// longest returns the longest rollout of a step in seconds at the usual pace.
func (w *simWorld) longest(step int) float64 {
	longest := 0.0
	for g, lengths := range w.lengths {
		if g.Submission == uint64(step) { //nolint:gosec // small numbers
			for _, l := range lengths {
				longest = max(longest, l*simPace.Seconds())
			}
		}
	}
	return longest
}

// swap begins a weight change: each wave of engines pauses after the one before.
func (w *simWorld) swap() {
	w.version++
	w.pending = make(map[int]identifier.Version)
	for e := range simEngines {
		wave := e * w.policy.waves / simEngines
		w.paused[e] = w.now + time.Duration(wave+1)*simSwap
		w.pending[e] = w.version
	}
	w.run.SetVersions(w.version, w.version)
}

func (w *simWorld) stalled(e int) bool {
	wave := time.Duration(1)
	return w.now < w.paused[e] && w.now >= w.paused[e]-wave*simSwap
}

// tick moves time on.
func (w *simWorld) tick() {
	w.now += simTick
	for {
		e, free := w.choose()
		if !free {
			break
		}
		t, ok := w.run.Next(w.now, 0)
		if !ok {
			break
		}
		w.start(t, e)
	}
	for {
		t, ok := w.run.Hedge(w.now)
		if !ok {
			break
		}
		e, _ := w.choose()
		w.start(t, e)
	}
	order := w.order
	w.order = nil
	for _, id := range order {
		if r, ok := w.running[id]; ok {
			w.advance(id, r)
		}
		if _, ok := w.running[id]; ok {
			w.order = append(w.order, id)
		}
	}
}

// choose returns the engine of the next rollout and whether it accepts one. Engines that take turns queue the
// rollouts beyond their capacity.
func (w *simWorld) choose() (int, bool) {
	if !w.policy.spread {
		return w.turn, true
	}
	best := 0
	for e := range simEngines {
		if w.load[e]-w.capacity[e] < w.load[best]-w.capacity[best] {
			best = e
		}
	}
	return best, w.load[best] < w.capacity[best]
}

func (w *simWorld) start(t collector.Task, e int) {
	w.turn = (w.turn + 1) % simEngines
	pace := time.Duration(float64(simPace) * (0.95 + 0.1*w.random.Float64()))
	if w.random.Float64() < simStraggler {
		pace *= simSlowdown
	}
	r := &simRollout{
		engine: e, pace: pace, length: w.lengths[t.Rollout.Group][t.Rollout.Index], version: w.version,
		queued: w.load[e] >= w.capacity[e],
	}
	w.load[e]++
	w.running[t.Rollout] = r
	w.order = append(w.order, t.Rollout)
}

// advance adds a tick's tokens to a rollout.
func (w *simWorld) advance(id collector.Rollout, r *simRollout) {
	if r.queued {
		if w.load[r.engine] > w.capacity[r.engine] && w.random.IntN(2) == 0 {
			return
		}
		r.queued = false
	}
	if w.stalled(r.engine) {
		return
	}
	r.done += float64(simTick) / float64(r.pace)
	if r.done < r.length {
		w.run.RecordProgress(id, identifier.Tokens(r.done), r.version, w.now)
		return
	}
	w.release(id)
	s := collector.NewSample(id.Group, id.Index, []streamer.Piece{{Tokens: identifier.Tokens(r.length), Version: r.version}})
	w.run.Finish(id, &s, w.now)
}

// release frees the slot of a rollout.
func (w *simWorld) release(id collector.Rollout) {
	if r, ok := w.running[id]; ok {
		w.load[r.engine]--
		delete(w.running, id)
	}
}
