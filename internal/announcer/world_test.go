package announcer_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/announcer"
	"github.com/mimosalb/mimosalb/internal/estimator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
)

// The world: three leading entries before 24 targets in three regions, with the proportions of docs/requirements.md, part 6.
const (
	entries, targets, slots = 3, 24, 6
	tick                    = 5 * time.Millisecond
	eventTime               = 40 * time.Millisecond
	// promptTime is the time of one prompt token, growth the share by which each further text slows an engine's step.
	promptTime = 500 * time.Microsecond
	growth     = 0.04
	// cachedParts is the number of shared parts that an engine keeps.
	cachedParts = 6
	suspension  = 150 * time.Millisecond
	due         = 7500 * time.Millisecond
	runTime     = 40 * time.Second
)

// item is one rollout. Its hint may be far off its events.
type item struct {
	shape           estimator.Shape
	events          int
	arrived, placed time.Duration
	ended           time.Duration
	// work is what is left, as time at a target that runs nothing else; made counts the events so far.
	work   float64
	made   int
	target router.Target
	entry  *entry
	left   time.Duration
	start  time.Duration
	last   time.Duration
	cost   [2]estimator.Work
}

// engine is a target that runs up to its slots and refuses the rest.
type engine struct {
	running []*item
	parts   []string
	slow    float64
	served  float64
}

// entry is one leading entry with what the product gives it.
type entry struct {
	router    *router.Router
	registrar *registrar.Registrar
	estimator *estimator.Estimator
	announcer *announcer.Announcer
	waiting   []*item
	suspended map[identifier.Target]time.Duration
}

// world plays arrivals in stepped time. With oracle set, one chooser knows all targets and the whole work of each item.
type world struct {
	engines map[identifier.Target]*engine
	order   []identifier.Target
	entries []*entry
	oracle  bool
	silent  bool
	done    []*item
	refused int
	reread  int
	now     time.Duration
}

func newWorld(policy router.Policy) *world {
	w := &world{engines: make(map[identifier.Target]*engine)}
	for i := range targets {
		id := identifier.Target(fmt.Sprintf("t%02d", i))
		w.order, w.engines[id] = append(w.order, id), &engine{slow: 1}
	}
	for i := range entries {
		owner := recorder.Owner{Node: identifier.Node(fmt.Sprintf("e%d", i)), Incarnation: 1}
		e := &entry{
			router:    router.NewRouter(router.WithSeed(uint64(i)), router.WithPolicy(router.NewCombined().WithSpread(policy))),
			estimator: estimator.NewEstimator(),
			registrar: registrar.NewRegistrar(map[identifier.Zone]identifier.Region{"z0": "r0", "z1": "r1", "z2": "r2"}),
			announcer: announcer.NewAnnouncer(recorder.Registration{Owner: owner}), suspended: make(map[identifier.Target]time.Duration),
		}
		for j, id := range w.order {
			e.registrar.Put(registrar.Listing{ID: id, Service: "m", Zone: identifier.Zone(fmt.Sprintf("z%d", j%3)), Slots: slots})
		}
		view, _ := e.registrar.Watch()
		e.router.Adopt(view)
		w.entries = append(w.entries, e)
	}
	return w
}

// arrivals returns the items of each entry: a job every 4 s of groups of 16, whose prompts share all but 16 tokens and whose texts are of one
// length within a half. hint returns what the caller says of a length.
func arrivals(seed uint64, groups int, hint func(r *rand.Rand, events int) int) [][]*item {
	r := rand.New(rand.NewPCG(seed, seed))
	all := make([][]*item, entries)
	for e := range entries {
		for at := time.Duration(e) * 1300 * time.Millisecond; at < runTime-due; at += 4 * time.Second {
			for g := range groups {
				shared := []identifier.Tokens{260, 1000}[r.IntN(2)]
				length := 6 + r.IntN(13)
				for range 16 {
					n := max(1, int(math.Round(float64(length)*(0.75+r.Float64()/2))))
					all[e] = append(all[e], &item{arrived: at, events: n, shape: estimator.Shape{
						Model: "m", Prompt: shared + 16, Hint: identifier.Tokens(hint(r, n)),
						Parts: []estimator.Part{{ID: fmt.Sprintf("%d-%d-%d", e, at, g), Tokens: shared}, {ID: "own", Tokens: 16}},
					}})
				}
			}
		}
	}
	return all
}

