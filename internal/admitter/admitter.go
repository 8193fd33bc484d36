// Package admitter decides whether a request may be queued under the limits of its team and service. Entries that share
// limits use shares of them that an allocator assigns ahead of time, so that no request needs a call to another
// process.
package admitter

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Request is the part of a request that admission depends on.
type Request struct {
	Team    configurator.Team
	Service configurator.Service
	// Tokens is the expected engine work.
	Tokens identifier.Tokens
}

// Decision is the outcome of Admit. The zero value means that the request was admitted.
type Decision struct {
	Refused bool
	Reason  string
	// RetryAfter estimates the time until the limit that refused the request has capacity again.
	RetryAfter time.Duration
}

// Reasons of a refusal.
const (
	ReasonRequestRate = "request-rate"
	ReasonTokenRate   = "token-rate"
	ReasonConcurrency = "concurrency"
)

// concurrencyRetryAfter is the retry hint of refusals by a concurrency limit. It is fixed because the end of running
// requests is not known.
const concurrencyRetryAfter = time.Second

// Admitter counts the requests of teams and services against their limits. The zero value has no counts and applies
// every limit in full.
//
// Invariants: an admitted request is released exactly once; with sharing, an entry uses no more than its unexpired
// shares. Lock rank: container.RankAdmitter.
type Admitter struct {
	lock    container.Lock[container.Admitter]
	states  map[Account]*accountState
	sharing bool
}

// accountState is the use of an account by this entry and the entry's share of its limits.
type accountState struct {
	running       int
	requestBucket bucket
	tokenBucket   bucket
	// requestCount is the number of requests, admitted or not, since the last call of Demands.
	requestCount float64
	// slots is the configured limit on running requests; zero means no limit.
	slots     int
	share     Share
	expiresAt time.Duration
}

// Option sets a property of an Admitter.
type Option func(*Admitter)

// WithSharing makes the Admitter apply this entry's shares of the limits instead of the full limits.
func WithSharing() Option { return func(a *Admitter) { a.sharing = true } }

// NewAdmitter returns an Admitter without counts.
func NewAdmitter(opts ...Option) *Admitter {
	a := &Admitter{}
	for _, o := range opts {
		o(a)
	}
	return a
}

// Admit counts the request against its limits, or refuses it and charges nothing. now is the monotonic time.
func (a *Admitter) Admit(r Request, now time.Duration) Decision {
	a.lock.Lock()
	defer a.lock.Unlock()
	accounts := a.limitedAccounts(r, now)
	for _, acc := range accounts {
		acc.state.requestCount++
	}
	for _, acc := range accounts {
		if refusal := acc.check(r, now); refusal.Refused {
			return refusal
		}
	}
	for _, acc := range accounts {
		acc.state.running++
		acc.state.requestBucket.take(1)
		acc.state.tokenBucket.take(float64(r.Tokens))
	}
	return Decision{}
}

// Release ends an admitted request. used is the engine work that it took.
func (a *Admitter) Release(r Request, used identifier.Tokens) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, acc := range a.limitedAccounts(r, 0) {
		acc.state.running--
		if acc.state.running < 0 {
			panic("invariant admission: an admitted request is released exactly once")
		}
		acc.state.tokenBucket.take(float64(used - r.Tokens))
	}
}

// Demands returns the demand on each account since the previous call, which was period ago, and removes idle accounts.
func (a *Admitter) Demands(period time.Duration) []Demand {
	a.lock.Lock()
	defer a.lock.Unlock()
	demands := make([]Demand, 0, len(a.states))
	for account, s := range a.states {
		if s.requestCount == 0 && s.running == 0 {
			delete(a.states, account)
			continue
		}
		demands = append(demands, Demand{Account: account, Rate: s.requestCount / period.Seconds(), Running: s.running, Slots: s.slots})
		s.requestCount = 0
	}
	return demands
}

// Adopt replaces the shares of the given accounts. requestedAt is the monotonic time before the allocator was called.
func (a *Admitter) Adopt(shares []Share, requestedAt time.Duration) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, s := range shares {
		if state, ok := a.states[s.Account]; ok {
			state.share, state.expiresAt = s, requestedAt+s.TTL
		}
	}
}

// limitedAccount is the state of an account with the part of its limits that this entry may use.
type limitedAccount struct {
	state  *accountState
	limits configurator.Limits
	// exhausted is set when this entry's share is empty. The limits can't express that, because a limit of zero means
	// no limit.
	exhausted bool
}

func (a *Admitter) limitedAccounts(r Request, now time.Duration) [2]limitedAccount {
	return [2]limitedAccount{
		a.limitedAccount(TeamAccount(r.Team.Name), r.Team.Limits, now),
		a.limitedAccount(ServiceAccount(r.Service.Name), r.Service.Limits, now),
	}
}

func (a *Admitter) limitedAccount(name Account, limits configurator.Limits, now time.Duration) limitedAccount {
	state := a.state(name)
	state.slots = limits.Concurrency
	if !a.sharing || limits == (configurator.Limits{}) {
		return limitedAccount{state: state, limits: limits}
	}
	share := state.share
	if now >= state.expiresAt {
		share = Share{}
	}
	limits.RequestRate *= share.Fraction
	limits.TokenRate *= share.Fraction
	if limits.Concurrency > 0 {
		limits.Concurrency = share.Slots
	}
	return limitedAccount{state: state, limits: limits, exhausted: share.Fraction == 0 || state.slots > 0 && share.Slots == 0}
}

func (a *Admitter) state(name Account) *accountState {
	if a.states == nil {
		a.states = make(map[Account]*accountState)
	}
	s, ok := a.states[name]
	if !ok {
		s = &accountState{}
		a.states[name] = s
	}
	return s
}

func (a limitedAccount) check(r Request, now time.Duration) Decision {
	if a.exhausted || a.limits.Concurrency > 0 && a.state.running >= a.limits.Concurrency {
		return Decision{Refused: true, Reason: ReasonConcurrency, RetryAfter: concurrencyRetryAfter}
	}
	if wait := a.state.requestBucket.waitFor(a.limits.RequestRate, 1, now); wait > 0 {
		return Decision{Refused: true, Reason: ReasonRequestRate, RetryAfter: wait}
	}
	if wait := a.state.tokenBucket.waitFor(a.limits.TokenRate, float64(r.Tokens), now); wait > 0 {
		return Decision{Refused: true, Reason: ReasonTokenRate, RetryAfter: wait}
	}
	return Decision{}
}
