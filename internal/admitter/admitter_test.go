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

func newRequest(limits configurator.Limits, tokens identifier.Tokens) admitter.Request {
	return admitter.Request{
		Team:    configurator.Team{Name: "routing", Limits: limits},
		Service: configurator.Service{Name: "matcher"},
		Tokens:  tokens,
	}
}

// Guards against a limit that admits too much, and against a retry hint that is too short or too long.
func TestLimits(t *testing.T) {
	var out strings.Builder
	show := func(title string, r admitter.Request, times ...time.Duration) {
		fmt.Fprintf(&out, "# %s\n", title)
		adm := admitter.NewAdmitter()
		for _, now := range times {
			d := adm.Admit(r, now)
			fmt.Fprintf(&out, "at %v: refused %v %s %v\n", now, d.Refused, d.Reason, d.RetryAfter)
		}
	}
	show("one request a second, two at once", newRequest(configurator.Limits{RequestRate: 1}, 1),
		0, 0, 0, 900*time.Millisecond, time.Second, time.Second)
	show("a hundred tokens a second", newRequest(configurator.Limits{TokenRate: 100}, 150), 0, 0, time.Second, 2*time.Second)
	show("more tokens than a full bucket", newRequest(configurator.Limits{TokenRate: 100}, 1000), 0, 0)
	show("two at a time", newRequest(configurator.Limits{Concurrency: 2}, 1), 0, 0, 0)
	goldie.New(t).Assert(t, "limits", []byte(out.String()))
}

// Guards against a request that stays charged for its expected tokens although it used fewer.
func TestReleaseReturnsUnusedTokens(t *testing.T) {
	c := qt.New(t)
	adm := admitter.NewAdmitter()
	r := newRequest(configurator.Limits{TokenRate: 100}, 200)
	c.Assert(adm.Admit(r, 0).Refused, qt.IsFalse)
	adm.Release(r, 10)
	c.Assert(adm.Admit(newRequest(r.Team.Limits, 190), 0).Refused, qt.IsFalse)
}

// Guards against an entry that uses a share after its expiry: the allocator may have granted it to another entry.
func TestShareExpires(t *testing.T) {
	c := qt.New(t)
	adm := admitter.NewAdmitter(admitter.WithSharing())
	r := newRequest(configurator.Limits{Concurrency: 10}, 1)
	c.Assert(adm.Admit(r, 0).Refused, qt.IsTrue)
	adm.Adopt([]admitter.Share{{Account: admitter.TeamAccount("routing"), Fraction: 0.5, Slots: 5, TTL: 2 * time.Second}}, 0)
	c.Assert(adm.Admit(r, time.Second).Refused, qt.IsFalse)
	c.Assert(adm.Admit(r, 2*time.Second).Refused, qt.IsTrue)
}

// Guards against entries that together exceed a limit: after crashes of entries, lost answers and restarts of the
// allocator, the unexpired shares by the entries' own clocks must never add up to more than the limit.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	const slots = 7
	const shareTTL = 2 * time.Second
	type heldShare struct {
		share   admitter.Share
		expires time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		allocator := admitter.NewAllocator(now, shareTTL)
		entries := make([]heldShare, 4)
		account := admitter.TeamAccount("routing")
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
			},
			"borrow": func(t *rapid.T) {
				i := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
				demand := admitter.Demand{Account: account, Rate: rapid.Float64Range(0, 100).Draw(t, "rate"), Slots: slots}
				requested := now
				shares := allocator.Allocate(identifier.Node(fmt.Sprint(i)), []admitter.Demand{demand}, now)
				if len(shares) == 1 && rapid.Bool().Draw(t, "answered") {
					entries[i] = heldShare{share: shares[0], expires: requested + shares[0].TTL}
				}
			},
			"new allocator": func(*rapid.T) { allocator = admitter.NewAllocator(now, shareTTL) },
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

// Guards against a share that stays granted to an idle entry while another entry could use it.
func TestIdleShareReturns(t *testing.T) {
	c := qt.New(t)
	allocator := admitter.NewAllocator(0, admitter.DefaultShareTTL)
	account := admitter.TeamAccount("routing")
	var busy admitter.Share
	for i := range 10 {
		now := admitter.DefaultShareTTL + time.Duration(i)*time.Second
		if i < 3 {
			allocator.Allocate("idle", []admitter.Demand{{Account: account, Slots: 10}}, now)
		}
		busy = allocator.Allocate("busy", []admitter.Demand{{Account: account, Rate: 50, Slots: 10}}, now)[0]
	}
	c.Assert(busy.Fraction, qt.Equals, 1.0)
	c.Assert(busy.Slots, qt.Equals, 10)
}

// Guards against a share that is granted twice: an entry whose answer was lost still uses its previous share.
func TestLostAnswerKeepsThePreviousShareReserved(t *testing.T) {
	c := qt.New(t)
	allocator := admitter.NewAllocator(0, admitter.DefaultShareTTL)
	account := admitter.TeamAccount("routing")
	demand := []admitter.Demand{{Account: account, Rate: 1, Slots: 10}}
	now := admitter.DefaultShareTTL
	held := allocator.Allocate("a", demand, now)[0]
	c.Assert(held.Slots, qt.Equals, 10)
	allocator.Allocate("b", demand, now)
	_ = allocator.Allocate("a", demand, now)
	other := allocator.Allocate("b", demand, now)[0]
	c.Assert(held.Slots+other.Slots <= 10, qt.IsTrue, qt.Commentf("%v and %v", held, other))
	c.Assert(held.Fraction+other.Fraction <= 1, qt.IsTrue)
}
