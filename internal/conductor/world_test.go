package conductor_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/standin/keyvalue"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// engine answers items with their events and scoring calls with a stamp, with faults by chance.
type engine struct {
	mutex  sync.Mutex
	random *rand.Rand
	// faults is the share of calls that go wrong.
	faults float64
	// takes is the time that a call takes.
	takes   time.Duration
	version atomic.Uint64
	calls   atomic.Int64
	// late lists items that reached the engine after their job was said to have ended.
	ended sync.Map
	late  atomic.Int64
}

func newEngine(seed uint64, faults float64) *engine {
	e := &engine{random: rand.New(rand.NewPCG(seed, seed)), faults: faults}
	e.version.Store(5)
	return e
}

func (e *engine) draw() float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.random.Float64()
}

// length returns the number of events of an item.
func length(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return 1 + int(h.Sum32()%6)
}

func event(id string, n int) string { return fmt.Sprintf("%s/%d", id, n) }

// output returns the whole text of an item.
func output(id string) string {
	var lines []string
	for n := 1; n <= length(id); n++ {
		lines = append(lines, event(id, n))
	}
	return strings.Join(lines, "\n")
}

var errBroken = errors.New("the connection broke")

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errBroken }

func answer(status int, body io.Reader) forwarder.Answer {
	return forwarder.Answer{Status: status, Stamp: "stamp", Length: -1, Body: io.NopCloser(body), Header: map[string][]string{}}
}

// Call answers one call.
func (e *engine) Call(ctx context.Context, c forwarder.Call) (forwarder.Answer, forwarder.Fault) {
	e.calls.Add(1)
	if e.takes > 0 {
		work, cancel := context.WithTimeout(ctx, e.takes)
		defer cancel()
		<-work.Done()
	}
	id := string(c.ID)
	if job, _, ok := strings.Cut(id, ":"); ok {
		if _, over := e.ended.Load(job); over {
			e.late.Add(1)
		}
	}
	if strings.HasPrefix(id, "impossible") {
		return answer(422, strings.NewReader("")), forwarder.NoFault
	}
	switch p := e.draw() / max(e.faults, 1e-9); {
	case p < 0.2:
		a := answer(503, strings.NewReader(""))
		a.NotRun = true
		return a, forwarder.NoFault
	case p < 0.4:
		return forwarder.Answer{}, forwarder.Broken
	case p < 0.5:
		return forwarder.Answer{}, forwarder.Unsent
	}
	if strings.HasPrefix(id, "score-") {
		a := answer(200, strings.NewReader("ok"))
		a.Stamp = "stamp-of-" + id
		return a, forwarder.NoFault
	}
	return e.text(c), forwarder.NoFault
}

// text answers an item from the event that it asks for.
func (e *engine) text(c forwarder.Call) forwarder.Answer {
	var body bytes.Buffer
	first := 1
	if c.Resume {
		first = c.ResumeAfter + 1
	}
	for n := first; n <= length(string(c.ID)); n++ {
		fmt.Fprintf(&body, "%d|%s\n", n, event(string(c.ID), n))
	}
	var r io.Reader = &body
	if e.draw()/max(e.faults, 1e-9) < 0.5 {
		r = io.MultiReader(io.LimitReader(&body, int64(body.Len()/2)), brokenReader{})
	}
	a := answer(200, r)
	a.Version = identifier.Version(e.version.Load())
	return a
}

// Open reads lines of the form NUMBER|DATA as events.
func (e *engine) Open(body io.Reader) forwarder.Events { return &lines{body: body} }

type lines struct {
	body io.Reader
}

func (l *lines) Next() (forwarder.Event, error) {
	var raw []byte
	one := make([]byte, 1)
	for {
		n, err := l.body.Read(one)
		if n == 0 && err != nil {
			if errors.Is(err, io.EOF) && len(raw) > 0 {
				return forwarder.Event{}, errBroken
			}
			return forwarder.Event{}, err
		}
		if one[0] == '\n' {
			break
		}
		raw = append(raw, one[0])
	}
	var e forwarder.Event
	number, data, _ := strings.Cut(string(raw), "|")
	if _, err := fmt.Sscan(number, &e.Number); err != nil {
		return e, err
	}
	e.Data = []byte(data)
	return e, nil
}

