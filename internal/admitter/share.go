package admitter

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Account names a limit that several entries share.
type Account string

// TeamAccount returns the account of a team's limits.
func TeamAccount(t identifier.Team) Account { return Account("team/" + string(t)) }

// ServiceAccount returns the account of a service's limits.
func ServiceAccount(s identifier.Service) Account { return Account("service/" + string(s)) }

// Demand is what an entry asks of an account.
type Demand struct {
	Account Account
	// Rate is the number of requests per second that were asked for, admitted or not.
	Rate float64
	// Running is the number of requests that run.
	Running int
	// Slots is the limit on running requests by the configuration; zero is no limit.
	Slots int
}

// Share is a part of a limit that an entry may use until it expires. It is immutable.
type Share struct {
	Account Account
	// Fraction is the part of the rate limits, from 0 to 1.
	Fraction float64
	// Slots is the number of requests that may run.
	Slots int
	// For is how long the share lasts, counted by the borrower from before it asked and by the lender from when it lent.
	For time.Duration
}

// WithFor returns a copy of s that lasts d.
func (s Share) WithFor(d time.Duration) Share {
	s.For = d
	return s
}
