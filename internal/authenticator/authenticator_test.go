package authenticator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
)

var pepper = []byte("pepper")

func keys(withdrawn ...bool) configurator.Document {
	d := configurator.Document{}.WithTeams(configurator.Team{Name: "routing"})
	for i, w := range withdrawn {
		name := fmt.Sprintf("key-%d", i)
		d = d.WithKey(configurator.Key{
			Caller: identifier.Caller(name), Team: "routing", Hash: authenticator.Hash(pepper, name), Withdrawn: w,
		})
	}
	return d
}

// Guards against keys that are accepted indefinitely during an outage of the key-value service, and against keys that
// are rejected as soon as an outage begins.
func TestKeyGrace(t *testing.T) {
	var out strings.Builder
	clock := &timer.Manual{}
	provenAt, proven := time.Duration(0), false
	a := authenticator.NewAuthenticator(authenticator.WithPepper(pepper), authenticator.WithFreshnessCheck(
		authenticator.FreshWithin(authenticator.DefaultGrace, func() (time.Duration, bool) { return clock.Monotonic() - provenAt, proven })))
	a.Adopt(keys(false, true))
	show := func(when string) {
		_, _, good := a.Authenticate("key-0")
		_, _, withdrawn := a.Authenticate("key-1")
		fmt.Fprintf(&out, "%s: good key %v, withdrawn key %v\n", when, good == authenticator.Accepted, withdrawn == authenticator.Accepted)
	}
	show("before any proof")
	proven = true
	show("after a proof")
	clock.Advance(authenticator.DefaultGrace)
	show("at the end of keygrace")
	clock.Advance(time.Second)
	show("a second later")
	provenAt = clock.Monotonic()
	show("after the next proof")
	goldie.New(t).Assert(t, "keygrace", []byte(out.String()))
}

// Guards against accepting a withdrawn key again, and against an open request that is not signalled when its key is
// withdrawn. Documents arrive in any order.
func TestKeyWithdrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var config configurator.Configurator
		a := authenticator.NewAuthenticator(authenticator.WithPepper(pepper))
		open, withdrawn := make(map[string]<-chan struct{}), make(map[string]bool)
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			flags := rapid.SliceOfN(rapid.Bool(), 3, 3).Draw(t, "withdrawn")
			revision := identifier.Revision(rapid.IntRange(max(1, step-3), step+3).Draw(t, "revision"))
			// A document of an old revision is not adopted, so neither its withdrawn nor its valid keys may count.
			if config.Adopt(keys(flags...).WithRevision(revision)) == configurator.Adopted {
				for i, w := range flags {
					name := fmt.Sprintf("key-%d", i)
					withdrawn[name] = withdrawn[name] || w
				}
			}
			a.Adopt(config.Current())
			for name, w := range withdrawn {
				_, revoked, verdict := a.Authenticate(name)
				ok := verdict == authenticator.Accepted
				if ok == w {
					t.Fatalf("key-withdrawn: Authenticate(%s) returned %v at step %d", name, ok, step)
				}
				if ok && open[name] == nil {
					open[name] = revoked
				}
				select {
				case <-open[name]:
					if !w {
						t.Fatalf("%s is revoked although it was not withdrawn", name)
					}
				default:
					if w && open[name] != nil {
						t.Fatalf("key-withdrawn: an open request with %s was not signalled", name)
					}
				}
			}
		}
	})
}

// Guards against an open request that is not signalled when the hash of its key is replaced.
func TestReplacedKeyIsRevoked(t *testing.T) {
	c := qt.New(t)
	a := authenticator.NewAuthenticator(authenticator.WithPepper(pepper))
	a.Adopt(keys(false))
	_, revoked, verdict := a.Authenticate("key-0")
	c.Assert(verdict, qt.Equals, authenticator.Accepted)
	d := keys(false)
	k := d.Keys()[0]
	k.Hash = authenticator.Hash(pepper, "other")
	a.Adopt(d.WithKey(k))
	_, _, verdict = a.Authenticate("key-0")
	c.Assert(verdict, qt.Equals, authenticator.Refused)
	<-revoked
}

// Guards against a valid key that is refused as unknown by an entry that has started and not adopted its keys yet. A
// caller does not repeat a request after that refusal.
func TestNoKeyIsJudgedBeforeAdoption(t *testing.T) {
	c := qt.New(t)
	a := authenticator.NewAuthenticator(authenticator.WithPepper(pepper))
	_, _, verdict := a.Authenticate("key-0")
	c.Assert(verdict, qt.Equals, authenticator.Undecided)
	a.Adopt(keys(false))
	_, _, verdict = a.Authenticate("key-0")
	c.Assert(verdict, qt.Equals, authenticator.Accepted)
	_, _, verdict = a.Authenticate("another")
	c.Assert(verdict, qt.Equals, authenticator.Refused)
}
