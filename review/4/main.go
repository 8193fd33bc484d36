// Command 4 shows whether requests reach a sampler long after its entry was removed, while entries are restarted in turn.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/review/rig"
)

const (
	targetPrefix = "servers/"
	rounds       = 5
	// releaseAfter is the time from the restart of an entry to the start of the new sampler, and overlap the time from there to the
	// removal of the old one's entry.
	releaseAfter = 900 * time.Millisecond
	overlap      = 400 * time.Millisecond
	// linger is the time after drain-ms for which the old sampler goes on.
	linger      = 450 * time.Millisecond
	contact     = 4 * time.Second
	work        = 200 * time.Millisecond
	callers     = 10
	callPause   = 20 * time.Millisecond
	callLimit   = 3 * time.Second
	listPeriod  = 250 * time.Millisecond
	readerSpan  = 2500 * time.Millisecond
	pauseBefore = 5 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	ctx, clock := context.Background(), timer.NewSystem()
	record, err := rig.NewRecord(os.Args[1], clock)
	if err != nil {
		fmt.Println(err)
		return rig.ExitCantRun
	}
	p := &play{Deployment: rig.NewDeployment(record, clock), stopped: make(map[string]time.Duration), gone: make(map[string]departure)}
	defer p.Close()
	err = p.Start(2)
	for i := 0; err == nil && i < 3; i++ {
		_, err = p.add()
	}
	if err == nil {
		_, err = p.AddSampler("i-engine", rig.EngineService)
	}
	if err == nil {
		err = p.AwaitReady(ctx, 20*time.Second)
	}
	if err != nil {
		record.Say("can't run: %v", err)
		return rig.ExitCantRun
	}
	ctx, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { p.relist(ctx) })
	for i := range callers {
		background.Go(func() { p.call(ctx, i) })
	}
	for range rounds {
		if err := p.round(ctx); err != nil {
			record.Say("can't run: %v", err)
			stop()
			background.Wait()
			return rig.ExitCantRun
		}
	}
	stop()
	background.Wait()
	return p.judge()
}

// departure is when the entry of a sampler was removed and when the sampler ended.
type departure struct{ removed, ended time.Duration }

// sent is a client attempt.
type sent struct {
	id     string
	entry  *rig.Node
	at     time.Duration
	answer rig.Answer
}

// play is the deployment with what happened to it.
type play struct {
	*rig.Deployment
	samplers []*rig.Sampler
	started  int

	mutex sync.Mutex
	// stopped holds when each entry last ran again after a stop; it is the present time or later while it does not.
	stopped map[string]time.Duration
	gone    map[string]departure
	sent    []sent
}

// add starts a sampler of the plain service.
func (p *play) add() (*rig.Sampler, error) {
	p.started++
	s, err := p.AddSampler(fmt.Sprintf("i-plain%02d", p.started), rig.PlainService)
	if err == nil {
		s.Work = work
		p.samplers = append(p.samplers, s)
	}
	return s, err
}

// relist writes the entry of the engine sampler again and again with another cold-left-ms, as a sampler does that warms up.
func (p *play) relist(ctx context.Context) {
	for n := 0; timer.Wait(ctx, p.Clock, listPeriod); n++ {
		p.Relist("i-engine", 100000-n)
	}
}

// call sends requests that aren't idempotent to one entry, which is another one while that is being restarted.
func (p *play) call(ctx context.Context, i int) {
	c := rig.NewClient(p.Clock)
	for n := 0; ctx.Err() == nil; n++ {
		s := sent{id: fmt.Sprintf("c%d-%05d", i, n), entry: p.Entries[i%len(p.Entries)], at: p.Clock.Monotonic()}
		if !p.running(s.entry) {
			s.entry = p.Entries[(i+1)%len(p.Entries)]
		}
		header := map[string]string{"X-Api-Key": rig.Key, "Request-Id": s.id, "Deadline-Ms": "3000"}
		s.answer = c.Send(context.WithoutCancel(ctx), http.MethodPost, "http://"+s.entry.Callers()+"/book/x", header, []byte("book "+s.id), callLimit)
		p.Record.Line("call  %s to %s: status %d %v", s.id, s.entry.Name, s.answer.Status, s.answer.Err)
		p.mutex.Lock()
		p.sent = append(p.sent, s)
		p.mutex.Unlock()
		timer.Wait(ctx, p.Clock, callPause)
	}
}

