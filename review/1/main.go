// Command 1 shows whether a request that isn't idempotent runs twice if its answer is lost.
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
	calm          = 4 * time.Second
	lossTime      = 4 * time.Second // for_s of answer_lost with how = "reset" in the site file
	lossShare     = 0.05            // its x: of the requests that the sampler ran
	callers       = 9
	callPause     = 10 * time.Millisecond
	callLimit     = 3 * time.Second
	lossesAtLeast = 1 / lossShare
)

func main() { os.Exit(run()) }

func run() int {
	ctx, clock := context.Background(), timer.NewSystem()
	record, err := rig.NewRecord(os.Args[1], clock)
	if err != nil {
		fmt.Println(err)
		return rig.ExitCantRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	d := rig.NewDeployment(record, clock)
	defer d.Close()
	err = d.Start(2)
	if err != nil {
		record.Say("can't run: %v", err)
		return rig.ExitCantRun
	}
	losing := &losses{}
	for i := range 2 {
		s, err := d.AddSampler(fmt.Sprintf("i-plain%d", i), rig.PlainService)
		if err != nil {
			record.Say("can't run: %v", err)
			return rig.ExitCantRun
		}
		if i == 0 {
			s.Lose = losing.lose // share 0.5: one sampler of two
		}
	}
	if err := d.AwaitReady(ctx, 20*time.Second); err != nil {
		record.Say("can't run: %v", err)
		return rig.ExitCantRun
	}
	answers := play(ctx, d, losing, trouble)
	return judge(d, answers, losing.count())
}

// losses makes a sampler lose one answer in twenty while it is on.
type losses struct {
	mutex      sync.Mutex
	on         bool
	runs, lost int
}

func (l *losses) set(on bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.on = on
}

func (l *losses) lose(rig.Run) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.on {
		return false
	}
	l.runs++
	if l.runs%int(lossesAtLeast) != 0 {
		return false
	}
	l.lost++
	return true
}

func (l *losses) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lost
}

// shape is how a client sends its requests.
type shape struct {
	name, method string
	// keyed adds the header Idempotency-Key.
	keyed bool
}

// shapes are those of the clients in turn. The route is of kind non_idempotent for all of them.
var shapes = [...]shape{
	{name: "POST with the header Idempotency-Key", method: http.MethodPost, keyed: true},
	{name: "POST without it", method: http.MethodPost},
	{name: "GET with a body", method: http.MethodGet},
}

// sent is a client attempt and its answer.
type sent struct {
	id     string
	shape  shape
	answer rig.Answer
}

// play lets clients send requests that aren't idempotent, each with its own Request-Id and each once.
func play(ctx context.Context, d *rig.Deployment, losing *losses, trouble bool) []sent {
	ctx, stop := context.WithCancel(ctx)
	var mutex sync.Mutex
	var all []sent
	var clients sync.WaitGroup
	for i := range callers {
		clients.Go(func() {
			c, entry := rig.NewClient(d.Clock), d.Entries[i/len(shapes)%len(d.Entries)]
			for n := 0; ctx.Err() == nil; n++ {
				a := sent{id: fmt.Sprintf("c%d-%05d", i, n), shape: shapes[i%len(shapes)]}
				header := map[string]string{"X-Api-Key": rig.Key, "Request-Id": a.id, "Deadline-Ms": "3000"}
				if a.shape.keyed {
					header["Idempotency-Key"] = "order-" + a.id
				}
				a.answer = c.Send(context.WithoutCancel(ctx), a.shape.method, "http://"+entry.Callers()+"/book/x", header, []byte("book "+a.id), callLimit)
				d.Record.Line("call  %s to %s, %s: status %d %v", a.id, entry.Name, a.shape.name, a.answer.Status, a.answer.Err)
				mutex.Lock()
				all = append(all, a)
				mutex.Unlock()
				timer.Wait(ctx, d.Clock, callPause)
			}
		})
	}
	timer.Wait(ctx, d.Clock, calm)
	if trouble {
		d.Record.Line("disruption: from now on the sampler i-plain0 loses the answer of one in twenty of the requests that it ran")
		losing.set(true)
	}
	timer.Wait(ctx, d.Clock, lossTime)
	losing.set(false)
	d.Record.Line("disruption: over")
	timer.Wait(ctx, d.Clock, time.Second)
	stop()
	clients.Wait()
	return all
}

// judge counts the requests that ran more than once.
func judge(d *rig.Deployment, answers []sent, lost int) int {
	runs := make(map[string]int)
	for _, r := range d.Runs() {
		runs[r.Request]++
	}
	twice, answered, broken := make(map[string]int), 0, 0
	for _, a := range answers {
		if runs[a.id] > 1 {
			twice[a.shape.name]++
			broken++
			d.Record.Say("TWICE: %s (%s) on a route of kind non_idempotent ran %d times; its client sent it once and got status %d",
				a.id, a.shape.name, runs[a.id], a.answer.Status)
		}
		if a.answer.Status == http.StatusOK {
			answered++
		}
	}
	d.Record.Say("%d requests sent, %d answered with 200, %d answers lost", len(answers), answered, lost)
	for _, s := range shapes {
		d.Record.Say("ran twice, %s: %d", s.name, twice[s.name])
	}
	switch {
	case answered < len(answers)/2:
		return rig.ExitCantRun
	case broken > 0:
		return rig.ExitBroken
	}
	return rig.ExitHeld
}
