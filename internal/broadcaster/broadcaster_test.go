package broadcaster_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/broadcaster"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// words is a message: the words that were observed after a revision.
type words []string

func (w words) IsEmpty() bool { return len(w) == 0 }

// notebook is a Source of words.
type notebook struct {
	mutex   sync.Mutex
	all     words
	changed chan struct{}
}

func (n *notebook) add(word string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.all = append(n.all, word)
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}

func (n *notebook) Observed(after int) (words, int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.all[min(after, len(n.all)):], len(n.all)
}

func (n *notebook) Changed() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}

func (n *notebook) IsEmpty() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.all) == 0
}

// network delivers messages to peers that are not cut off.
type network struct {
	mutex sync.Mutex
	peers map[string]recorder.Owner
	cut   map[string]bool
	log   []string
}

func (n *network) join(address string, incarnation identifier.Incarnation) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.peers[address] = recorder.Owner{Node: identifier.Node(address), Incarnation: incarnation}
}

func (n *network) setCut(address string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[address] = cut
}

func (n *network) registered() []recorder.Registration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	all := make([]recorder.Registration, 0, len(n.peers))
	for address, owner := range n.peers {
		all = append(all, recorder.Registration{Owner: owner, Address: address})
	}
	return all
}

func (n *network) send(_ context.Context, address string, m words) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	outcome := "received"
	if n.cut[address] {
		outcome = "lost"
	}
	n.log = append(n.log, fmt.Sprintf("%s at %s: %s", outcome, address, strings.Join(m, " ")))
	return !n.cut[address]
}

// take returns what was sent since the last call, in a fixed order.
func (n *network) take() string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	lines := append([]string{}, n.log...)
	n.log = nil
	return sortedLines(lines)
}

// Guards against a peer that never learns what was observed, because its message was lost, because it was cut off, or
// because it started again, and against messages that are sent over and over or while nothing is known.
func TestBroadcast(t *testing.T) {
	clock := &timer.Manual{}
	source := &notebook{}
	net := &network{peers: make(map[string]recorder.Owner), cut: make(map[string]bool)}
	net.join("a", 1)
	net.join("b", 1)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	b := broadcaster.NewBroadcaster(source, net.registered, net.send, clock)
	running.Go(func() { b.Run(ctx) })
	defer running.Wait()
	defer cancel()

	var out strings.Builder
	show := func(what string, rounds int) {
		for range rounds {
			awaitSubscriber(t, clock)
			clock.Advance(500 * time.Millisecond)
		}
		awaitSubscriber(t, clock)
		fmt.Fprintf(&out, "%s\n%s", what, net.take())
	}
	source.add("one")
	show("an observation", 2)
	show("nothing new", 3)
	net.setCut("b", true)
	source.add("two")
	show("b is cut off", 3)
	source.add("three")
	net.setCut("b", false)
	show("b is reached again after another observation", 3)
	net.join("a", 2)
	show("a started again", 2)
	net.join("c", 1)
	show("c is new", 2)
	goldie.New(t).Assert(t, "broadcast", []byte(out.String()))
}

// sortedLines returns the different lines in order, each with a line break.
func sortedLines(lines []string) string {
	slices.Sort(lines)
	var out strings.Builder
	for _, line := range slices.Compact(lines) {
		out.WriteString("  " + line + "\n")
	}
	return out.String()
}

// awaitSubscriber waits until the Broadcaster waits for the clock.
func awaitSubscriber(t *testing.T, clock *timer.Manual) {
	ticks := time.NewTicker(time.Millisecond)
	defer ticks.Stop()
	deadline := time.NewTimer(10 * time.Second)
	defer deadline.Stop()
	for clock.Subscribers() == 0 {
		select {
		case <-ticks.C:
		case <-deadline.C:
			t.Fatal("the broadcaster does not wait for the clock")
		}
	}
}