// play runs the world on arrivals; change is called at each tick.
func (w *world) play(all [][]*item, change func(w *world)) {
	next := make([]int, entries)
	for w.now = 0; w.now < runTime; w.now += tick {
		if change != nil {
			change(w)
		}
		for e, items := range all {
			for ; next[e] < len(items) && items[next[e]].arrived <= w.now; next[e]++ {
				w.entries[e].waiting = append(w.entries[e].waiting, items[next[e]])
				items[next[e]].entry = w.entries[e]
			}
		}
		w.tell()
		for i := range entries {
			w.place(w.entries[(i+int(w.now/tick))%entries])
		}
		for _, id := range w.order {
			w.step(id, w.engines[id])
		}
	}
}

// tell exchanges notices every 250 ms, which arrive 25 ms later.
func (w *world) tell() {
	for i, e := range w.entries {
		if w.now%(100*time.Millisecond) == 0 && !w.silent {
			e.router.AdoptPeerLoads(e.announcer.PeerLoads(w.now))
		}
		if (w.now+time.Duration(i)*80*time.Millisecond)%(250*time.Millisecond) != 0 || w.silent {
			continue
		}
		e.router.AdoptSpeeds(e.registrar.Speeds(w.now))
		e.announcer.Update(true, e.router.OwnLoads(), w.now)
		for _, other := range w.entries {
			if n, _ := e.announcer.Observed(0); other != e && other.announcer.Apply(n, w.now) {
				other.router.AdoptPeerLoads(other.announcer.PeerLoads(w.now))
			}
		}
	}
}

// place starts the waiting items of an entry as long as a target is found.
func (w *world) place(e *entry) {
	for len(e.waiting) > 0 {
		i := e.waiting[0]
		f := estimator.Features{Service: "m", Route: "r", Path: "/r/i/x", Shape: i.shape}
		i.cost[0] = e.estimator.Predict(f)
		f.Held = true
		i.cost[1] = e.estimator.Predict(f)
		need := router.Requirements{
			Service: "m", Zone: "z0", Region: "r0", Spread: true, Work: i.cost[0].From(0),
			Shared: router.SharedPart{Key: i.shape.SharedKey(), Saved: max(0, i.cost[0].Start-i.cost[1].Start)},
		}
		for id, until := range e.suspended {
			if w.now < until {
				need.Avoid = append(need.Avoid, id)
			}
		}
		if w.oracle {
			need.Avoid = w.allButBest(i)
		}
		t, ok := e.router.Choose(need)
		if !ok {
			return
		}
		n := w.engines[t.ID]
		if len(n.running) >= slots {
			w.refused++
			e.router.Reduce(t.ID, t.Work)
			e.router.Release(t.ID)
			e.suspended[t.ID] = w.now + suspension
			continue
		}
		e.waiting = e.waiting[1:]
		w.begin(i, t, n)
	}
}

// allButBest returns all targets but the one with a free slot at which the item is really done first.
func (w *world) allButBest(i *item) []identifier.Target {
	best, least := identifier.Target(""), math.Inf(1)
	for _, id := range w.order {
		n := w.engines[id]
		done := (promptWork(i, n) + float64(i.events)*float64(eventTime)) * n.slow * (1 + growth*float64(len(n.running)))
		if len(n.running) < slots && done < least {
			best, least = id, done
		}
	}
	return slices.DeleteFunc(slices.Clone(w.order), func(id identifier.Target) bool { return id == best })
}

