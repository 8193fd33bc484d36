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

// Parameters of the simulated training run. Time and engines are simulated; collector.Run makes the decisions.
const (
	trainerGroupSize = 8
	// trainerStepSize is the number of samples of a step, and trainerSteps the number of steps.
	trainerStepSize = 512
	trainerSteps    = 24
	trainerEngines  = 8
	trainerSlots    = 128 // for each engine
	trainerTick     = 100 * time.Millisecond
	// trainerTokenTime is the usual time for one token.
	trainerTokenTime = 10 * time.Millisecond
	// The lengths of rollouts are log-normal with this median and sigma, and at most trainerMaxTokens.
	trainerMaxTokens    = 2000
	trainerMedianTokens = 400
	trainerTokensSigma  = 0.6
	// trainerStragglerShare of the rollouts take trainerStragglerFactor times as long for a token.
	trainerStragglerShare  = 0.03
	trainerStragglerFactor = 10
	// trainerTrainingTime is the time that the trainer needs for one step of samples.
	trainerTrainingTime = 6 * time.Second
	// The weights change after every weightChangeSteps steps; each engine pauses for weightChangePause.
	weightChangePause = 2 * time.Second
	weightChangeSteps = 3
	trainerSeed       = 17
)

// trainerPolicy is the behaviour of the trainer and of the service in front of the engines.
type trainerPolicy struct {
	// stepsAhead is the number of steps submitted before the current one ends, the current one included.
	stepsAhead int
	hedge      bool
	// leastLoaded chooses the engine with the lowest load; otherwise the choice is round-robin.
	leastLoaded bool
	// waves is the number of groups of engines that change weights one after the other.
	waves int
}

// trainerResult is the result of one trainerSimulation.
type trainerResult struct {
	// idleShare is the fraction of the time in which the trainer waits for samples.
	idleShare float64
	// meanStepRatio is the mean over steps of the time from submission to the last sample, divided by the time that
	// the longest rollout of the step takes at trainerTokenTime. worstStepRatio is the highest such ratio.
	meanStepRatio  float64
	worstStepRatio float64
}

// benchTrainer compares the collector with a baseline trainer that submits one step, waits for all of its samples without
// hedging, and sends rollouts to the engines in turn. 3% of the rollouts take ten times as long, callers use 20 to 40% of
// the engines' slots, and weights change every three steps. With the collector the trainer keeps three steps submitted,
// which the staleness bound of two versions and the run's window of four steps allow. The lockstep figures use the
// collector with one step submitted at a time.
func benchTrainer(context.Context) ([]Figure, error) {
	base := simulateTrainer(trainerPolicy{stepsAhead: 1, waves: 1})
	collected := simulateTrainer(trainerPolicy{stepsAhead: 3, hedge: true, leastLoaded: true, waves: 4})
	lockstep := simulateTrainer(trainerPolicy{stepsAhead: 1, hedge: true, leastLoaded: true, waves: 4})
	return []Figure{
		{Name: "trainer/idle-share", Unit: "of time", Value: collected.idleShare, Baseline: base.idleShare, Target: AtMostRatio(0.5)},
		{Name: "trainer/idle-share-lockstep", Unit: "of time", Value: lockstep.idleShare, Baseline: base.idleShare},
		{Name: "trainer/step-time", Unit: "× longest rollout", Value: lockstep.meanStepRatio, Baseline: base.meanStepRatio, Target: AtMost(1.2)},
		{Name: "trainer/step-time-worst", Unit: "× longest rollout", Value: lockstep.worstStepRatio, Baseline: base.worstStepRatio, Target: AtMost(1.2)},
	}, nil
}

// trainerRollout is a rollout that an engine runs or queues.
type trainerRollout struct {
	engine        int
	tokenDuration time.Duration
	length        float64
	done          float64
	version       identifier.Version
	queued        bool
}

