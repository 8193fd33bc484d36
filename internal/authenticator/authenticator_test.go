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

// Guards against keys that work for ever during an outage, and against keys that stop working as soon as it begins.
func TestKeyGrace(t *testing.T) {
	var out strings.Builder
	clock := &timer.Manual{}
	proven, proof := time.Duration(0), false
	a := authenticator.NewAuthenticator(authenticator.WithPepper(pepper), authenticator.WithFreshnessCheck(
		authenticator.FreshWithin(authenticator.DefaultGrace, func() (time.Duration, bool) { return clock.Boot() - proven, proof })))
	a.Adopt(keys(false, true))
	show := func(what string) {
		_, _, good := a.Authenticate("key-0")
		_, _, withdrawn := a.Authenticate("key-1")
		fmt.Fprintf(&out, "%s: good key %v, withdrawn key %v\n", what, good, withdrawn)
	}
	show("before any proof")
	proof = true
	show("after a proof")
	clock.Advance(authenticator.DefaultGrace)
	show("at the end of keygrace")
	clock.Advance(time.Second)
	show("a second later")
	proven = clock.Boot()
	show("after the next proof")
	goldie.New(t).Assert(t, "keygrace", []byte(out.String()))
}

// Guards against a withdrawn key that works again, and against an open request that is not told of a withdrawal,
// whatever the order in which documents arrive.
func TestKeyWithdrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var config configurator.Configurator
		a := authenticator.NewAuthenticator(authenticator.WithPepper(pepper))
		open, withdrawn := make(map[string]<-chan struct{}), make(map[string]bool)
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			flags := rapid.SliceOfN(rapid.Bool(), 3, 3).Draw(t, "withdrawn")
			revision := identifier.Revision(rapid.IntRange(max(1, step-3), step+3).Draw(t, "revision"))
			// A document of an old revision is not adopted; its withdrawals and its lack of them must not count.
			if config.Adopt(keys(flags...).WithRevision(revision)) == configurator.Adopted {
				for i, w := range flags {
					name := fmt.Sprintf("key-%d", i)
					withdrawn[name] = withdrawn[name] || w
				}
			}
			a.Adopt(config.Current())
			for name, w := range withdrawn {
				_, revoked, ok := a.Authenticate(name)
				if ok == w {
					t.Fatalf("key-withdrawn: %s works %v at step %d", name, ok, step)
				}
				if ok && open[name] == nil {
					open[name] = revoked
				}
				select {
				case <-open[name]:
					if !w {
						t.Fatalf("%s is cut although it was not withdrawn", name)
					}
				default:
					if w && open[name] != nil {
						t.Fatalf("key-withdrawn: an open request of %s was not told", name)
					}
				}
			}
		}
	})
}

// Guards against a key whose hash another team's key replaces while a request with it is open.
func TestReplacedKeyIsCut(t *testing.T) {
	c := qt.New(t)
	a := authenticator.NewAuthenticator(authenticator.WithPepper(pepper))
	a.Adopt(keys(false))
	_, revoked, ok := a.Authenticate("key-0")
	c.Assert(ok, qt.IsTrue)
	d := keys(false)
	k := d.Keys()[0]
	k.Hash = authenticator.Hash(pepper, "other")
	a.Adopt(d.WithKey(k))
	_, _, ok = a.Authenticate("key-0")
	c.Assert(ok, qt.IsFalse)
	<-revoked
}
