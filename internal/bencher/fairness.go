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
	_ = Register("fairness/slowdown", benchSlowdown)
	_ = Register("fairness/goodput", benchGoodput)
)

// Parameters of the simulated entry. The lengths of answers are exponentially distributed.
const (
	fairnessWorkers    = 64
	fairnessMeanTokens = 100
	fairnessTeams      = 8
	fairnessDuration   = 10 * time.Minute
	fairnessDeadline   = 10 * time.Second
	// fairnessCapacity is the number of requests that the queue of the scheduler holds.
	fairnessCapacity = 1 << 20
)

// queuedRequest is a request of the fairness simulation.
type queuedRequest struct {
	team    int
	tokens  identifier.Tokens
	arrived time.Duration
}

// duration returns how long a worker is busy with the request.
func (q queuedRequest) duration() time.Duration { return time.Duration(q.tokens) * tokenTime }

// discipline is the queueing discipline between arrivals and workers. offer reports whether the request was accepted.
type discipline interface {
	offer(q queuedRequest, now time.Duration) bool
	next() (queuedRequest, bool)
	complete(q queuedRequest, now time.Duration)
}

// fifoQueue is the baseline: one unbounded queue in order of arrival.
type fifoQueue struct {
	queue container.Queue[queuedRequest]
}

func (f *fifoQueue) offer(q queuedRequest, _ time.Duration) bool {
	f.queue.Push(q)
	return true
}
func (f *fifoQueue) next() (queuedRequest, bool)           { return f.queue.Pop() }
func (f *fifoQueue) complete(queuedRequest, time.Duration) {}

// fairQueue is the scheduler of the entry. The cost of a request is the mean answer length until the request completes,
// because the entry does not know the length in advance. With a deadline it refuses requests that would be late.
type fairQueue struct {
	queue    scheduler.Scheduler[queuedRequest]
	deadline time.Duration
}

// item returns the scheduler's item for a request.
func (f *fairQueue) item(q queuedRequest) scheduler.Item[queuedRequest] {
	item := scheduler.Item[queuedRequest]{Team: identifier.Team(fmt.Sprint(q.team)), Cost: fairnessMeanTokens, Work: q}
	if f.deadline > 0 {
		item.Deadline = q.arrived + f.deadline
	}
	return item
}

func (f *fairQueue) offer(q queuedRequest, now time.Duration) bool {
	return !f.queue.Offer(f.item(q), now).Refused
}

func (f *fairQueue) next() (queuedRequest, bool) {
	if f.queue.Len() == 0 {
		return queuedRequest{}, false
	}
	return f.queue.Next(context.Background())
}

func (f *fairQueue) complete(q queuedRequest, now time.Duration) {
	f.queue.Complete(f.item(q), q.tokens, q.duration(), now)
}

// fairnessEvent is the completion of a request, or an arrival for team if completed is nil.
type fairnessEvent struct {
	at        time.Duration
	team      int
	completed *queuedRequest
}

// fairnessEventHeap is a heap of events, earliest first.
type fairnessEventHeap []fairnessEvent

func (q fairnessEventHeap) Len() int           { return len(q) }
func (q fairnessEventHeap) Less(i, j int) bool { return q[i].at < q[j].at }
func (q fairnessEventHeap) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push appends x, which must be a fairnessEvent.
func (q *fairnessEventHeap) Push(x any) {
	e, ok := x.(fairnessEvent)
	if !ok {
		panic("invariant event-queue: only events are queued")
	}
	*q = append(*q, e)
}

// Pop removes and returns the last event.
func (q *fairnessEventHeap) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// fairnessResult is the result of one simulation.
type fairnessResult struct {
	// slowdown is, for each team, the total time of its requests with queueing divided by their time without.
	slowdown [fairnessTeams]float64
	// goodput is the number of tokens per second of the requests that completed within the deadline.
	goodput float64
}

