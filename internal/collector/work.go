package collector

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Next returns the next attempt to run and counts it as running. serving is the oldest weight version among the
// engines that accept new work; zero when it is not known. No rollout starts while samples of that version would be
// too old for the due version.
func (r *Run) Next(now time.Duration, serving identifier.Version) (Task, bool) {
	r.lock.Lock()
	defer r.unlock()
	if serving != 0 && r.isTooOld(serving, r.dueVersion) {
		return Task{}, false
	}
	for _, q := range []*container.Queue[slotID]{&r.retrySlots, &r.newSlots} {
		for {
			p, ok := q.Peek()
			if !ok {
				break
			}
			g, known := r.groups[p.group]
			if !known || g.slots[p.index].sample != nil || len(g.slots[p.index].attempts) > 0 {
				q.Pop()
				continue
			}
			if !g.started && r.heldBytes >= r.memoryLimit {
				break
			}
			q.Pop()
			return r.startAttempt(p, g, now, false), true
		}
	}
	return Task{}, false
}

// canHedge reports whether every attempt at a sample is a straggler and another one is allowed. A hedge can itself run
// on a slow engine, so one hedge may not be enough.
func (r *Run) canHedge(id AttemptID) bool {
	attempts := r.groups[id.Group].slots[id.Index].attempts
	for _, a := range attempts {
		if !a.straggler {
			return false
		}
	}
	return len(attempts) < maxAttempts
}

func (r *Run) startAttempt(p slotID, g *group, now time.Duration, hedge bool) Task {
	s := &g.slots[p.index]
	id := AttemptID{Group: p.group, Index: p.index, Attempt: s.nextAttempt}
	s.nextAttempt++
	if s.attempts == nil {
		s.attempts = make(map[int]*attempt)
	}
	a := &attempt{started: now, lastTokensAt: now, hedge: hedge}
	s.attempts[id.Attempt] = a
	r.running[id] = a
	g.started = true
	r.counts.Started++
	if hedge {
		r.counts.Hedges++
	}
	return Task{Rollout: id, Prompt: g.prompt, Hedge: hedge}
}

// WaitingRollouts returns an upper bound of the rollouts that wait to be started, and the token limit of the first.
func (r *Run) WaitingRollouts() (int, identifier.Tokens) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, q := range []*container.Queue[slotID]{&r.retrySlots, &r.newSlots} {
		if p, ok := q.Peek(); ok {
			if g, known := r.groups[p.group]; known {
				return r.retrySlots.Len() + r.newSlots.Len(), g.prompt.Limit
			}
		}
	}
	return r.retrySlots.Len() + r.newSlots.Len(), 1
}

// NextHedge returns an additional attempt for a straggler if the budget allows one.
func (r *Run) NextHedge(now time.Duration) (Task, bool) {
	r.lock.Lock()
	defer r.unlock()
	timePerToken, duration := median(r.tokenTimes.Values()), median(r.durations.Values())
	if r.tokenTimes.Len() < minHistory {
		return Task{}, false
	}
	var stragglers []AttemptID
	for id, a := range r.running {
		g := r.groups[id.Group]
		p := Progress{
			Elapsed: now - a.started, SinceLastTokens: now - a.lastTokensAt, Tokens: a.tokens,
			GenerationTime: a.lastTokensAt - a.firstTokensAt, GeneratedTokens: a.tokens - a.firstTokens, Limit: g.prompt.Limit,
			MedianDuration: duration, MedianTimePerToken: timePerToken,
		}
		if 2*len(g.durations) >= len(g.slots) {
			p.MedianDuration = median(g.durations)
		}
		straggler, decided := r.detector.Decide(p)
		a.straggler = decided && straggler
	}
	for id, a := range r.running {
		if a.straggler && r.canHedge(id) {
			stragglers = append(stragglers, id)
		}
	}
	if len(stragglers) == 0 || float64(r.counts.Hedges+1) > maxHedgeShare*float64(r.counts.Started-r.counts.Hedges) {
		return Task{}, false
	}
	// The straggler with the fewest tokens delays its step most.
	id := slices.MinFunc(stragglers, func(a, b AttemptID) int {
		return cmp.Or(cmp.Compare(r.running[a].tokens, r.running[b].tokens),
			cmp.Compare(r.running[a].started, r.running[b].started), cmp.Compare(a.Group.Submission, b.Group.Submission),
			cmp.Compare(a.Group.Index, b.Group.Index), cmp.Compare(a.Index, b.Index))
	})
	return r.startAttempt(slotID{group: id.Group, index: id.Index}, r.groups[id.Group], now, true), true
}

// RecordProgress records the tokens of a running attempt and their oldest version; zero when there are no tokens. It
// returns false when the attempt is no longer needed.
func (r *Run) RecordProgress(id AttemptID, tokens identifier.Tokens, oldest identifier.Version, now time.Duration) bool {
	r.lock.Lock()
	defer r.unlock()
	a, ok := r.running[id]
	if !ok {
		return false
	}
	if a.tokens == 0 && tokens > 0 {
		a.firstTokensAt, a.firstTokens = now, tokens
	}
	if tokens > a.tokens {
		a.lastTokensAt = now
	}
	a.tokens, a.oldestVersion = tokens, oldest
	if oldest != 0 && r.isTooOld(oldest, r.dueVersion) {
		r.abandonOverAge(id, a)
		return false
	}
	return true
}

// Finish ends an attempt. s is its sample; nil when the answer is incomplete.
func (r *Run) Finish(id AttemptID, s *Sample, now time.Duration) FinishResult {
	r.lock.Lock()
	defer r.unlock()
	a, ok := r.running[id]
	if !ok {
		return NotNeeded
	}
	r.removeRunning(id)
	r.notify()
	switch {
	case s == nil:
		r.counts.Waste += a.tokens
		r.counts.Failed++
		r.requeue(id)
		return Failed
	case s.Oldest() == 0:
		r.counts.Waste += s.Tokens
		r.counts.Unlabelled++
		r.requeue(id)
		return Unlabelled
	case r.isTooOld(s.Oldest(), r.currentVersion):
		r.counts.Waste += s.Tokens
		r.counts.OverAge++
		r.idle.discarded = true
		r.requeue(id)
		return OverAge
	}
	r.accept(id, a, *s, now)
	return Accepted
}

// accept stores the sample in its group and cancels the other attempts at it.
func (r *Run) accept(id AttemptID, a *attempt, s Sample, now time.Duration) {
	g := r.groups[id.Group]
	dst := &g.slots[id.Index]
	s.Group, s.Index = id.Group, id.Index
	dst.sample = &s
	r.heldBytes += s.size()
	for n, other := range dst.attempts {
		r.abandon(AttemptID{Group: id.Group, Index: id.Index, Attempt: n}, other)
	}
	took := now - a.started
	g.durations = append(g.durations, took)
	r.durations.Add(took)
	if s.Tokens > 0 {
		r.tokenTimes.Add(took / time.Duration(s.Tokens))
	}
	if a.hedge {
		r.counts.HedgesWon++
	}
	if g.finished++; g.finished == len(g.slots) {
		g.ready = true
		r.ready = append(r.ready, id.Group)
	}
}
