package conductor

import (
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/ranker"
)

// contest holds the led jobs that can be in time. Those with no waiting items count too: their running ones hold slots.
type contest struct {
	jobs       []*ledJob
	contenders []ranker.Contender
}

// add adds a job of a rank if it can be in time.
func (t *contest) add(l *ledJob, service identifier.Service, r ranker.Rank) {
	if r.Standing != ranker.Tight && r.Standing != ranker.Ample {
		l.outlook.crowded = false
		return
	}
	o := l.outlook
	t.jobs = append(t.jobs, l)
	t.contenders = append(t.contenders, ranker.Contender{
		Service: service, Priority: r.Priority, Left: r.Slack + o.need, Work: o.work, Crowded: o.crowded,
	})
}

// leaveOut puts the jobs for which the slots are too few behind the others.
func (t *contest) leaveOut(all []candidate) {
	for i, crowded := range ranker.Crowd(t.contenders) {
		t.jobs[i].outlook.crowded = crowded
	}
	for i := range all {
		all[i].rank.Crowded = all[i].ledJob.outlook.crowded
	}
}
