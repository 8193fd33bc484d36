package distributor_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// adopter puts documents in force whose body is "revision/withdrawn".
type adopter struct {
	config configurator.Configurator
	saved  distributor.Copy
}

func (a *adopter) Adopt(c distributor.Copy) bool {
	var revision identifier.Revision
	var withdrawn bool
	if _, err := fmt.Sscanf(string(c.Body()), "{%d}{%t}", &revision, &withdrawn); err != nil {
		return false
	}
	a.saved = c
	doc := configurator.Document{}.WithTeams(configurator.Team{Name: "routing"}).WithRevision(revision).
		WithKeys(configurator.Key{Caller: "driver", Team: "routing", Withdrawn: withdrawn})
	return a.config.Adopt(doc) != configurator.Invalid
}

func document(r identifier.Revision, withdrawn bool) distributor.Copy {
	return distributor.NewCopy(r, fmt.Appendf(nil, "{%d}{%t}", r, withdrawn))
}

// node is one process of the machine.
type node struct {
	relay   *distributor.Relay
	adopter *adopter
	highest identifier.Revision
	barred  bool
}

func newNode(saved distributor.Copy) *node {
	n := &node{adopter: &adopter{}}
	n.relay = distributor.NewRelay(distributor.Member{Address: "n"}, time.Second, [distributor.TopicCount]distributor.Adopter{n.adopter})
	n.relay.Offer(distributor.Config, saved)
	return n
}

// machine is a set of nodes that exchange the configuration in any order, lose answers, restart and begin with old
// copies, while an operator edits the stored document.
type machine struct {
	nodes     []*node
	stored    distributor.Copy
	withdrawn bool
	late      []lateUpdate
}

type lateUpdate struct {
	to     int
	update distributor.Update
}

func (m *machine) pick(t *rapid.T, name string) int {
	return rapid.IntRange(0, len(m.nodes)-1).Draw(t, name)
}

// Edit stores the next revision.
func (m *machine) Edit(t *rapid.T) {
	m.withdrawn = m.withdrawn || rapid.Bool().Draw(t, "withdraw")
	m.stored = document(m.stored.Revision()+1, m.withdrawn)
}

// Read lets a node take the stored document, as the root does.
func (m *machine) Read(t *rapid.T) {
	m.nodes[m.pick(t, "root")].relay.Offer(distributor.Config, m.stored)
}

// Ask lets a node ask another. The answer may be late.
func (m *machine) Ask(t *rapid.T) {
	from, to := m.pick(t, "from"), m.pick(t, "to")
	known, _ := m.nodes[to].relay.Known()
	updates, _ := m.nodes[from].relay.Updates(known)
	if len(updates) == 0 {
		return
	}
	u := lateUpdate{to: to, update: updates[0]}
	if rapid.Bool().Draw(t, "late") {
		m.late = append(m.late, u)
		return
	}
	m.nodes[to].relay.Merge(u.update)
}

// Arrive delivers a late answer.
func (m *machine) Arrive(t *rapid.T) {
	if len(m.late) == 0 {
		t.Skip("none is late")
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "late")
	m.nodes[m.late[i].to].relay.Merge(m.late[i].update)
	m.late = append(m.late[:i:i], m.late[i+1:]...)
}

// Restart replaces a node by one that begins with the copy it saved, which must hold what was in force. A node without
// a disk begins with nothing, one whose disk was replaced with an old copy; they are new processes that know no more.
func (m *machine) Restart(t *rapid.T) {
	i := m.pick(t, "node")
	old := m.nodes[i]
	switch rapid.SampledFrom([]string{"disk", "none", "old"}).Draw(t, "copy") {
	case "disk":
		m.nodes[i] = newNode(old.adopter.saved)
		m.nodes[i].highest, m.nodes[i].barred = old.highest, old.barred
	case "none":
		m.nodes[i] = newNode(distributor.Copy{})
	default:
		m.nodes[i] = newNode(document(min(1, m.stored.Revision()), false))
	}
}

