package admitter

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Account identifies the team or service whose limits several entries share.
type Account string

// TeamAccount returns the account of a team's limits.
func TeamAccount(t identifier.Team) Account { return Account("team/" + string(t)) }

// ServiceAccount returns the account of a service's limits.
func ServiceAccount(s identifier.Service) Account { return Account("service/" + string(s)) }

// Demand is the use that an entry makes of an account.
type Demand struct {
	Account Account
	// Rate is the number of requests per second, admitted or not.
	Rate float64
	// Running is the number of running requests.
	Running int
	// Slots is the configured limit on running requests; zero means no limit.
	Slots int
}

// Share is the part of an account's limits that an entry may use until the share expires. It is immutable.
type Share struct {
	Account Account
	// Fraction is the fraction of the rate limits, from 0 to 1.
	Fraction float64
	// Slots is the number of requests that may run at a time.
	Slots int
	// TTL is the lifetime of the share. The entry counts it from before its call and the allocator from the allocation,
	// so that the entry's share expires first.
	TTL time.Duration
}

// WithTTL returns a copy of s with another lifetime.
func (s Share) WithTTL(d time.Duration) Share {
	s.TTL = d
	return s
}