// trainerSimulation is the state of one simulated training run.
type trainerSimulation struct {
	policy       trainerPolicy
	random       *rand.Rand
	run          *collector.Run
	now          time.Duration
	version      identifier.Version
	pending      map[int]identifier.Version
	pausedUntil  [trainerEngines]time.Duration
	load         [trainerEngines]int
	capacity     [trainerEngines]int
	nextEngine   int
	running      map[collector.AttemptID]*trainerRollout
	runningOrder []collector.AttemptID
	lengths      map[collector.Group][]float64
}

// simulateTrainer simulates the training run with a policy.
func simulateTrainer(p trainerPolicy) trainerResult {
	s := &trainerSimulation{
		policy: p, random: rand.New(rand.NewPCG(trainerSeed, trainerSeed)), version: 1, //nolint:gosec // a fixed seed
		running: make(map[collector.AttemptID]*trainerRollout), lengths: make(map[collector.Group][]float64),
	}
	detector := collector.DefaultStragglerDetector()
	if !p.hedge {
		detector = collector.StragglerDetector{}.With(decider.WithPriority[decider.Policy[collector.Progress, bool]](
			decider.Func[collector.Progress, bool](func(collector.Progress) (bool, bool) { return false, true }), 0))
	}
	spec := collector.Spec{Run: "bench", Service: "sortmind", Bound: 2, Group: trainerGroupSize, Step: trainerStepSize}
	s.run = collector.NewRun(spec, 1, collector.Cursor{}, nil, collector.WithStragglerDetector(detector), collector.WithCancel(s.release))
	s.run.SetVersions(1, 1)
	for e := range s.capacity {
		s.capacity[e] = trainerSlots - int((0.2+0.2*s.random.Float64())*trainerSlots)
	}
	return s.train(spec)
}

// train acts as the trainer until all steps are trained.
func (s *trainerSimulation) train(spec collector.Spec) trainerResult {
	var idle, busy, sum, worst float64
	var submitted, number uint64
	var held []collector.HeldBatch
	submittedAt := make(map[int]time.Duration)
	for step := 1; step <= trainerSteps; step++ {
		for ; submitted < uint64(step-1+s.policy.stepsAhead); submitted++ { //nolint:gosec // small numbers
			s.submit(submitted+1, spec)
			submittedAt[int(submitted)+1] = s.now
		}
		start := s.now
		for last := false; !last; {
			number++
			s.run.ApplyStatement(collector.Statement{Number: number, Held: held})
			if p, due := s.run.DueCursor(); due {
				s.run.ConfirmCursor(p)
			}
			b, ok := s.run.Offer(s.now, number, spec.Groups())
			if !ok {
				s.tick()
				continue
			}
			held, last = []collector.HeldBatch{{Batch: b.ID}}, b.Last
		}
		idle += (s.now - start).Seconds()
		ratio := (s.now - submittedAt[step]).Seconds() / s.longest(step)
		sum, worst = sum+ratio, max(worst, ratio)
		for end := s.now + trainerTrainingTime; s.now < end; {
			s.tick()
		}
		busy += trainerTrainingTime.Seconds()
		if step%weightChangeSteps == 0 {
			s.changeWeights()
		}
	}
	return trainerResult{idleShare: idle / (idle + busy), meanStepRatio: sum / trainerSteps, worstStepRatio: worst}
}

// submit draws the lengths of the rollouts of a step and submits its groups.
func (s *trainerSimulation) submit(number uint64, spec collector.Spec) {
	prompts := make([]collector.Prompt, spec.Groups())
	for i := range prompts {
		prompts[i] = collector.Prompt{Text: "p", Limit: trainerMaxTokens}
		lengths := make([]float64, spec.Group)
		for j := range lengths {
			lengths[j] = min(trainerMaxTokens, max(1, math.Round(trainerMedianTokens*math.Exp(trainerTokensSigma*s.random.NormFloat64()))))
		}
		s.lengths[collector.Group{Submission: number, Index: i}] = lengths
	}
	s.run.AddSubmission(collector.Submission{Number: number}.WithPrompts(prompts...))
}

// longest returns the time in seconds of the longest rollout of a step at the usual time per token.
func (s *trainerSimulation) longest(step int) float64 {
	longest := 0.0
	for g, lengths := range s.lengths {
		if g.Submission == uint64(step) { //nolint:gosec // small numbers
			for _, l := range lengths {
				longest = max(longest, l*trainerTokenTime.Seconds())
			}
		}
	}
	return longest
}

