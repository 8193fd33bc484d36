package batcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/pacer"
)

// rest returns the time that an item still needs on its slot and until it is scored. The caller holds the lock.
func (j *Job) rest(i int, p pacer.Pace) time.Duration {
	state, hint := &j.items[i], j.spec.Items[i].Hint
	score := p.Score
	if j.spec.Items[i].Score.ID == "" {
		score = 0
	}
	switch {
	case state.stage == stageEnded:
		return 0
	case state.stage == stageScoring, state.complete:
		return score
	default:
		return p.Rest(hint, len(state.events), state.stage == stageRunning && len(state.events) > 0) - p.Score + score
	}
}

// groupRest is what a group without all results still needs.
type groupRest struct {
	group identifier.Group
	// sum is the time of all its items, longest that of the item that needs most.
	sum, longest time.Duration
}

// groupRests returns what the incomplete groups need, in the order of their first items. The caller holds the lock.
func (j *Job) groupRests(p pacer.Pace) []groupRest {
	index := make(map[identifier.Group]int, len(j.groupLeft))
	var rests []groupRest
	for i, item := range j.spec.Items {
		if j.groupLeft[item.Group] <= 0 {
			continue
		}
		at, ok := index[item.Group]
		if !ok {
			at = len(rests)
			index[item.Group] = at
			rests = append(rests, groupRest{group: item.Group})
		}
		rest := j.rest(i, p)
		rests[at].sum += rest
		rests[at].longest = max(rests[at].longest, rest)
	}
	return rests
}

// Outlook is what a job needs until its trainer can go on. It is immutable.
type Outlook struct {
	// Longest is the time of the item that needs most, and Work that of all items divided by the slots that could serve them.
	Longest, Work time.Duration
}

// Need returns the time that the job needs at least if all slots serve it.
func (o Outlook) Need() time.Duration { return max(o.Longest, o.Work) }

// Outlook chooses the groups that complete the step, and returns what they need. They are those
// that need the least work: the trainer waits for Spec.Desired groups, whichever they are, and for those that it carried over. The items of
// other groups are surplus and start last. A group that has begun needs less work, and so stays chosen.
func (j *Job) Outlook(p pacer.Pace, slots int) Outlook {
	j.lock.Lock()
	defer j.lock.Unlock()
	rests := j.groupRests(p)
	slices.SortStableFunc(rests, func(a, b groupRest) int {
		if carried := cmp.Compare(carriedRank(j.carried[a.group]), carriedRank(j.carried[b.group])); carried != 0 {
			return carried
		}
		return cmp.Compare(a.sum, b.sum)
	})
	wanted := len(rests)
	if j.spec.Desired > 0 {
		wanted = min(wanted, max(j.spec.Desired-j.completeGroups, len(j.carried), 0))
	}
	var sum, longest time.Duration
	for _, r := range rests[:wanted] {
		sum += r.sum
		longest = max(longest, r.longest)
	}
	j.surplus = nil
	for _, r := range rests[wanted:] {
		if j.surplus == nil {
			j.surplus = make(map[identifier.Group]bool)
		}
		j.surplus[r.group] = true
	}
	slices.SortFunc(j.startOrder, func(a, b int) int {
		return cmp.Or(cmp.Compare(j.startRank(a), j.startRank(b)), cmp.Compare(j.spec.Items[b].Hint, j.spec.Items[a].Hint), cmp.Compare(a, b))
	})
	return Outlook{Longest: longest, Work: sum / time.Duration(max(slots, 1))}
}

// carriedRank returns the rank of a group among those of its job: what an earlier job carried over goes first.
func carriedRank(carried bool) int {
	if carried {
		return 0
	}
	return 1
}
