// Command 3 shows whether a batch job goes on whose next owner could not read it when it was handed over.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/review/rig"
)

const (
	jobPrefix = "jobs/"
	itemCount = 48
	eventWork = 60 * time.Millisecond
	events    = 18
	// stopAfter is the time from the 202 to the SIGTERM.
	stopAfter = 600 * time.Millisecond
	// refusal is the time for which the key-value service turns one machine away.
	refusal = 650 * time.Millisecond
	// deadline is that of a step on the sheet. contact is contact-ms, and idleLimit the time of the rule.
	deadline  = 12 * time.Second
	contact   = 4 * time.Second
	idleLimit = 5 * time.Second
	// watchFor is how long the script goes on reading after the deadline.
	watchFor = 14 * time.Second
	attempts = 8
)

func main() { os.Exit(run()) }

func run() int {
	ctx, clock := context.Background(), timer.NewSystem()
	record, err := rig.NewRecord(os.Args[1], clock)
	if err != nil {
		fmt.Println(err)
		return rig.ExitCantRun
	}
	d := rig.NewDeployment(record, clock)
	defer d.Close()
	err = d.Start(4)
	for i := 0; err == nil && i < 4; i++ {
		var s *rig.Sampler
		if s, err = d.AddSampler(fmt.Sprintf("i-engine%d", i), rig.EngineService); err == nil {
			s.Work, s.Events = eventWork, events
		}
	}
	if err == nil {
		err = d.AwaitReady(ctx, 20*time.Second)
	}
	if err != nil {
		record.Say("can't run: %v", err)
		return rig.ExitCantRun
	}
	timer.Wait(ctx, clock, 4*time.Second)
	p := &play{Deployment: d, client: rig.NewClient(clock), sweeper: lastSweeper(d)}
	record.Say("%s looks after the jobs of missing processes", p.sweeper)
	if !p.submit(ctx) {
		record.Say("can't run: no job is led by a process other than %s", p.sweeper)
		return rig.ExitCantRun
	}
	if !p.handOver(ctx) {
		record.Say("can't run: the job was not handed over to a third process")
		return rig.ExitCantRun
	}
	return p.judge(ctx)
}

// lastSweeper returns the entry that listed all jobs last.
func lastSweeper(d *rig.Deployment) string {
	last := ""
	for _, c := range d.Store.Calls() {
		if c.Path == rig.Wire().ReadRange && c.Prefix == jobPrefix && strings.HasPrefix(c.Node, "front") {
			last = c.Node
		}
	}
	return last
}

// play is one batch job and what happens to it.
type play struct {
	*rig.Deployment
	client  *rig.Client
	sweeper string
	job     string
	// leader accepted the job, reader is another entry, at which the trainer reads.
	leader, reader *rig.Node
	submitted      time.Duration

	mutex sync.Mutex
	// next is the owner after the hand-over, refusedUntil when the service serves it again.
	next         string
	refusedUntil time.Duration
}

// submit submits jobs until one is led by a process other than the sweeper, and ends the others.
func (p *play) submit(ctx context.Context) bool {
	for i := range attempts {
		id, model := fmt.Sprintf("step-%d", i), rig.Models[i]
		items := make([]rig.Item, 0, itemCount)
		for n := range itemCount {
			items = append(items, rig.Item{ID: fmt.Sprintf("%s-i%02d", id, n), Group: fmt.Sprintf("%s-g%d", id, n/4)})
		}
		p.submitted = p.Clock.Monotonic()
		a := p.client.Submit(ctx, p.Entries[0], "jobs", id, model, items)
		p.Record.Say("trainer: job %s with %d items submitted to %s: status %d", id, itemCount, p.Entries[0].Name, a.Status)
		leader := p.node(p.Store.Writer(jobPrefix + id))
		if a.Status == http.StatusAccepted && leader != nil && leader.Name != p.sweeper {
			p.job, p.leader, p.reader = id, leader, p.node(p.sweeper)
			p.Record.Say("%s leads job %s", leader.Name, id)
			return true
		}
		header := map[string]string{"X-Api-Key": rig.Key}
		p.client.Send(ctx, http.MethodDelete, "http://"+p.Entries[0].Callers()+rig.Wire().Lots+id, header, nil, 2*time.Second)
		timer.Wait(ctx, p.Clock, 2*time.Second)
	}
	return false
}

