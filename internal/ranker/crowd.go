package ranker

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Contender is a job that can be in time if it gets the slots that it needs. It is immutable.
type Contender struct {
	Service  identifier.Service
	Priority int
	// Left is the time left, and Work the time that all slots of the service need for the job.
	Left, Work time.Duration
	// Crowded is set if the job was left out before. It then needs more room to come back, and no other one goes for it, so that jobs
	// don't alternate.
	Crowded bool
}

// Crowd reports for each job whether it is left out, because all together need more than the slots can do: then some are whole in time
// rather than all of them late. As few as possible are left out, by the rule of Moore and Hodgson: in the order of their due times, the job
// with the most work goes as soon as the sum exceeds the time left. Jobs of a more urgent priority come first and are not left out for others.
func Crowd(all []Contender) []bool {
	out := make([]bool, len(all))
	order := make([]int, len(all))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(all[a].Priority, all[b].Priority), cmp.Compare(all[a].Left, all[b].Left))
	})
	sums := make(map[identifier.Service]time.Duration)
	for at, i := range order {
		job := all[i]
		sums[job.Service] += job.Work
		share := lateShare
		if job.Crowded {
			share = 1
		}
		if float64(sums[job.Service]) <= share*float64(job.Left) {
			continue
		}
		most := i
		for _, k := range order[:at] {
			same := all[k].Service == job.Service && all[k].Priority == job.Priority
			if same && !job.Crowded && !out[k] && all[k].Work > all[most].Work {
				most = k
			}
		}
		out[most] = true
		sums[job.Service] -= all[most].Work
	}
	return out
}
