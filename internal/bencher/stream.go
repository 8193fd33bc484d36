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
	// streamRuns is the number of answers per way. The ways take turns, so that a busy machine slows both.
	streamRuns = 60
	// streamWorkers and streamBatch are for the throughput: as many answers at a time as the targets take.
	streamWorkers = 32
	streamBatch   = 320
)

// ways is a deployment with the two ways to its one engine: through entry and agent, and directly.
type ways struct {
	deployment *demonstrator.Deployment
	http       *http.Client
	through    func() (*http.Request, error)
	direct     func() (*http.Request, error)
}

// benchStream compares a streamed answer of 100 tokens through entry and agent with a direct call to the same stand-in.
func benchStream(ctx context.Context) ([]Figure, error) {
	w, err := newWays(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { _ = w.deployment.Close() }()
	var through, direct []time.Duration
	for range streamRuns {
		if err := w.time(w.through, &through); err != nil {
			return nil, err
		}
		if err := w.time(w.direct, &direct); err != nil {
			return nil, err
		}
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	rate, err := w.rate(w.through)
	if err != nil {
		return nil, err
	}
	runtime.ReadMemStats(&after)
	all := float64(after.Mallocs-before.Mallocs) / streamBatch
	runtime.ReadMemStats(&before)
	base, err := w.rate(w.direct)
	if err != nil {
		return nil, err
	}
	runtime.ReadMemStats(&after)
	alone := float64(after.Mallocs-before.Mallocs) / streamBatch
	return []Figure{
		{Name: "stream/p50-100-tokens", Unit: "ms", Value: p50(through), Baseline: p50(direct), Target: AtMostTimes(1.15)},
		{Name: "stream/throughput", Unit: "answers/s", Value: rate, Baseline: base},
		{Name: "stream/allocations", Unit: "allocs/answer", Value: all, Baseline: alone},
	}, nil
}

func newWays(ctx context.Context) (*ways, error) {
	plan := demonstrator.DefaultPlan()
	plan.BackEnds = slices.DeleteFunc(plan.BackEnds, func(b demonstrator.BackEnd) bool { return b.Name == "sortmind-2" || b.Name == "sortmind-3" })
	d, err := demonstrator.NewDeployment(plan, io.Discard)
	if err != nil {
		return nil, fmt.Errorf("start deployment: %w", err)
	}
	s := &demonstrator.Session{Deployment: d, Client: demonstrator.NewClient(d), Keys: map[string]string{}}
	if _, err := demonstrator.Steps()[0].Run(ctx, s); err != nil {
		_ = d.Close()
		return nil, fmt.Errorf("configure: %w", err)
	}
	w := &ways{deployment: d, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streamWorkers}}}
	var number atomic.Int64
	w.through = func() (*http.Request, error) {
		return post(ctx, "http://"+d.Entries[0].Callers+"/v1/completions", s.Keys["driver"], map[string]any{
			"model": "sortmind", "prompt": "bench", "max_tokens": streamTokens, "stream": true,
		})
	}
	w.direct = func() (*http.Request, error) {
		return post(ctx, "http://"+d.Standin.Addresses["sortmind-1"]+"/generate", "", map[string]any{
			"rid": fmt.Sprintf("direct/%d", number.Add(1)), "text": "bench", "stream": true,
			"sampling_params": map[string]int{"max_new_tokens": streamTokens},
		})
	}
	return w, nil
}

func post(ctx context.Context, url, key string, body any) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	return req, nil
}

// answer makes one request and reads its answer to the end, which must be a whole one.
func (w *ways) answer(way func() (*http.Request, error)) error {
	req, err := way()
	if err != nil {
		return err
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	if !bytes.HasSuffix(body, []byte("data: [DONE]\n\n")) || bytes.Count(body, []byte("data: ")) < streamTokens {
		return fmt.Errorf("status %d, answer not whole", resp.StatusCode)
	}
	return nil
}

func (w *ways) time(way func() (*http.Request, error), took *[]time.Duration) error {
	start := time.Now()
	if err := w.answer(way); err != nil {
		return err
	}
	*took = append(*took, time.Since(start))
	return nil
}

// rate returns the answers per second of concurrent workers.
func (w *ways) rate(way func() (*http.Request, error)) (float64, error) {
	start := time.Now()
	var workers sync.WaitGroup
	failed := make(chan error, streamWorkers)
	for range streamWorkers {
		workers.Go(func() {
			for range streamBatch / streamWorkers {
				if err := w.answer(way); err != nil {
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
		return streamBatch / time.Since(start).Seconds(), nil
	}
}

// p50 returns the median in milliseconds.
func p50(times []time.Duration) float64 {
	slices.Sort(times)
	return float64(times[len(times)/2]) / float64(time.Millisecond)
}
