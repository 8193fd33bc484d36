package bencher

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/demonstrator"
)

var _ = Register("stream", benchStream)

const (
	streamTokens = 100
	// streamAnswers is the number of answers per path. The paths take turns, so that other load on the machine affects both.
	streamAnswers = 60
	// throughputWorkers is the number of concurrent answers, and throughputAnswers the number of all answers, when the
	// throughput is measured. The targets run that many answers at a time.
	throughputWorkers = 32
	throughputAnswers = 320
)

// streamPaths is a deployment with two paths to its one engine, via entry and agent and directly. Each path makes the
// requests that use it.
type streamPaths struct {
	deployment *demonstrator.Deployment
	http       *http.Client
	viaEntry   func() (*http.Request, error)
	direct     func() (*http.Request, error)
}

// benchStream compares a streamed answer of 100 tokens via entry and agent with a direct call to the same stand-in.
func benchStream(ctx context.Context) ([]Figure, error) {
	p, err := newStreamPaths(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { _ = p.deployment.Close() }()
	var viaEntry, direct []time.Duration
	for range streamAnswers {
		if err := p.measure(p.viaEntry, &viaEntry); err != nil {
			return nil, err
		}
		if err := p.measure(p.direct, &direct); err != nil {
			return nil, err
		}
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	viaEntryRate, err := p.throughput(p.viaEntry)
	if err != nil {
		return nil, err
	}
	runtime.ReadMemStats(&after)
	viaEntryAllocs := float64(after.Mallocs-before.Mallocs) / throughputAnswers
	runtime.ReadMemStats(&before)
	directRate, err := p.throughput(p.direct)
	if err != nil {
		return nil, err
	}
	runtime.ReadMemStats(&after)
	directAllocs := float64(after.Mallocs-before.Mallocs) / throughputAnswers
	return []Figure{
		{Name: "stream/p50-100-tokens", Unit: "ms", Value: medianMilliseconds(viaEntry), Baseline: medianMilliseconds(direct), Target: AtMostRatio(1.15)},
		{Name: "stream/throughput", Unit: "answers/s", Value: viaEntryRate, Baseline: directRate},
		{Name: "stream/allocations", Unit: "allocs/answer", Value: viaEntryAllocs, Baseline: directAllocs},
	}, nil
}

// newStreamPaths starts a deployment without the engines sortmind-2 and sortmind-3 and configures it.
func newStreamPaths(ctx context.Context) (*streamPaths, error) {
	plan := demonstrator.DefaultPlan()
	plan.BackEnds = slices.DeleteFunc(plan.BackEnds, func(b demonstrator.BackEnd) bool { return b.Name == "sortmind-2" || b.Name == "sortmind-3" })
	d, err := demonstrator.NewDeployment(plan, io.Discard)
	if err != nil {
		return nil, fmt.Errorf("start deployment: %w", err)
	}
	s := &demonstrator.Session{Deployment: d, Client: demonstrator.NewClient(d), Keys: map[string]string{}}
	if _, err := demonstrator.Steps()[0].Run(ctx, s); err != nil {
		_ = d.Close()
		return nil, fmt.Errorf("configure deployment: %w", err)
	}
	p := &streamPaths{deployment: d, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: throughputWorkers}}}
	var number atomic.Int64
	p.viaEntry = func() (*http.Request, error) {
		return post(ctx, "http://"+d.Entries[0].Callers+"/v1/completions", s.Keys["driver"], map[string]any{
			"model": "sortmind", "prompt": "bench", "max_tokens": streamTokens, "stream": true,
		})
	}
	p.direct = func() (*http.Request, error) {
		return post(ctx, "http://"+d.Standin.Addresses["sortmind-1"]+"/generate", "", map[string]any{
			"rid": fmt.Sprintf("direct/%d", number.Add(1)), "text": "bench", "stream": true,
			"sampling_params": map[string]int{"max_new_tokens": streamTokens},
		})
	}
	return p, nil
}

// post returns a POST request with a JSON body and, if key is set, an Authorization header.
func post(ctx context.Context, url, key string, body any) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode request body: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	return req, nil
}

// answer sends one request and reads its answer to the end. It returns an error if the answer is incomplete.
func (p *streamPaths) answer(newRequest func() (*http.Request, error)) error {
	req, err := newRequest()
	if err != nil {
		return err
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if !bytes.HasSuffix(body, []byte("data: [DONE]\n\n")) || bytes.Count(body, []byte("data: ")) < streamTokens {
		return fmt.Errorf("incomplete answer: status %d, want %d tokens and [DONE]", resp.StatusCode, streamTokens)
	}
	return nil
}

// measure appends the time of one answer to took.
func (p *streamPaths) measure(newRequest func() (*http.Request, error), took *[]time.Duration) error {
	start := time.Now()
	if err := p.answer(newRequest); err != nil {
		return err
	}
	*took = append(*took, time.Since(start))
	return nil
}

// throughput returns the answers per second with throughputWorkers concurrent workers.
func (p *streamPaths) throughput(newRequest func() (*http.Request, error)) (float64, error) {
	start := time.Now()
	var workers sync.WaitGroup
	failed := make(chan error, throughputWorkers)
	for range throughputWorkers {
		workers.Go(func() {
			for range throughputAnswers / throughputWorkers {
				if err := p.answer(newRequest); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	workers.Wait()
	select {
	case err := <-failed:
		return 0, err
	default:
		return throughputAnswers / time.Since(start).Seconds(), nil
	}
}

// medianMilliseconds sorts times and returns their median.
func medianMilliseconds(times []time.Duration) float64 {
	slices.Sort(times)
	return float64(times[len(times)/2]) / float64(time.Millisecond)
}
