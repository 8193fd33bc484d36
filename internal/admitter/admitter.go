// Package admitter decides whether a request may join the queue under the limits of its team and service.
package admitter

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Ask is a request as the admitter sees it.
type Ask struct {
	Team    configurator.Team
	Service configurator.Service
	// Tokens is the expected engine work.
	Tokens identifier.Tokens
}

// Answer is the outcome of an ask. The zero value admits.
type Answer struct {
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

// Admitter counts the work of teams and services. The zero value has counted nothing.
//
// Invariant: work that was admitted is released exactly once. Lock rank: container.RankAdmitter.
type Admitter struct {
	lock  container.Lock[container.Admitter]
	users map[string]*user
}

// user is the account of a team or service.
type user struct {
	running  int
	requests bucket
	tokens   bucket
}

// Admit counts the ask against its limits or refuses it without counting anything.
func (a *Admitter) Admit(ask Ask, now time.Duration) Answer {
	a.lock.Lock()
	defer a.lock.Unlock()
	accounts := a.accounts(ask)
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
	return Answer{}
}

// Release ends admitted work. used is the engine work that was really done.
func (a *Admitter) Release(ask Ask, used identifier.Tokens) {
	a.lock.Lock()
	defer a.lock.Unlock()
	for _, acc := range a.accounts(ask) {
		acc.user.running--
		if acc.user.running < 0 {
			panic("invariant admission: work is released once")
		}
		acc.user.tokens.take(float64(used - ask.Tokens))
	}
}

// account joins a user with its limits.
type account struct {
	user   *user
	limits configurator.Limits
}

func (a *Admitter) accounts(ask Ask) [2]account {
	return [2]account{
		{user: a.user("team/" + string(ask.Team.Name)), limits: ask.Team.Limits},
		{user: a.user("service/" + string(ask.Service.Name)), limits: ask.Service.Limits},
	}
}

func (a *Admitter) user(name string) *user {
	if a.users == nil {
		a.users = make(map[string]*user)
	}
	u, ok := a.users[name]
	if !ok {
		u = &user{}
		a.users[name] = u
	}
	return u
}

func (a account) check(ask Ask, now time.Duration) Answer {
	if a.limits.Concurrency > 0 && a.user.running >= a.limits.Concurrency {
		return Answer{Refused: true, Reason: ReasonConcurrency, RetryAfter: concurrencyRetry}
	}
	if wait := a.user.requests.wait(a.limits.RequestRate, 1, now); wait > 0 {
		return Answer{Refused: true, Reason: ReasonRequestRate, RetryAfter: wait}
	}
	if wait := a.user.tokens.wait(a.limits.TokenRate, float64(ask.Tokens), now); wait > 0 {
		return Answer{Refused: true, Reason: ReasonTokenRate, RetryAfter: wait}
	}
	return Answer{}
}
