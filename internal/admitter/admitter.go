// Package admitter decides whether a request may join the queue under the limits of its team and service. Entries that
// share limits borrow parts of them from a lender, so that no request needs a call to another process.
package admitter

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Request is a request as the admitter sees it.
type Request struct {
	Team    configurator.Team
	Service configurator.Service
	// Tokens is the expected engine work.
	Tokens identifier.Tokens
}

// Decision is the outcome of an ask. The zero value admits.
type Decision struct {
	Refused bool
	Reason  string
	// RetryAfter is when the limit that refused the ask will have room.
	RetryAfter time.Duration
}

// Reasons of a refusal.
const (
	ReasonRequestRate = "request-rate"
	ReasonTokenRate   = "token-rate"
	ReasonConcurrency = "concurrency"
)

// concurrencyRetry is the retry hint when a concurrency limit refuses; requests end at times that are not known.
const concurrencyRetry = time.Second

// Admitter counts the work of teams and services. The zero value has counted nothing and owns every limit whole.
//
// Invariants: work that was admitted is released exactly once; with sharing, an entry uses no more than its unexpired
// shares. Lock rank: container.RankAdmitter.
type Admitter struct {
	lock    container.Lock[container.Admitter]
	users   map[Account]*user
	sharing bool
}

// user is what the admitter knows of an account.
type user struct {
	running  int
	requests bucket
	tokens   bucket
	asked    float64
	slots    int
	share    Share
	expires  time.Duration
}

// Option sets a property of an Admitter.
type Option func(*Admitter)

// WithSharing makes the admitter use shares of the limits instead of whole ones.
func WithSharing() Option { return func(a *Admitter) { a.sharing = true } }

// NewAdmitter returns an Admitter that has counted nothing.
func NewAdmitter(opts ...Option) *Admitter {
	a := &Admitter{}
	for _, o := range opts {
		o(a)
	}
	return a
}

// Admit counts the ask against its limits or refuses it without counting anything. now is the boot clock time.
func (a *Admitter) Admit(ask Request, now time.Duration) Decision {
	a.lock.Lock()
	defer a.lock.Unlock()
	accounts := a.accounts(ask, now)
	for _, acc := range accounts {
		acc.user.asked++
	}
	for _, acc := range accounts {
		if refusal := acc.check(ask, now); refusal.Refused {
			return refusal
		}
	}
	for _, acc := range accounts {
		acc.user.running++
		acc.user.requests.take(1)
		acc.user.tokens.take(float64(ask.Tokens))
	}
	return Decision{}
}

// Release ends admitted work. used is the engine work that was really done.
func (a *Admitter) Release(ask Request, used identifier.Tokens) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, acc := range a.accounts(ask, 0) {
		acc.user.running--
		if acc.user.running < 0 {
			panic("invariant admission: work is released once")
		}
		acc.user.tokens.take(float64(used - ask.Tokens))
	}
}

// Demands returns the demand on each limited account since the last call, period ago, and forgets idle accounts.
func (a *Admitter) Demands(period time.Duration) []Demand {
	a.lock.Lock()
	defer a.lock.Unlock()
	demands := make([]Demand, 0, len(a.users))
	for account, u := range a.users {
		if u.asked == 0 && u.running == 0 {
			delete(a.users, account)
			continue
		}
		demands = append(demands, Demand{Account: account, Rate: u.asked / period.Seconds(), Running: u.running, Slots: u.slots})
		u.asked = 0
	}
	return demands
}

// Adopt takes over shares. asked is the boot clock time before the lender was asked.
func (a *Admitter) Adopt(shares []Share, asked time.Duration) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, s := range shares {
		if u, ok := a.users[s.Account]; ok {
			u.share, u.expires = s, asked+s.For
		}
	}
}

// account joins a user with the part of its limits that this entry may use.
type account struct {
	user   *user
	limits configurator.Limits
	// bounded is set when the limits are a share, of which nothing may be left.
	bounded bool
}

func (a *Admitter) accounts(ask Request, now time.Duration) [2]account {
	return [2]account{
		a.account(TeamAccount(ask.Team.Name), ask.Team.Limits, now),
		a.account(ServiceAccount(ask.Service.Name), ask.Service.Limits, now),
	}
}

func (a *Admitter) account(name Account, limits configurator.Limits, now time.Duration) account {
	u := a.user(name)
	u.slots = limits.Concurrency
	if !a.sharing || limits == (configurator.Limits{}) {
		return account{user: u, limits: limits}
	}
	share := u.share
	if now >= u.expires {
		share = Share{}
	}
	limits.RequestRate *= share.Fraction
	limits.TokenRate *= share.Fraction
	if limits.Concurrency > 0 {
		limits.Concurrency = share.Slots
	}
	return account{user: u, limits: limits, bounded: share.Fraction == 0 || u.slots > 0 && share.Slots == 0}
}

func (a *Admitter) user(name Account) *user {
	if a.users == nil {
		a.users = make(map[Account]*user)
	}
	u, ok := a.users[name]
	if !ok {
		u = &user{}
		a.users[name] = u
	}
	return u
}

func (a account) check(ask Request, now time.Duration) Decision {
	if a.bounded || a.limits.Concurrency > 0 && a.user.running >= a.limits.Concurrency {
		return Decision{Refused: true, Reason: ReasonConcurrency, RetryAfter: concurrencyRetry}
	}
	if wait := a.user.requests.wait(a.limits.RequestRate, 1, now); wait > 0 {
		return Decision{Refused: true, Reason: ReasonRequestRate, RetryAfter: wait}
	}
	if wait := a.user.tokens.wait(a.limits.TokenRate, float64(ask.Tokens), now); wait > 0 {
		return Decision{Refused: true, Reason: ReasonTokenRate, RetryAfter: wait}
	}
	return Decision{}
}