// changeWeights begins a weight change. The waves of engines pause one after the other.
func (s *trainerSimulation) changeWeights() {
	s.version++
	s.pending = make(map[int]identifier.Version)
	for e := range trainerEngines {
		wave := e * s.policy.waves / trainerEngines
		s.pausedUntil[e] = s.now + time.Duration(wave+1)*weightChangePause
		s.pending[e] = s.version
	}
	s.run.SetVersions(s.version, s.version)
}

// changingWeights reports whether an engine is paused for a weight change.
func (s *trainerSimulation) changingWeights(e int) bool {
	wave := time.Duration(1)
	return s.now < s.pausedUntil[e] && s.now >= s.pausedUntil[e]-wave*weightChangePause
}

// tick advances the time by trainerTick, starts rollouts and hedges, and adds the tokens of all running rollouts.
func (s *trainerSimulation) tick() {
	s.now += trainerTick
	for {
		e, free := s.chooseEngine()
		if !free {
			break
		}
		t, ok := s.run.Next(s.now, 0)
		if !ok {
			break
		}
		s.start(t, e)
	}
	for {
		t, ok := s.run.NextHedge(s.now)
		if !ok {
			break
		}
		e, _ := s.chooseEngine()
		s.start(t, e)
	}
	order := s.runningOrder
	s.runningOrder = nil
	for _, id := range order {
		if r, ok := s.running[id]; ok {
			s.advance(id, r)
		}
		if _, ok := s.running[id]; ok {
			s.runningOrder = append(s.runningOrder, id)
		}
	}
}

// chooseEngine returns the engine for the next rollout and whether it has a free slot. With round-robin choice an engine
// accepts every rollout and queues those beyond its capacity.
func (s *trainerSimulation) chooseEngine() (int, bool) {
	if !s.policy.leastLoaded {
		return s.nextEngine, true
	}
	best := 0
	for e := range trainerEngines {
		if s.load[e]-s.capacity[e] < s.load[best]-s.capacity[best] {
			best = e
		}
	}
	return best, s.load[best] < s.capacity[best]
}

// start adds a rollout to an engine, as a straggler at random.
func (s *trainerSimulation) start(t collector.Task, e int) {
	s.nextEngine = (s.nextEngine + 1) % trainerEngines
	tokenDuration := time.Duration(float64(trainerTokenTime) * (0.95 + 0.1*s.random.Float64()))
	if s.random.Float64() < trainerStragglerShare {
		tokenDuration *= trainerStragglerFactor
	}
	r := &trainerRollout{
		engine: e, tokenDuration: tokenDuration, length: s.lengths[t.Rollout.Group][t.Rollout.Index], version: s.version,
		queued: s.load[e] >= s.capacity[e],
	}
	s.load[e]++
	s.running[t.Rollout] = r
	s.runningOrder = append(s.runningOrder, t.Rollout)
}

// advance adds the tokens of one tick to a rollout and finishes it at its length.
func (s *trainerSimulation) advance(id collector.AttemptID, r *trainerRollout) {
	if r.queued {
		if s.load[r.engine] > s.capacity[r.engine] && s.random.IntN(2) == 0 {
			return
		}
		r.queued = false
	}
	if s.changingWeights(r.engine) {
		return
	}
	r.done += float64(trainerTick) / float64(r.tokenDuration)
	if r.done < r.length {
		s.run.RecordProgress(id, identifier.Tokens(r.done), r.version, s.now)
		return
	}
	s.release(id)
	sample := collector.NewSample(id.Group, id.Index, []streamer.Piece{{Tokens: identifier.Tokens(r.length), Version: r.version}})
	s.run.Finish(id, &sample, s.now)
}

// release frees the slot of a rollout.
func (s *trainerSimulation) release(id collector.AttemptID) {
	if r, ok := s.running[id]; ok {
		s.load[r.engine]--
		delete(s.running, id)
	}
}
