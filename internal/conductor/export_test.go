package conductor

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/router"
)

// Processes returns the number of registered processes that this one knows.
func (c *Conductor) Processes() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return len(c.members)
}

// ResultDelay is resultDelay for tests.
var ResultDelay = resultDelay

// RunFirst runs the first item of a job on a target, as a worker does with an assignment that it takes from the queue.
func (c *Conductor) RunFirst(ctx context.Context, j *batcher.Job, t router.Target) {
	task, _ := j.Next(0, batcher.Constraint{})
	c.runItem(ctx, assignment{ledJob: &ledJob{job: j}, task: task, target: t})
}

// Successor returns the process that becomes the owner of a job if this one closes or is lost.
func (c *Conductor) Successor(id identifier.Job) (recorder.Registration, bool) {
	return c.selectProcess(string(id), func(p recorder.Registration) bool { return p.Owner.Node != c.Self.Node })
}

// MembershipCurrent reports whether this process takes its members for up to date.
func (c *Conductor) MembershipCurrent() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.membershipCurrent
}

// ChooseLeader returns the node that leads a job with some items, where the first process has the highest score.
func ChooseLeader(items int, cores []float64, unfinished []int) identifier.Node {
	all := make([]leaderCandidate, 0, len(cores))
	for i := range cores {
		p := recorder.Registration{Owner: recorder.Owner{Node: identifier.Node(fmt.Sprint("n", i))}, Cores: cores[i]}
		all = append(all, leaderCandidate{process: p, score: float64(-i), unfinished: unfinished[i]})
	}
	leader, _ := chooseLeader(all, items)
	return leader.Owner.Node
}

// LooksFor reports whether the record of a job that was submitted long ago is read, while it is being stored or not.
func (c *Conductor) LooksFor(s batcher.Spec, storing bool) bool {
	if storing {
		defer c.beginSubmitting(s.ID)()
	}
	c.lock.Lock()
	c.unconfirmed[s.ID], c.unconfirmedCheckedAt = s, -time.Hour
	c.lock.Unlock()
	return slices.Contains(c.dueRefreshes(), s.ID)
}

// Led returns a job that this process leads.
func (c *Conductor) Led(id identifier.Job) *ledJob {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.led[id]
}

// StoreLate writes a result of a job, as a commit does that was under way when the process stopped leading the job.
func (c *Conductor) StoreLate(ctx context.Context, l *ledJob, r batcher.Result) bool {
	return c.storeResults(ctx, l, 0, []batcher.Result{r})
}

// MovesText reports whether an attempt that wrote all events of a text so far is given up for a faster target.
func (c *Conductor) MovesText(target identifier.Target, hint, events int, now time.Duration) bool {
	var t eventTimings
	t.events.Store(int64(events))
	return c.worthMoving(assignment{target: router.Target{ID: target}, task: batcher.Task{Item: batcher.Item{Hint: hint}}}, &t, now)
}