// simulateQueue offers each team's load, as a fraction of the workers' capacity, to a discipline. If dropLate is set, a
// request that a worker takes too late to meet the deadline at the mean answer length is dropped.
func simulateQueue(d discipline, loads [fairnessTeams]float64, dropLate bool) fairnessResult {
	random := rand.New(rand.NewPCG(3, 3)) //nolint:gosec // a fixed seed makes the run repeatable
	var events fairnessEventHeap
	gap := func(team int) time.Duration {
		rate := loads[team] * fairnessWorkers / (fairnessMeanTokens * tokenTime.Seconds())
		return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	}
	for team, load := range loads {
		if load > 0 {
			heap.Push(&events, fairnessEvent{at: gap(team), team: team})
		}
	}
	freeWorkers := fairnessWorkers
	var totalTime, serviceTime [fairnessTeams]time.Duration
	var goodTokens identifier.Tokens
	for len(events) > 0 {
		e, _ := heap.Pop(&events).(fairnessEvent)
		if e.completed != nil {
			freeWorkers++
			d.complete(*e.completed, e.at)
			totalTime[e.completed.team] += e.at - e.completed.arrived
			serviceTime[e.completed.team] += e.completed.duration()
			if e.at-e.completed.arrived <= fairnessDeadline {
				goodTokens += e.completed.tokens
			}
		} else if e.at < fairnessDuration {
			d.offer(queuedRequest{team: e.team, tokens: 1 + identifier.Tokens(random.ExpFloat64()*fairnessMeanTokens), arrived: e.at}, e.at)
			heap.Push(&events, fairnessEvent{at: e.at + gap(e.team), team: e.team})
		}
		for freeWorkers > 0 && e.at < fairnessDuration {
			q, ok := d.next()
			if !ok {
				break
			}
			if dropLate && e.at+fairnessMeanTokens*tokenTime > q.arrived+fairnessDeadline {
				continue
			}
			freeWorkers--
			heap.Push(&events, fairnessEvent{at: e.at + q.duration(), completed: &q})
		}
	}
	var r fairnessResult
	for team := range loads {
		if serviceTime[team] > 0 {
			r.slowdown[team] = float64(totalTime[team]) / float64(serviceTime[team])
		}
	}
	r.goodput = float64(goodTokens) / fairnessDuration.Seconds()
	return r
}

// benchSlowdown measures the highest slowdown among seven teams that stay within their shares while the eighth offers ten
// times its share.
func benchSlowdown(context.Context) ([]Figure, error) {
	var loads [fairnessTeams]float64
	for i := range loads {
		loads[i] = 0.5 / fairnessTeams
	}
	loads[0] = 10.0 / fairnessTeams
	worst := func(r fairnessResult) float64 {
		highest := 0.0
		for _, s := range r.slowdown[1:] {
			highest = max(highest, s)
		}
		return highest
	}
	fair := worst(simulateQueue(&fairQueue{queue: scheduler.Scheduler[queuedRequest]{Capacity: fairnessCapacity}}, loads, false))
	fifo := worst(simulateQueue(&fifoQueue{}, loads, false))
	return []Figure{
		{Name: "fairness/worst-slowdown", Unit: "×alone", Value: fair, Baseline: fifo, Target: AtMost(1.5)},
	}, nil
}

// benchGoodput compares the goodput at twice the capacity with the highest goodput at loads from 0.6 to 1.2 of it.
func benchGoodput(context.Context) ([]Figure, error) {
	goodputAt := func(load float64, d discipline, dropLate bool) float64 {
		var loads [fairnessTeams]float64
		for i := range loads {
			loads[i] = load / fairnessTeams
		}
		return simulateQueue(d, loads, dropLate).goodput
	}
	peak := 0.0
	for _, load := range []float64{0.6, 0.8, 0.9, 1, 1.2} {
		peak = max(peak, goodputAt(load, &fairQueue{deadline: fairnessDeadline}, true))
	}
	overload := goodputAt(2, &fairQueue{deadline: fairnessDeadline}, true)
	return []Figure{
		{Name: "fairness/goodput-2x", Unit: "tokens/s", Value: overload, Baseline: peak, Target: AtLeastRatio(0.95)},
		{Name: "fairness/goodput-2x-first-come", Unit: "tokens/s", Value: goodputAt(2, &fifoQueue{}, false), Baseline: peak},
	}, nil
}
