package bencher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/demonstrator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/reporter"
	"github.com/mimosalb/mimosalb/internal/standin/memory"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

var _ = Register("metering", benchMetering)

// flushRequests is the number of requests that a node completes between two flushes at the design size: 23,000 requests
// per second at 660 nodes, with a flush every 5 s.
const flushRequests = 175

// stubAgent is an agent that keeps its usage records in memory.
type stubAgent struct{ records meter.RecordBuffer }

func (a *stubAgent) Usage(_ context.Context, _ string, q meter.Query) (meter.Reply, bool) {
	return a.records.Answer(q), true
}

// benchMetering measures the allocations and the processor time of metering per request, and its calls to the key-value
// service for three sizes.
func benchMetering(ctx context.Context) ([]Figure, error) {
	m := meter.NewMeter("entry", meter.Calendar{})
	now := time.Unix(1000, 0)
	f := meter.Figures{Requests: 1, Input: 10, Output: 10}
	receipt := meter.Receipt{Attempt: identifier.Attempt{Request: "r"}, Agent: "agent"}
	allocations := testing.AllocsPerRun(10000, func() { m.Count(now, "routing", f, receipt) })
	request, err := requestTime(ctx)
	if err != nil {
		return nil, err
	}
	counted := countTime(ctx)
	figures := []Figure{
		{Name: "metering/allocations", Unit: "1/request", Value: allocations, Target: AtMost(0)},
		{Name: "metering/processor", Unit: "ns/request", Value: counted, Baseline: request, Target: AtMostRatio(0.01)},
	}
	for _, size := range []struct{ nodes, teams int }{{20, 8}, {160, 40}, {660, 200}} {
		writes, reads := storeCalls(ctx, size.nodes, size.teams)
		name := fmt.Sprintf("metering/store-%d-nodes-%d-teams", size.nodes, size.teams)
		figures = append(figures,
			Figure{Name: name + "-writes", Unit: "1/s", Value: writes},
			Figure{Name: name + "-reads", Unit: "1/s", Value: reads})
	}
	return figures, nil
}

// countTime returns the processor time in ns that metering takes per request at entry and agent: the record, the count and
// the request's share of a flush and its confirmation.
func countTime(ctx context.Context) float64 {
	const rounds = 200
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	agent := &stubAgent{}
	m := meter.NewMeter("entry", meter.Calendar{})
	flusher := meter.NewFlusher(m, &memory.Store{}, codec.Usage{}, agent, clock)
	ids := make([]identifier.Request, flushRequests)
	start := processorTime()
	for range rounds {
		for i := range ids {
			ids[i] = identifier.NewRequest()
			r := meter.Record{Attempt: identifier.Attempt{Request: ids[i]}, First: "entry", Owner: "entry", Team: "routing"}
			agent.records.Add(r)
			m.Count(clock.Now(), "routing", meter.Figures{Requests: 1, Input: 10}, meter.Receipt{Attempt: r.Attempt, Agent: "agent"})
		}
		flusher.RunRound(ctx)
		clock.Advance(meter.DefaultFlushPeriod)
	}
	return float64(processorTime()-start) / (rounds * flushRequests)
}

// requestTime returns the processor time in ns of a request of 20 tokens in a deployment in this process, with caller,
// entry, agent and engine stand-in. Eight concurrent callers and the default periods keep the share of periodic work small.
func requestTime(ctx context.Context) (float64, error) {
	const callers, requests = 8, 80
	plan := demonstrator.DefaultPlan()
	plan.Usage, plan.Period = loader.Usage{}, loader.DefaultPeriod
	d, err := demonstrator.NewDeployment(plan, io.Discard)
	if err != nil {
		return 0, fmt.Errorf("start deployment: %w", err)
	}
	defer func() { _ = d.Close() }()
	session := &demonstrator.Session{Deployment: d, Client: demonstrator.NewClient(d), Keys: make(map[string]string)}
	if _, err := demonstrator.Steps()[0].Run(ctx, session); err != nil {
		return 0, fmt.Errorf("configure deployment: %w", err)
	}
	body := map[string]any{"model": "sortmind", "prompt": "quote for depot", "max_tokens": 20}
	failed := make([]error, callers)
	var calls sync.WaitGroup
	start := processorTime()
	for i := range callers {
		calls.Go(func() {
			for range requests {
				r, err := session.Client.SendAsCaller(ctx, http.MethodPost, "/v1/completions", session.Keys["driver"], body)
				if err != nil || r.Status != http.StatusOK {
					failed[i] = fmt.Errorf("request: status %d: %w", r.Status, err)
					return
				}
			}
		})
	}
	calls.Wait()
	return float64(processorTime()-start) / (callers * requests), errors.Join(failed...)
}

// heldDuties are the Terms of a process that holds every duty.
type heldDuties struct{}

func (heldDuties) Term(identifier.Duty) (leaser.Term, bool) {
	return leaser.Term{Fence: 1, ValidUntil: 1 << 62}, true
}

// acceptingSender is a Sender whose reports are all accepted.
type acceptingSender struct{}

func (acceptingSender) Send(context.Context, []byte, identifier.Fence, time.Duration) reporter.Outcome {
	return reporter.Accepted
}

// storeCalls returns the writes and reads per second at the key-value service for counts and reports. In each flush a node
// has counts of every fourth team.
func storeCalls(ctx context.Context, nodes, teams int) (writes, reads float64) {
	clock := &timer.Manual{}
	clock.Advance(time.Hour)
	store, agent := &memory.Store{}, &stubAgent{}
	meters, flushers := make([]*meter.Meter, nodes), make([]*meter.Flusher, nodes)
	for i := range meters {
		meters[i] = meter.NewMeter(identifier.Node("entry-"+strconv.Itoa(i)), meter.Calendar{})
		flushers[i] = meter.NewFlusher(meters[i], store, codec.Usage{}, agent, clock)
	}
	r := reporter.NewReporter(reporter.Settings{}, store, codec.Usage{}, acceptingSender{}, heldDuties{}, clock)
	const rounds = 16
	number := 0
	for range rounds {
		for i, f := range flushers {
			for t := i % 4; t < teams; t += 4 {
				number++
				a := identifier.Attempt{Request: identifier.Request(strconv.Itoa(number))}
				meters[i].Count(clock.Now(), identifier.Team("team-"+strconv.Itoa(t)), meter.Figures{Requests: 1}, meter.Receipt{Attempt: a, Agent: "agent"})
			}
			f.RunRound(ctx)
		}
		r.RunRound(ctx, 1)
		clock.Advance(meter.DefaultFlushPeriod)
	}
	readCalls, writeCalls := store.Calls()
	seconds := (rounds * meter.DefaultFlushPeriod).Seconds()
	return float64(writeCalls) / seconds, float64(readCalls) / seconds
}
