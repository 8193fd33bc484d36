package collector

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Next returns the next rollout to run and counts it as running. serving is the oldest weight version among the
// engines that take new work; zero when it is not known. A rollout that such an engine would make too old for the
// version that is on its way does not start.
func (r *Run) Next(now time.Duration, serving identifier.Version) (Task, bool) {
	r.lock.Lock()
	defer r.unlock()
	if serving != 0 && r.tooOld(serving, r.due) {
		return Task{}, false
	}
	for _, q := range []*container.Queue[place]{&r.again, &r.fresh} {
		for {
			p, ok := q.Peek()
			if !ok {
				break
			}
			g, known := r.groups[p.group]
			if !known || g.slots[p.index].sample != nil || len(g.slots[p.index].tries) > 0 {
				q.Pop()
				continue
			}
			if !g.begun && r.held >= r.memory {
				break
			}
			q.Pop()
			return r.start(p, g, now, false), true
		}
	}
	return Task{}, false
}

// hopeless reports whether every try at a sample is a straggler and another one is allowed. A hedge can itself meet a
// slow engine.
func (r *Run) hopeless(id Rollout) bool {
	tries := r.groups[id.Group].slots[id.Index].tries
	for _, t := range tries {
		if !t.slow {
			return false
		}
	}
	return len(tries) < maxTries
}

func (r *Run) start(p place, g *group, now time.Duration, hedge bool) Task {
	s := &g.slots[p.index]
	id := Rollout{Group: p.group, Index: p.index, Try: s.next}
	s.next++
	if s.tries == nil {
		s.tries = make(map[int]*try)
	}
	t := &try{started: now, seen: now, hedge: hedge}
	s.tries[id.Try] = t
	r.running[id] = t
	g.begun = true
	r.counts.Started++
	if hedge {
		r.counts.Hedges++
	}
	return Task{Rollout: id, Prompt: g.prompt, Hedge: hedge}
}

// Waiting returns at most how many rollouts wait to be started, and the token limit of the first.
func (r *Run) Waiting() (int, identifier.Tokens) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, q := range []*container.Queue[place]{&r.again, &r.fresh} {
		if p, ok := q.Peek(); ok {
			if g, known := r.groups[p.group]; known {
				return r.again.Len() + r.fresh.Len(), g.prompt.Limit
			}
		}
	}
	return r.again.Len() + r.fresh.Len(), 1
}

// Hedge returns a second try for a straggler if the budget allows one.
func (r *Run) Hedge(now time.Duration) (Task, bool) {
	r.lock.Lock()
	defer r.unlock()
	pace, usual := median(r.paces.Values()), median(r.took.Values())
	if r.paces.Len() < paceLeast {
		return Task{}, false
	}
	var slow []Rollout
	for id, t := range r.running {
		g := r.groups[id.Group]
		p := Progress{
			Elapsed: now - t.started, Silence: now - t.seen, Tokens: t.tokens, Writing: t.seen - t.begun,
			Written: t.tokens - t.first, Limit: g.prompt.Limit, Median: usual, Pace: pace,
		}
		if 2*len(g.took) >= len(g.slots) {
			p.Median = median(g.took)
		}
		straggler, decided := r.judge.Decide(p)
		t.slow = decided && straggler
	}
	for id, t := range r.running {
		if t.slow && r.hopeless(id) {
			slow = append(slow, id)
		}
	}
	if len(slow) == 0 || float64(r.counts.Hedges+1) > hedgeShare*float64(r.counts.Started-r.counts.Hedges) {
		return Task{}, false
	}
	// The one with the fewest tokens holds its step up most.
	id := slices.MinFunc(slow, func(a, b Rollout) int {
		return cmp.Or(cmp.Compare(r.running[a].tokens, r.running[b].tokens),
			cmp.Compare(r.running[a].started, r.running[b].started), cmp.Compare(a.Group.Submission, b.Group.Submission),
			cmp.Compare(a.Group.Index, b.Group.Index), cmp.Compare(a.Index, b.Index))
	})
	return r.start(place{group: id.Group, index: id.Index}, r.groups[id.Group], now, true), true
}

// RecordProgress records how far a running rollout is and the oldest version in it so far; zero when no token has come. A
// false result means that the rollout is no longer needed.
func (r *Run) RecordProgress(id Rollout, tokens identifier.Tokens, oldest identifier.Version, now time.Duration) bool {
	r.lock.Lock()
	defer r.unlock()
	t, ok := r.running[id]
	if !ok {
		return false
	}
	if t.tokens == 0 && tokens > 0 {
		t.begun, t.first = now, tokens
	}
	if tokens > t.tokens {
		t.seen = now
	}
	t.tokens, t.oldest = tokens, oldest
	if oldest != 0 && r.tooOld(oldest, r.due) {
		r.giveUp(id, t)
		return false
	}
	return true
}

// Finish ends a rollout. s is its sample; nil when it gave no whole answer.
func (r *Run) Finish(id Rollout, s *Sample, now time.Duration) Verdict {
	r.lock.Lock()
	defer r.unlock()
	t, ok := r.running[id]
	if !ok {
		return Late
	}
	r.forget(id)
	r.notify()
	switch {
	case s == nil:
		r.counts.Waste += t.tokens
		r.counts.Failed++
		r.requeue(id)
		return Failed
	case s.Oldest() == 0:
		r.counts.Waste += s.Tokens
		r.counts.Unlabelled++
		r.requeue(id)
		return Unlabelled
	case r.tooOld(s.Oldest(), r.current):
		r.counts.Waste += s.Tokens
		r.counts.OverAge++
		r.idle.remade = true
		r.requeue(id)
		return OverAge
	}
	r.take(id, t, *s, now)
	return Taken
}

// take makes the sample part of its group and cancels the other tries.
func (r *Run) take(id Rollout, t *try, s Sample, now time.Duration) {
	g := r.groups[id.Group]
	place := &g.slots[id.Index]
	s.Group, s.Index = id.Group, id.Index
	place.sample = &s
	r.held += s.size()
	for n, other := range place.tries {
		r.drop(Rollout{Group: id.Group, Index: id.Index, Try: n}, other)
	}
	took := now - t.started
	g.took = append(g.took, took)
	r.took.Add(took)
	if s.Tokens > 0 {
		r.paces.Add(took / time.Duration(s.Tokens))
	}
	if t.hedge {
		r.counts.HedgesWon++
	}
	if g.done++; g.done == len(g.slots) {
		g.ready = true
		r.ready = append(r.ready, id.Group)
	}
}