func (p *play) node(name string) *rig.Node {
	for _, n := range p.Entries {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// handOver stops the leader with SIGTERM, for good. With trouble, the service turns the next owner away from the moment at which
// the record names it.
func (p *play) handOver(ctx context.Context) bool {
	timer.Wait(ctx, p.Clock, stopAfter)
	p.Store.OnCommit(func(c rig.Commit) {
		value, ok := c.Values[jobPrefix+p.job]
		if !ok || c.Node != p.leader.Name {
			return
		}
		r, err := codec.Jobs{}.DecodeRecord(value)
		if err != nil || string(r.Owner.Node) == p.leader.Name {
			return
		}
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.next, p.refusedUntil = string(r.Owner.Node), p.Clock.Monotonic()
		p.Record.Say("the record of job %s names %s as its owner", p.job, p.next)
		if os.Getenv("TROUBLE") == "0" {
			return
		}
		p.refusedUntil += refusal
		p.Store.Refuse(p.next, true)
		p.Record.Say("disruption: the key-value service answers 503 to %s for %s and serves all others", p.next, refusal)
		go func(node string) {
			timer.Wait(ctx, p.Clock, refusal)
			p.Store.Refuse(node, false)
			p.Record.Say("disruption: over")
		}(p.next)
	})
	p.Record.Say("planned work: SIGTERM to %s, which is removed", p.leader.Name)
	p.leader.Stop(rig.Grace)
	p.Record.Say("%s has stopped", p.leader.Name)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.next == p.sweeper {
		p.Record.Say("the next owner is the process that looks after the jobs")
	}
	return p.next != ""
}

// judge reads the results until the deadline of the step, and for a while after it.
func (p *play) judge(ctx context.Context) int {
	p.await(ctx, p.submitted+deadline)
	total, results, status := p.client.Results(ctx, p.reader, p.job)
	p.Record.Say("trainer: at the deadline of the step, job %s read at %s: status %d, total %d, %d results", p.job, p.reader.Name, status, total,
		len(results))
	end := p.Clock.Monotonic()
	lost, began := p.idleItems(results, end)
	for _, id := range lost {
		p.Record.Line("LOST: item %s has been at no sampler for %s of steady state", id, idleLimit)
	}
	p.Record.Say("items of the step that had begun: %d; unfinished items that have been at no sampler for %s of steady state: %d", began,
		idleLimit, len(lost))
	p.await(ctx, end+watchFor)
	total, results, status = p.client.Results(ctx, p.reader, p.job)
	p.Record.Say("trainer: %s after the submission: status %d, total %d, %d results", deadline+watchFor, status, total, len(results))
	switch {
	case status != http.StatusOK || began == 0:
		return rig.ExitCantRun
	case len(lost) > 0:
		p.Record.Say("LOST: the step ran out of time while %d of its items, which no sampler had finished or failed, had been at none", len(lost))
		return rig.ExitBroken
	}
	return rig.ExitHeld
}

func (p *play) await(ctx context.Context, until time.Duration) {
	if wait := until - p.Clock.Monotonic(); wait > 0 {
		timer.Wait(ctx, p.Clock, wait)
	}
}

// idleItems returns the items without a result that no sampler has finished and that have been at none for idleLimit of steady
// state, and the number of items that had begun.
func (p *play) idleItems(results []rig.Result, end time.Duration) ([]string, int) {
	p.mutex.Lock()
	steady := p.refusedUntil + contact
	p.mutex.Unlock()
	listed, finished, last := make(map[string]bool), make(map[string]bool), make(map[string]time.Duration)
	for _, r := range results {
		listed[r.ID] = true
	}
	for _, r := range p.Runs() {
		if r.Ended == 0 {
			r.Ended = end
		}
		last[r.Request] = max(last[r.Request], r.Ended)
		finished[r.Request] = finished[r.Request] || r.Status == http.StatusOK
	}
	var idle []string
	began := 0
	for n := range itemCount {
		id := fmt.Sprintf("%s-i%02d", p.job, n)
		if last[id] > 0 {
			began++
		}
		if !listed[id] && !finished[id] && end-max(steady, last[id]) >= idleLimit {
			idle = append(idle, id)
		}
	}
	return idle, began
}
