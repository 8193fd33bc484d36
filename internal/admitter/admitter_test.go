package admitter_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/mimosalb/mimosalb/internal/admitter"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

func ask(limits configurator.Limits, tokens identifier.Tokens) admitter.Request {
	return admitter.Request{
		Team:    configurator.Team{Name: "routing", Limits: limits},
		Service: configurator.Service{Name: "matcher"},
		Tokens:  tokens,
	}
}

// Guards against a limit that lets too much through, and against a retry hint that is too short or too long.
func TestLimits(t *testing.T) {
	var out strings.Builder
	play := func(title string, a admitter.Request, times ...time.Duration) {
		fmt.Fprintf(&out, "# %s\n", title)
		adm := admitter.NewAdmitter()
		for _, now := range times {
			answer := adm.Admit(a, now)
			fmt.Fprintf(&out, "at %v: refused %v %s %v\n", now, answer.Refused, answer.Reason, answer.RetryAfter)
		}
	}
	play("one request a second, two at once", ask(configurator.Limits{RequestRate: 1}, 1),
		0, 0, 0, 900*time.Millisecond, time.Second, time.Second)
	play("a hundred tokens a second", ask(configurator.Limits{TokenRate: 100}, 150), 0, 0, time.Second, 2*time.Second)
	play("more tokens than a full bucket", ask(configurator.Limits{TokenRate: 100}, 1000), 0, 0)
	play("two at a time", ask(configurator.Limits{Concurrency: 2}, 1), 0, 0, 0)
	goldie.New(t).Assert(t, "limits", []byte(out.String()))
}

// Guards against work that is charged as asked although less was done.
func TestReleaseReturnsUnusedTokens(t *testing.T) {
	c := qt.New(t)
	adm := admitter.NewAdmitter()
	a := ask(configurator.Limits{TokenRate: 100}, 200)
	c.Assert(adm.Admit(a, 0).Refused, qt.IsFalse)
	adm.Release(a, 10)
	c.Assert(adm.Admit(ask(a.Team.Limits, 190), 0).Refused, qt.IsFalse)
}

// Guards against an entry that goes on with a share after it has expired: the lender may have lent it to another.
func TestShareExpires(t *testing.T) {
	c := qt.New(t)
	adm := admitter.NewAdmitter(admitter.WithSharing())
	a := ask(configurator.Limits{Concurrency: 10}, 1)
	c.Assert(adm.Admit(a, 0).Refused, qt.IsTrue)
	adm.Adopt([]admitter.Share{{Account: admitter.TeamAccount("routing"), Fraction: 0.5, Slots: 5, For: 2 * time.Second}}, 0)
	c.Assert(adm.Admit(a, time.Second).Refused, qt.IsFalse)
	c.Assert(adm.Admit(a, 2*time.Second).Refused, qt.IsTrue)
}

// Guards against limits that are exceeded by all entries together: through deaths of entries, lost answers and new
// lenders, the unexpired shares as the entries see them must never add up to more than the limit.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	const slots = 7
	const shareTime = 2 * time.Second
	type held struct {
		share   admitter.Share
		expires time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		lender := admitter.NewLender(now, shareTime)
		entries := make([]held, 4)
		account := admitter.TeamAccount("routing")
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			},
			"borrow": func(t *rapid.T) {
				i := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
				demand := admitter.Demand{Account: account, Rate: rapid.Float64Range(0, 100).Draw(t, "rate"), Slots: slots}
				asked := now
				shares := lender.Lend(identifier.Node(fmt.Sprint(i)), []admitter.Demand{demand}, now)
				if len(shares) == 1 && rapid.Bool().Draw(t, "answered") {
					entries[i] = held{share: shares[0], expires: asked + shares[0].For}
				}
			},
			"new lender": func(*rapid.T) { lender = admitter.NewLender(now, shareTime) },
			"": func(t *rapid.T) {
				fraction, taken := 0.0, 0
				for _, e := range entries {
					if now < e.expires {
						fraction += e.share.Fraction
						taken += e.share.Slots
					}
				}
				if fraction > 1+1e-9 || taken > slots {
					t.Fatalf("shares add up to %v of the rate and %d of %d slots", fraction, taken, slots)
				}
			},
		})
	})
}

// Guards against a share that stays with an idle entry while another could use it.
func TestIdleShareReturns(t *testing.T) {
	c := qt.New(t)
	lender := admitter.NewLender(0, admitter.DefaultShareTime)
	account := admitter.TeamAccount("routing")
	var busy admitter.Share
	for i := range 10 {
		now := admitter.DefaultShareTime + time.Duration(i)*time.Second
		if i < 3 {
			lender.Lend("idle", []admitter.Demand{{Account: account, Slots: 10}}, now)
		}
		busy = lender.Lend("busy", []admitter.Demand{{Account: account, Rate: 50, Slots: 10}}, now)[0]
	}
	c.Assert(busy.Fraction, qt.Equals, 1.0)
	c.Assert(busy.Slots, qt.Equals, 10)
}

// Guards against a share that is lent twice: an entry whose answer was lost still uses the share that it had before.
func TestLostAnswerKeepsTheOldShareReserved(t *testing.T) {
	c := qt.New(t)
	lender := admitter.NewLender(0, admitter.DefaultShareTime)
	account := admitter.TeamAccount("routing")
	demand := []admitter.Demand{{Account: account, Rate: 1, Slots: 10}}
	now := admitter.DefaultShareTime
	held := lender.Lend("a", demand, now)[0]
	c.Assert(held.Slots, qt.Equals, 10)
	lender.Lend("b", demand, now)
	_ = lender.Lend("a", demand, now)
	other := lender.Lend("b", demand, now)[0]
	c.Assert(held.Slots+other.Slots <= 10, qt.IsTrue, qt.Commentf("%v and %v", held, other))
	c.Assert(held.Fraction+other.Fraction <= 1, qt.IsTrue)
}
