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

// adopter puts in force documents whose body is "{revision}{withdrawn}".
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

// node is one process of the cluster. highest and keyWithdrawn hold its state at the last check.
type node struct {
	relay        *distributor.Relay
	adopter      *adopter
	highest      identifier.Revision
	keyWithdrawn bool
}

func newNode(saved distributor.Copy) *node {
	n := &node{adopter: &adopter{}}
	n.relay = distributor.NewRelay(distributor.Member{Address: "n"}, time.Second, [distributor.TopicCount]distributor.Adopter{n.adopter})
	n.relay.Offer(distributor.Config, saved)
	return n
}

// cluster is the model of the property test: nodes exchange the configuration in any order, get answers late or never,
// restart and begin with old copies, while an operator edits the stored document.
type cluster struct {
	nodes     []*node
	stored    distributor.Copy
	withdrawn bool
	late      []lateUpdate
}

type lateUpdate struct {
	to     int
	update distributor.Update
}

func (m *cluster) pick(t *rapid.T, name string) int {
	return rapid.IntRange(0, len(m.nodes)-1).Draw(t, name)
}

// Edit stores the next revision.
func (m *cluster) Edit(t *rapid.T) {
	m.withdrawn = m.withdrawn || rapid.Bool().Draw(t, "withdraw")
	m.stored = document(m.stored.Revision()+1, m.withdrawn)
}

// Read offers the stored document to a node, as the root does after reading it.
func (m *cluster) Read(t *rapid.T) {
	m.nodes[m.pick(t, "root")].relay.Offer(distributor.Config, m.stored)
}

// Ask sends the updates of one node to another. The answer may be late.
func (m *cluster) Ask(t *rapid.T) {
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

// Arrive delivers one of the late answers.
func (m *cluster) Arrive(t *rapid.T) {
	if len(m.late) == 0 {
		t.Skip("no answer is late")
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "late")
	m.nodes[m.late[i].to].relay.Merge(m.late[i].update)
	m.late = append(m.late[:i:i], m.late[i+1:]...)
}

// Restart replaces a node by a new process. With its disk the node begins with the copy that it saved, which must be
// the one in force, and the checks of the old process still apply. Without a disk it begins with no copy, and with a
// replaced disk with an old one; then the checks start anew.
func (m *cluster) Restart(t *rapid.T) {
	i := m.pick(t, "node")
	old := m.nodes[i]
	switch rapid.SampledFrom([]string{"disk", "none", "old"}).Draw(t, "copy") {
	case "disk":
		m.nodes[i] = newNode(old.adopter.saved)
		m.nodes[i].highest, m.nodes[i].keyWithdrawn = old.highest, old.keyWithdrawn
	case "none":
		m.nodes[i] = newNode(distributor.Copy{})
	default:
		m.nodes[i] = newNode(document(min(1, m.stored.Revision()), false))
	}
}

// Check runs after every step. It checks config-sticks (the revision never falls, and only stored documents are in
// force) and key-withdrawn (a key stays withdrawn once a process has the withdrawal).
func (m *cluster) Check(t *rapid.T) {
	for i, n := range m.nodes {
		doc := n.adopter.config.Current()
		if doc.Revision() < n.highest {
			t.Fatalf("config-sticks: node %d went from revision %d to %d", i, n.highest, doc.Revision())
		}
		if doc.Revision() > m.stored.Revision() {
			t.Fatalf("config-sticks: node %d has revision %d, which was not accepted", i, doc.Revision())
		}
		if doc.Revision() != n.relay.Current(distributor.Config).Revision() {
			t.Fatalf("config-sticks: node %d relays revision %d while revision %d is in force", i,
				n.relay.Current(distributor.Config).Revision(), doc.Revision())
		}
		withdrawn := doc.Revision() > 0 && doc.Keys()[0].Withdrawn
		if n.keyWithdrawn && !withdrawn {
			t.Fatalf("key-withdrawn: node %d accepts a withdrawn key again at revision %d", i, doc.Revision())
		}
		n.highest, n.keyWithdrawn = doc.Revision(), withdrawn
	}
}

// Guards against a node that returns to an older configuration, accepts a withdrawn key again or never gets the stored
// revision, in any order of requests, late answers, restarts and edits.
func TestConfigSticks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &cluster{}
		for range 4 {
			m.nodes = append(m.nodes, newNode(distributor.Copy{}))
		}
		t.Repeat(rapid.StateMachineActions(m))
		// From any state, one round of updates along a chain of nodes brings the stored revision to every node.
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

// Guards against a damaged update that is adopted, and against a node that keeps requesting the same delta after one.
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

// Guards against a node that replaces its document by a different one with the same revision.
func TestConflictingRevisionIsRefused(t *testing.T) {
	c := qt.New(t)
	n := newNode(document(2, true))
	c.Assert(n.relay.Offer(distributor.Config, document(2, false)), qt.Equals, distributor.Conflict)
	c.Assert(n.adopter.config.Current().Keys()[0].Withdrawn, qt.IsTrue)
}

// Guards against a parent that is asked again right after it did not answer, and against one that is never asked
// again.
func TestUpstreamSkipsSilentParent(t *testing.T) {
	c := qt.New(t)
	var u distributor.Upstream
	u.SetParents([]distributor.Member{{Address: "a"}, {Address: "b"}})
	next := func(now time.Duration) string {
		address, _ := u.Next(now, time.Second)
		return address
	}
	c.Assert(next(0), qt.Equals, "a")
	u.RecordFailure("a", 0)
	c.Assert(next(time.Second), qt.Equals, "b")
	u.RecordFailure("b", time.Second)
	c.Assert(next(2*time.Second), qt.Equals, "a")
	c.Assert(next(20*time.Second), qt.Equals, "a")
	u.SetRoot("root")
	c.Assert(next(20*time.Second), qt.Equals, "root")
}