// link is a process's way to the store and to the targets; a cut one leads nowhere.
type link struct {
	*keyvalue.Service
	*engine
	cut atomic.Bool
}

func (l *link) Get(ctx context.Context, key string) (storer.Entry, storer.Outcome) {
	if l.cut.Load() {
		return storer.Entry{}, storer.Unavailable
	}
	return l.Service.Get(ctx, key)
}

func (l *link) Snapshot(ctx context.Context, prefix string) ([]storer.Entry, int64, storer.Outcome) {
	if l.cut.Load() {
		return nil, 0, storer.Unavailable
	}
	return l.Service.Snapshot(ctx, prefix)
}

func (l *link) List(ctx context.Context, prefix string) ([]storer.Entry, storer.Outcome) {
	entries, _, out := l.Snapshot(ctx, prefix)
	return entries, out
}

func (l *link) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]storer.Change, int64, storer.Outcome) {
	changes, revision, out := l.Service.Changes(ctx, prefix, after, wait)
	if l.cut.Load() {
		return nil, 0, storer.Unavailable
	}
	return changes, revision, out
}

func (l *link) Commit(ctx context.Context, t storer.Transaction) storer.Outcome {
	if l.cut.Load() {
		return storer.Unavailable
	}
	return l.Service.Commit(ctx, t)
}

func (l *link) Call(ctx context.Context, c forwarder.Call) (forwarder.Answer, forwarder.Fault) {
	if l.cut.Load() {
		return forwarder.Answer{}, forwarder.Unsent
	}
	return l.engine.Call(ctx, c)
}

// process is one conductor with its ways.
type process struct {
	*conductor.Conductor
	link *link
	me   recorder.Owner
	node identifier.Node
}

// world is a store, an engine and the processes before them.
type world struct {
	t         *testing.T
	clock     timer.Service
	kv        *keyvalue.Service
	engine    *engine
	processes []*process
	// deaf processes get no notice.
	deaf atomic.Bool
}

func newWorld(t *testing.T, seed uint64, faults float64) *world {
	clock := timer.NewSystem()
	return &world{t: t, clock: clock, kv: keyvalue.NewService(clock), engine: newEngine(seed, faults)}
}

// peers reaches the other conductors of a world directly.
type peers struct {
	world *world
}

func (p peers) Results(ctx context.Context, address string, id identifier.Job, after int, wait time.Duration) ([]batcher.Result, bool) {
	for _, other := range p.world.processes {
		if string(other.node) == address && !other.link.cut.Load() {
			return other.LocalResults(ctx, id, after, wait)
		}
	}
	return nil, false
}

func (p peers) Submit(ctx context.Context, address string, s batcher.Spec) (conductor.Acceptance, bool) {
	for _, other := range p.world.processes {
		if string(other.node) == address && !other.link.cut.Load() {
			return other.AcceptForwarded(ctx, s), true
		}
	}
	return 0, false
}

func (p peers) Notify(ctx context.Context, address string, id identifier.Job) bool {
	for _, other := range p.world.processes {
		if string(other.node) == address && !other.link.cut.Load() && !p.world.deaf.Load() {
			other.Refresh(ctx, id)
			return true
		}
	}
	return false
}

// plan has one route for jobs and one for scoring calls.
func plan() navigator.Plan {
	shares := []navigator.Share{{Service: "s", Weight: 1}}
	return navigator.NewPlan(1).WithRoutes(
		navigator.Route{Name: "jobs", Host: "h", Prefix: "/jobs/", Kind: navigator.Rollout, Shares: shares, MaxAttempts: 3, QueueTTL: time.Minute},
		navigator.Route{Name: "score", Host: "h", Prefix: "/score/", Kind: navigator.Repeatable, Shares: shares, MaxAttempts: 4, Public: true},
	).WithTeams(navigator.Team{Name: "team", Keys: []string{"key"}})
}

