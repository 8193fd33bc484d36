package relayer_test

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/relayer"
	"github.com/mimosalb/mimosalb/internal/standin/keyvalue"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// process is an entry that may ask the others.
type process struct {
	*storer.Storer
	relayer  *relayer.Relayer
	executor *relayer.Executor
	link     *keyvalue.Link
	// dead processes answer no question; deaf ones execute it, and their answer is lost.
	dead, deaf atomic.Bool
}

// cluster is a service in the time of a synctest bubble and the processes p0, p1 and so on before it. It carries their questions.
type cluster struct {
	clock     timer.Virtual
	kv        *keyvalue.Service
	processes []*process
	questions atomic.Int64
}

func newCluster(t *testing.T, n int) *cluster {
	cl := &cluster{}
	cl.kv = keyvalue.NewService(cl.clock)
	for i := range n {
		p := &process{link: keyvalue.NewLink(cl.kv)}
		path := relayer.NewPath(cl.clock)
		store := storer.NewStorer(p.link, cl.clock, storer.WithMaxPause(500*time.Millisecond), storer.WithCallTimeout(700*time.Millisecond))
		p.executor = relayer.NewExecutor(p.link, path, store.Through(p.link), cl.clock, nil)
		p.relayer = relayer.NewRelayer(relayer.Dependencies{
			Service: p.link, Path: path, Messenger: cl, Clock: cl.clock, ProbeKey: "probe", Candidates: func(s confiner.Scope) []string {
				return slices.DeleteFunc(strings.Split(("0123456789" + "0123456789")[i+1:i+n], ""), func(address string) bool {
					return !s.AllowsEntry(identifier.Region("r" + address))
				})
			},
		})
		p.Storer = store.Through(p.relayer).WithPurpose(storer.PurposeRun)
		cl.processes = append(cl.processes, p)
		t.Cleanup(p.relayer.Close)
	}
	return cl
}

func (cl *cluster) at(address string) *process {
	return cl.processes[address[0]-'0']
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

// pause waits in the time of the bubble.
func (cl *cluster) pause(d time.Duration) { timer.Wait(context.Background(), cl.clock, d) }
