package bencher

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/scheduler"
)

var (
	_ = Register("fairness/slowdown", slowdownFigures)
	_ = Register("fairness/goodput", goodputFigures)
)

// Parameters of the simulated entry: its workers, and answers of exponentially distributed length.
const (
	queueWorkers  = 64
	meanTokens    = 100
	queueTeams    = 8
	queueSpan     = 10 * time.Minute
	queueDeadline = 10 * time.Second
)

// queueJob is a request of the simulation.
type queueJob struct {
	team    int
	tokens  identifier.Tokens
	arrived time.Duration
}

// took returns how long the job runs.
func (j queueJob) took() time.Duration { return time.Duration(j.tokens) * tokenTime }

// discipline is a queue between arrivals and workers.
type discipline interface {
	offer(j queueJob, now time.Duration) bool
	next() (queueJob, bool)
	done(j queueJob, now time.Duration)
}

// firstCome is the baseline: one queue in order of arrival that refuses nothing.
type firstCome struct{ queue container.Queue[queueJob] }

func (f *firstCome) offer(j queueJob, _ time.Duration) bool {
	f.queue.Push(j)
	return true
}
func (f *firstCome) next() (queueJob, bool)       { return f.queue.Pop() }
func (f *firstCome) done(queueJob, time.Duration) {}

// fair is the scheduler of the entry. It knows the mean length of an answer, not that of the one at hand, until it ends.
// With a deadline it refuses work that would be late.
type fair struct {
	queue    scheduler.Scheduler[queueJob]
	deadline time.Duration
}

func (f *fair) item(j queueJob) scheduler.Item[queueJob] {
	item := scheduler.Item[queueJob]{Team: identifier.Team(fmt.Sprint(j.team)), Cost: meanTokens, Work: j}
	if f.deadline > 0 {
		item.Deadline = j.arrived + f.deadline
	}
	return item
}

func (f *fair) offer(j queueJob, now time.Duration) bool {
	return !f.queue.Offer(f.item(j), now).Refused
}

func (f *fair) next() (queueJob, bool) {
	if f.queue.Len() == 0 {
		return queueJob{}, false
	}
	return f.queue.Next(context.Background())
}

func (f *fair) done(j queueJob, now time.Duration) {
	f.queue.Complete(f.item(j), j.tokens, j.took(), now)
}

// queueEvent is an arrival or, with a job, the end of one.
type queueEvent struct {
	at   time.Duration
	team int
	job  *queueJob
}

// queueEvents is a heap of events, earliest first.
type queueEvents []queueEvent

func (q queueEvents) Len() int           { return len(q) }
func (q queueEvents) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queueEvents) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push adds x, which is a queueEvent, at the end.
func (q *queueEvents) Push(x any) {
	e, ok := x.(queueEvent)
	if !ok {
		panic("invariant event-queue: only events are queued")
	}
	*q = append(*q, e)
}

// Pop removes the last event.
func (q *queueEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// queueResult is the outcome of one simulation.
type queueResult struct {
	// slowdown is, for each team, the time of its requests divided by the time that they take alone.
	slowdown [queueTeams]float64
	// good is the number of tokens a second of requests that ended within the deadline.
	good float64
}

// runQueue offers each team's load, in shares of the workers' capacity, to a discipline. A job that starts too late to
// meet the deadline is given up when late is set.
func runQueue(d discipline, loads [queueTeams]float64, late bool) queueResult {
	random := rand.New(rand.NewPCG(3, 3)) //nolint:gosec // a fixed seed makes the run repeatable
	var events queueEvents
	gap := func(team int) time.Duration {
		rate := loads[team] * queueWorkers / (meanTokens * tokenTime.Seconds())
		return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	}
	for team, load := range loads {
		if load > 0 {
			heap.Push(&events, queueEvent{at: gap(team), team: team})
		}
	}
	free := queueWorkers
	var spent, alone [queueTeams]time.Duration
	var good identifier.Tokens
	for len(events) > 0 {
		e, _ := heap.Pop(&events).(queueEvent)
		if e.job != nil {
			free++
			d.done(*e.job, e.at)
			spent[e.job.team] += e.at - e.job.arrived
			alone[e.job.team] += e.job.took()
			if e.at-e.job.arrived <= queueDeadline {
				good += e.job.tokens
			}
		} else if e.at < queueSpan {
			d.offer(queueJob{team: e.team, tokens: 1 + identifier.Tokens(random.ExpFloat64()*meanTokens), arrived: e.at}, e.at)
			heap.Push(&events, queueEvent{at: e.at + gap(e.team), team: e.team})
		}
		for free > 0 && e.at < queueSpan {
			j, ok := d.next()
			if !ok {
				break
			}
			if late && e.at+meanTokens*tokenTime > j.arrived+queueDeadline {
				continue
			}
			free--
			heap.Push(&events, queueEvent{at: e.at + j.took(), job: &j})
		}
	}
	var r queueResult
	for team := range loads {
		if alone[team] > 0 {
			r.slowdown[team] = float64(spent[team]) / float64(alone[team])
		}
	}
	r.good = float64(good) / queueSpan.Seconds()
	return r
}

// slowdownFigures measures the worst-served of seven teams within their share while the eighth offers ten times its
// share.
func slowdownFigures(context.Context) ([]Figure, error) {
	var loads [queueTeams]float64
	for i := range loads {
		loads[i] = 0.5 / queueTeams
	}
	loads[0] = 10.0 / queueTeams
	worst := func(r queueResult) float64 {
		w := 0.0
		for _, s := range r.slowdown[1:] {
			w = max(w, s)
		}
		return w
	}
	shared := worst(runQueue(&fair{queue: scheduler.Scheduler[queueJob]{Capacity: 1 << 20}}, loads, false))
	first := worst(runQueue(&firstCome{}, loads, false))
	return []Figure{
		{Name: "fairness/worst-slowdown", Unit: "×alone", Value: shared, Baseline: first, Target: AtMost(1.5)},
	}, nil
}

// goodputFigures measures the useful tokens at twice the capacity against the peak over rising loads.
func goodputFigures(context.Context) ([]Figure, error) {
	at := func(load float64, d discipline, late bool) float64 {
		var loads [queueTeams]float64
		for i := range loads {
			loads[i] = load / queueTeams
		}
		return runQueue(d, loads, late).good
	}
	peak := 0.0
	for _, load := range []float64{0.6, 0.8, 0.9, 1, 1.2} {
		peak = max(peak, at(load, &fair{deadline: queueDeadline}, true))
	}
	overload := at(2, &fair{deadline: queueDeadline}, true)
	return []Figure{
		{Name: "fairness/goodput-2x", Unit: "tokens/s", Value: overload, Baseline: peak, Target: AtLeastTimes(0.95)},
		{Name: "fairness/goodput-2x-first-come", Unit: "tokens/s", Value: at(2, &firstCome{}, false), Baseline: peak},
	}, nil
}