// Check holds after every step: config-sticks (the revision never falls, nothing is in force that was not stored) and
// key-withdrawn (a withdrawal that a process knows of stays).
func (m *machine) Check(t *rapid.T) {
	for i, n := range m.nodes {
		doc := n.adopter.config.Current()
		if doc.Revision() < n.highest {
			t.Fatalf("config-sticks: node %d went from revision %d to %d", i, n.highest, doc.Revision())
		}
		if doc.Revision() > m.stored.Revision() {
			t.Fatalf("config-sticks: node %d has revision %d, which was not accepted", i, doc.Revision())
		}
		if doc.Revision() != n.relay.Current(distributor.Config).Revision() {
			t.Fatalf("config-sticks: node %d relays what is not in force", i)
		}
		withdrawn := doc.Revision() > 0 && doc.Keys()[0].Withdrawn
		if n.barred && !withdrawn {
			t.Fatalf("key-withdrawn: node %d brought a withdrawn key back", i)
		}
		n.highest, n.barred = doc.Revision(), withdrawn
	}
}

// Guards against a node that goes back to an older configuration, brings a withdrawn key back or stays behind for good,
// whatever the order of questions, late answers, restarts and edits.
func TestConfigSticks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{}
		for range 4 {
			m.nodes = append(m.nodes, newNode(distributor.Copy{}))
		}
		t.Repeat(rapid.StateMachineActions(m))
		// One round along a chain brings the stored revision everywhere: no state is a dead end.
		m.nodes[0].relay.Offer(distributor.Config, m.stored)
		for i := 1; i < len(m.nodes); i++ {
			for range 2 {
				known, _ := m.nodes[i].relay.Known()
				updates, _ := m.nodes[i-1].relay.Updates(known)
				for _, u := range updates {
					m.nodes[i].relay.Merge(u)
				}
			}
			got := m.nodes[i].adopter.config.Current().Revision()
			require(t, got == m.stored.Revision(), "node %d stays at revision %d of %d", i, got, m.stored.Revision())
		}
	})
}

// Guards against a damaged update that is adopted, and against a node that asks for the same difference for ever.
func TestDamagedUpdateIsRepaired(t *testing.T) {
	c := qt.New(t)
	parent, child := newNode(document(1, false)), newNode(document(1, false))
	parent.relay.Offer(distributor.Config, document(2, true))
	known, _ := child.relay.Known()
	updates, _ := parent.relay.Updates(known)
	damaged := updates[0]
	damaged.Parts = []distributor.Part{{Data: []byte("{2}{false}")}}
	c.Assert(child.relay.Merge(damaged), qt.Equals, distributor.Damaged)
	c.Assert(child.adopter.config.Current().Revision(), qt.Equals, identifier.Revision(1))
	known, _ = child.relay.Known()
	c.Assert(known[distributor.Config], qt.Equals, distributor.Known{})
	updates, _ = parent.relay.Updates(known)
	c.Assert(child.relay.Merge(updates[0]), qt.Equals, distributor.Adopted)
}

// Guards against two documents with one revision of which a node changes from one to the other.
func TestSplitRevisionIsRefused(t *testing.T) {
	c := qt.New(t)
	n := newNode(document(2, true))
	c.Assert(n.relay.Offer(distributor.Config, document(2, false)), qt.Equals, distributor.Conflict)
	c.Assert(n.adopter.config.Current().Keys()[0].Withdrawn, qt.IsTrue)
}

// Guards against a parent that is asked although it does not answer, and against one that is never asked again.
func TestUpstreamBypassesSilentParent(t *testing.T) {
	c := qt.New(t)
	var u distributor.Upstream
	u.SetParents([]distributor.Member{{Address: "a"}, {Address: "b"}})
	next := func(now time.Duration) string {
		address, _ := u.Next(now, time.Second)
		return address
	}
	c.Assert(next(0), qt.Equals, "a")
	u.Fail("a", 0)
	c.Assert(next(time.Second), qt.Equals, "b")
	u.Fail("b", time.Second)
	c.Assert(next(2*time.Second), qt.Equals, "a")
	c.Assert(next(20*time.Second), qt.Equals, "a")
	u.SetRoot("root")
	c.Assert(next(20*time.Second), qt.Equals, "root")
}