// start adds a process.
func (w *world) start(node identifier.Node) *process { return w.restart(node, 1) }

// restart adds a process that is the given start of its node.
func (w *world) restart(node identifier.Node, incarnation identifier.Incarnation) *process {
	l := &link{Service: w.kv, engine: w.engine}
	nav, reg, route := &navigator.Navigator{}, registrar.NewRegistrar(nil), router.NewRouter(router.WithPolicy(router.NewCombined()))
	nav.Adopt(plan())
	for i := range 6 {
		reg.Put(registrar.Listing{
			ID: identifier.Target(fmt.Sprintf("t%d", i)), Service: "s", Zone: "z", Slots: 32,
			Versions: map[identifier.Model]identifier.Version{"m": 5},
		})
	}
	view, _ := reg.Watch()
	route.Adopt(view)
	store := storer.NewStorer(l, w.clock, storer.WithMaxPause(50*time.Millisecond), storer.WithCallTimeout(500*time.Millisecond))
	fwd := forwarder.NewForwarder(forwarder.Parts{Navigator: nav, Registrar: reg, Router: route, Caller: l, Opener: w.engine, Clock: w.clock, Zone: "z"})
	me := recorder.Owner{Node: node, Incarnation: incarnation}
	p := &process{link: l, me: me, node: node, Conductor: conductor.NewConductor(conductor.Dependencies{
		Self: me, Recorder: recorder.NewRecorder(store.WithPurpose(storer.PurposeRun), codec.Jobs{}), Navigator: nav, Registrar: reg, Router: route,
		Forwarder: fwd, Caller: l, Opener: w.engine, Peers: peers{world: w}, Clock: w.clock, Zone: "z", Retention: 2 * time.Minute,
	})}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		storer.NewFollower(l, store.WithPurpose(storer.PurposeConfig), recorder.NodePrefix, func() time.Duration { return 0 }, 300*time.Millisecond).
			Follow(ctx, conductor.NewMembershipView(p.Conductor, codec.Jobs{}))
	})
	p.Start()
	w.processes = append(w.processes, p)
	w.register(p)
	w.t.Cleanup(func() {
		p.Close(context.Background())
		cancel()
		running.Wait()
	})
	return p
}

func (w *world) register(p *process) {
	data, err := codec.Jobs{}.EncodePresence(recorder.Presence{Owner: p.me, Address: string(p.node)})
	if err != nil {
		w.t.Fatal(err)
	}
	w.kv.Write(recorder.NodeKey(p.node), data)
}

// cut takes a process off the store and the targets, as its death or a cut would, and lets its lease lapse.
func (w *world) cut(p *process) {
	p.link.cut.Store(true)
	w.kv.Remove(recorder.NodeKey(p.node))
}

// heal ends a cut.
func (w *world) heal(p *process) {
	p.link.cut.Store(false)
	w.register(p)
}

// job returns a job of n items; every hundredth can't be done.
func job(id string, n int) batcher.Spec {
	s := batcher.Spec{ID: identifier.Job(id), Team: "team", Host: "h", Path: "/jobs/" + id, Model: "m", Least: 5, Desired: n / 4, Submitted: time.Now()}
	for i := range n {
		name := fmt.Sprintf("%s:%d", id, i)
		if i%100 == 99 {
			name = "impossible-" + name
		}
		s.Items = append(s.Items, batcher.Item{
			ID: identifier.Item(name), Group: identifier.Group(fmt.Sprint(i / 4)), Path: "/jobs/item", Body: []byte(name),
			Score: batcher.ScoreCall{ID: identifier.Request("score-" + name), Host: "h", Path: "/score/x"},
		})
	}
	return s
}