// running reports whether an entry is not being restarted.
func (p *play) running(n *rig.Node) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.stopped[n.Name] <= p.Clock.Monotonic()
}

// round restarts the entry that reads the listings for its region, as a rolling restart does, and then replaces a sampler whose
// entry is removed without a word of draining. With TROUBLE=0 the entry is not restarted.
func (p *play) round(ctx context.Context) error {
	timer.Wait(ctx, p.Clock, pauseBefore)
	if os.Getenv("TROUBLE") != "0" {
		reader := p.reader()
		p.mark(reader, time.Hour)
		p.Record.Say("planned work: SIGTERM to %s", reader.Name)
		reader.Stop(rig.Grace)
		reader.Start()
		if err := p.AwaitReady(ctx, 10*time.Second); err != nil {
			return err
		}
		p.mark(reader, 0)
		p.Record.Say("%s runs again", reader.Name)
	}
	timer.Wait(ctx, p.Clock, releaseAfter)
	if _, err := p.add(); err != nil {
		return err
	}
	timer.Wait(ctx, p.Clock, overlap)
	old := p.samplers[0]
	p.samplers = p.samplers[1:]
	p.Store.KV.Remove(targetPrefix + old.ID)
	d := departure{removed: p.Clock.Monotonic()}
	p.Record.Say("planned work: the entry of %s is removed", old.ID)
	timer.Wait(ctx, p.Clock, rig.Drain+linger)
	old.Close()
	d.ended = p.Clock.Monotonic()
	p.Record.Say("%s has ended, %s after the removal", old.ID, d.ended-d.removed)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.gone[old.ID] = d
	return nil
}

// mark records that an entry runs again from a time on.
func (p *play) mark(n *rig.Node, in time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stopped[n.Name] = p.Clock.Monotonic() + in
}

// reader returns an entry that watches the listings at the service.
func (p *play) reader() *rig.Node {
	for _, name := range p.Store.Watchers(targetPrefix, p.Clock.Monotonic()-readerSpan) {
		for _, n := range p.Entries {
			if n.Name == name {
				return n
			}
		}
	}
	return p.Entries[0]
}

// judge counts the requests that reached a sampler too late, sent by an entry that had run for contact-ms.
func (p *play) judge() int {
	entries := make(map[string]sent, len(p.sent))
	served := 0
	for _, s := range p.sent {
		entries[s.id] = s
		if s.answer.Status == http.StatusOK {
			served++
		}
	}
	late, cut := 0, 0
	for _, r := range p.Runs() {
		d, ok := p.gone[r.Sampler]
		s, known := entries[r.Request]
		if !ok || !known || r.At-d.removed <= rig.Drain {
			continue
		}
		p.mutex.Lock()
		inTouch := r.At-p.stopped[s.entry.Name] >= contact
		p.mutex.Unlock()
		if !inTouch {
			continue
		}
		late++
		p.Record.Say("DRAIN: request %s reached %s from %s %s after its entry was removed; the client got status %d", r.Request, r.Sampler, s.entry.Name,
			r.At-d.removed, s.answer.Status)
		if s.answer.Status != http.StatusOK {
			cut++
		}
	}
	p.Record.Say("%d requests sent, %d answered with 200; %d reached a sampler over drain-ms after its departure, %d of them have no answer of it",
		len(p.sent), served, late, cut)
	switch {
	case served < len(p.sent)/2:
		return rig.ExitCantRun
	case late > 0:
		return rig.ExitBroken
	}
	return rig.ExitHeld
}
