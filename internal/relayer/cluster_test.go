package relayer_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/relayer"
	"github.com/mimosalb/mimosalb/internal/standin/keyvalue"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// way is how a process reaches the service.
type way int32

const (
	open way = iota
	refused
	silent
	// late executes a commit, and loses its answer.
	late
)

// link is the service as one process reaches it. It counts the calls.
type link struct {
	storer.Service
	way   atomic.Int32
	calls atomic.Int64
}

// pass reports whether a call reaches the service, and the outcome if it does not.
func (l *link) pass(ctx context.Context) (storer.Outcome, bool) {
	l.calls.Add(1)
	switch way(l.way.Load()) {
	case refused:
		return storer.Unavailable, false
	case silent:
		<-ctx.Done()
		return storer.Unknown, false
	default:
		return 0, true
	}
}

func (l *link) Get(ctx context.Context, key string) (storer.Entry, storer.Outcome) {
	if out, ok := l.pass(ctx); !ok {
		return storer.Entry{}, out
	}
	return l.Service.Get(ctx, key)
}

func (l *link) List(ctx context.Context, prefix string) ([]storer.Entry, storer.Outcome) {
	if out, ok := l.pass(ctx); !ok {
		return nil, out
	}
	return l.Service.List(ctx, prefix)
}

func (l *link) KeepAlive(ctx context.Context, lease storer.Lease) storer.Outcome {
	if out, ok := l.pass(ctx); !ok {
		return out
	}
	return l.Service.KeepAlive(ctx, lease)
}

func (l *link) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]storer.Change, int64, storer.Outcome) {
	if out, ok := l.pass(ctx); !ok {
		return nil, 0, out
	}
	return l.Service.Changes(ctx, prefix, after, wait)
}

func (l *link) Commit(ctx context.Context, t storer.Transaction) storer.Outcome {
	if out, ok := l.pass(ctx); !ok {
		return out
	}
	out := l.Service.Commit(ctx, t)
	if way(l.way.Load()) == late {
		return storer.Unknown
	}
	return out
}

// process is an entry that may ask the others.
type process struct {
	*storer.Storer
	relayer  *relayer.Relayer
	executor *relayer.Executor
	link     *link
	// dead processes answer no question; deaf ones execute it, and their answer is lost.
	dead, deaf atomic.Bool
}

// cluster is a service in stepped time and the processes p0, p1 and so on before it. It carries their questions.
type cluster struct {
	clock     *timer.Manual
	kv        *keyvalue.Service
	processes []*process
	questions atomic.Int64
}

func newCluster(t *testing.T, n int) *cluster {
	cl := &cluster{clock: &timer.Manual{}}
	cl.kv = keyvalue.NewService(cl.clock)
	cl.clock.Advance(time.Second)
	for i := range n {
		p := &process{link: &link{Service: cl.kv}}
		path := relayer.NewPath(cl.clock)
		store := storer.NewStorer(p.link, cl.clock, storer.WithMaxPause(500*time.Millisecond), storer.WithCallTimeout(700*time.Millisecond))
		p.executor = relayer.NewExecutor(p.link, path, store.Through(p.link), cl.clock, nil)
		p.relayer = relayer.NewRelayer(relayer.Dependencies{
			Service: p.link, Path: path, Messenger: cl, Clock: cl.clock, ProbeKey: "probe", Candidates: func() []string {
				var others []string
				for j := 1; j < n; j++ {
					others = append(others, fmt.Sprint((i+j)%n))
				}
				return others
			},
		})
		p.Storer = store.Through(p.relayer).WithPurpose(storer.PurposeRun)
		cl.processes = append(cl.processes, p)
		t.Cleanup(p.relayer.Close)
	}
	return cl
}

func (cl *cluster) at(address string) *process {
	var i int
	_, _ = fmt.Sscan(address, &i)
	return cl.processes[i]
}

func (cl *cluster) Reserve(_ context.Context, address string, size identifier.Bytes) int64 {
	if cl.at(address).dead.Load() {
		return 0
	}
	return cl.at(address).executor.Reserve(size)
}

func (cl *cluster) Execute(ctx context.Context, address string, q relayer.Question) (relayer.Answer, relayer.Delivery) {
	cl.questions.Add(1)
	p := cl.at(address)
	if p.dead.Load() {
		<-ctx.Done()
		return relayer.Answer{}, relayer.Lost
	}
	a := p.executor.Execute(ctx, q)
	if p.deaf.Load() {
		return relayer.Answer{}, relayer.Lost
	}
	return a, relayer.Delivered
}

// during runs f while time passes in steps, and returns how much passed.
func during(cl *cluster, f func()) time.Duration {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	began := cl.clock.Monotonic()
	ticks := time.NewTicker(2 * time.Millisecond)
	defer ticks.Stop()
	for {
		select {
		case <-done:
			return cl.clock.Monotonic() - began
		case <-ticks.C:
			cl.clock.Advance(10 * time.Millisecond)
		}
	}
}

// pause waits in stepped time.
func (cl *cluster) pause(d time.Duration) { timer.Wait(context.Background(), cl.clock, d) }