func promptWork(i *item, n *engine) float64 {
	if slices.Contains(n.parts, i.shape.Parts[0].ID) {
		return float64(16 * promptTime)
	}
	return float64(time.Duration(i.shape.Prompt) * promptTime)
}

func (w *world) begin(i *item, t router.Target, n *engine) {
	i.placed, i.target, i.left = w.now, t, t.Work
	i.work = promptWork(i, n) + float64(i.events)*float64(eventTime)
	part := i.shape.Parts[0].ID
	if !slices.Contains(n.parts, part) {
		w.reread++
		n.parts = append(n.parts, part)
		n.parts = n.parts[max(0, len(n.parts)-cachedParts):]
	}
	n.running = append(n.running, i)
}

// step runs an engine for one tick: its texts advance side by side.
func (w *world) step(id identifier.Target, n *engine) {
	rate := float64(tick) / n.slow / (1 + growth*float64(max(0, len(n.running)-1)))
	n.served += float64(len(n.running))
	n.running = slices.DeleteFunc(n.running, func(i *item) bool {
		i.work -= rate
		for i.made < i.events && i.work <= float64(i.events-i.made-1)*float64(eventTime) {
			w.event(i, id)
		}
		if i.made < i.events {
			return false
		}
		w.end(i, id)
		return true
	})
}

func (w *world) event(i *item, id identifier.Target) {
	i.made++
	if i.made == 1 {
		i.start = w.now - i.placed + tick
	} else {
		i.entry.registrar.RecordInterval(id, w.now-i.last, w.now)
	}
	i.last = w.now
	if left := i.predicted().Remaining(i.made, i.made); i.target.Work > 0 {
		i.entry.router.Reduce(id, i.left-left)
		i.left = left
	}
}

func (i *item) predicted() estimator.Work {
	if i.target.Held {
		return i.cost[1]
	}
	return i.cost[0]
}

func (w *world) end(i *item, id identifier.Target) {
	i.ended = w.now
	e, speed := i.entry, i.entry.router.Speed(id)
	e.router.Reduce(id, i.left)
	e.router.Release(id)
	actual := estimator.Work{Start: time.Duration(float64(i.start) * speed), Events: float64(i.events)}
	if i.events > 1 {
		actual.Interval = time.Duration(float64(i.last-i.placed-i.start) / float64(i.events-1) * speed)
	}
	e.estimator.Observe(estimator.Features{Service: "m", Route: "r", Path: "/r/i/x", Shape: i.shape, Held: i.target.Held}, actual)
	w.done = append(w.done, i)
}

// summary describes how the arrivals went.
func (w *world) summary(all [][]*item) string {
	var waits, times []time.Duration
	total, inTime := 0, 0
	for _, items := range all {
		total += len(items)
		for _, i := range items {
			wait := runTime - i.arrived
			if i.ended > 0 {
				wait = i.placed - i.arrived
				times = append(times, i.ended-i.arrived)
				if i.ended-i.arrived <= due {
					inTime++
				}
			}
			waits = append(waits, wait)
		}
	}
	busiest, sum := 0.0, 0.0
	for _, n := range w.engines {
		busiest, sum = max(busiest, n.served), sum+n.served
	}
	parts := float64(w.reread) / float64(max(len(w.done), 1))
	return fmt.Sprintf("waiting p50 %v p99 %v; until done p50 %v p99 %v; busiest/mean %.2f, %.2f of the slots; refused %d of %d; "+
		"read again %.2f; in time %d of %d",
		quantile(waits, 0.5), quantile(waits, 0.99), quantile(times, 0.5), quantile(times, 0.99), busiest/(sum/targets),
		sum/targets/slots/float64((runTime-due)/tick),
		w.refused, w.refused+total, parts, inTime, total)
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.SortFunc(all, cmp.Compare[time.Duration])
	return all[int(q*float64(len(all)-1))]
}
