package collector_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/collector"
	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/standin/memory"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// place is three entries, one in each region, with one configuration. It runs no rollout and counts the prompts that arrive at entries.
type place struct {
	collector.Fleet

	regions  atomic.Pointer[confiner.Regions]
	unserved bool
	// starting is set while the entries have no configuration.
	starting bool
	entries  map[string]*collector.Collector
	arrived  map[string]int
	// elected passes a term to the campaigner of an entry.
	elected map[string]chan term
	fence   atomic.Uint64
}

// term is a term of an entry. ended is closed at its end.
type term struct {
	ctx   context.Context //nolint:containedctx // ends the term
	ended chan struct{}
}

func (p *place) Regions(collector.Spec) (confiner.Regions, bool) {
	return *p.regions.Load(), !p.starting
}
func (p *place) Serves(identifier.Service, confiner.Regions) bool { return !p.unserved }

func (*place) Versions(identifier.Service) (oldest, newest, due identifier.Version) { return 0, 0, 0 }

func (*place) Request(collector.Spec, collector.Task) (dispatcher.Request, bool) {
	return dispatcher.Request{}, false
}

func (p *place) Forward(ctx context.Context, address string, call collector.Call) (collector.Reply, bool) {
	p.arrived[address] += len(call.Submission.Prompts)
	return p.entries[address].Handle(ctx, call), true
}

// member is the campaigner of one entry. It leads when the test elects it.
type member struct {
	*place

	name string
}

func (m member) Campaign(ctx context.Context, _ identifier.Duty, lead func(context.Context, leaser.Term)) {
	for {
		select {
		case t := <-m.elected[m.name]:
			lead(t.ctx, leaser.Term{Fence: identifier.Fence(m.fence.Load())})
			close(t.ended)
		case <-ctx.Done():
			return
		}
	}
}

func (m member) Term(identifier.Duty) (leaser.Term, bool) {
	return leaser.Term{Fence: identifier.Fence(m.fence.Load())}, true
}

// elect makes an entry lead until the returned function is called. The channel is closed at the end of its term.
func (p *place) elect(c *qt.C, name string) (stop context.CancelFunc, ended chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	ended = make(chan struct{})
	status := collector.Call{Kind: collector.KindStatus, Run: "r", Team: "t"}
	p.fence.Add(1)
	p.elected[name] <- term{ctx, ended}
	tick, limit := time.NewTicker(time.Millisecond), time.After(10*time.Second)
	defer tick.Stop()
	for p.entries[name].Handle(ctx, status.WithForwarded()).Outcome != collector.Done {
		select {
		case <-tick.C:
		case <-ended:
			return cancel, ended
		case <-limit:
			c.Fatalf("%s does not lead", name)
		}
	}
	return cancel, ended
}

// Guards against prompts that are passed to an entry outside the regions of a run and of the entry that opened it, against such an entry
// that leads the run, also after a later configuration or before it has one, and against the refusal of a submission that was accepted.
func TestRunsKeepToTheirRegions(t *testing.T) {
	c, ctx, clock, store := qt.New(t), context.Background(), &timer.Manual{}, &memory.Store{}
	p := &place{entries: make(map[string]*collector.Collector), arrived: make(map[string]int), elected: make(map[string]chan term)}
	allow := func(names ...identifier.Region) {
		r := confiner.NewRegions(names...)
		p.regions.Store(&r)
	}
	allow("kano")
	names := []string{"home", "kano", "lagos"}
	for _, n := range names {
		p.elected[n] = make(chan term)
		settings := collector.Settings{Address: n, Region: identifier.Region(n), Workers: 1}
		p.entries[n] = collector.NewCollector(settings, store, codec.Rollouts{}, clock, member{p, n}, nil, p, p)
		c.Cleanup(p.entries[n].Close)
	}
	spec := collector.Spec{Run: "r", Team: "t", Service: "s", Group: 1, Step: 4}
	c.Assert(p.entries["home"].Open(ctx, spec).Outcome, qt.Equals, collector.Done)
	var out strings.Builder
	submit := func(step string, number uint64) {
		clock.Advance(time.Second)
		fmt.Fprintf(&out, "%s, submission %d:", step, number)
		for _, n := range names {
			call := collector.Call{Kind: collector.KindSubmit, Run: spec.Run, Team: "t"}
			call.Submission = collector.Submission{Number: number}.WithPrompts(collector.Prompt{Text: "x", Limit: 1})
			r := p.entries[n].Handle(ctx, call)
			fmt.Fprintf(&out, " %s %d%s", n, r.Outcome, r.Reason)
		}
		fmt.Fprintln(&out, ", arrived", p.arrived)
	}
	elect := func(name string) (stop func(), ended chan struct{}) {
		for _, n := range names {
			fmt.Fprintf(&out, "%s may lead %t; ", n, p.entries[n].MayLead(spec.Run.Duty()))
		}
		cancel, ended := p.elect(c, name)
		return func() { cancel(); <-ended }, ended
	}
	submit("no owner", 1)
	p.starting = true
	stop, _ := elect("home")
	submit("home elected without a configuration", 1)
	stop()
	p.starting = false
	stop, _ = elect("lagos")
	submit("lagos elected", 1)
	stop()
	stop, _ = elect("home")
	submit("home leads", 1)
	stop()
	stop, ended := elect("kano")
	submit("kano leads", 2)
	p.unserved = true
	submit("no target", 2)
	submit("no target", 3)
	p.unserved = false
	allow("lagos")
	submit("lagos allowed", 3)
	clock.Advance(time.Second)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		c.Error("kano leads although a later configuration excludes it")
	}
	stop()
	stop, _ = elect("lagos")
	submit("lagos elected", 3)
	stop()
	allow()
	stop, _ = elect("home")
	submit("home leads, all allowed", 3)
	stop()
	goldie.New(t).Assert(t, "residency", []byte(out.String()))
}
