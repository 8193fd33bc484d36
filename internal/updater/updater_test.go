package updater_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/updater"
)

func members(perRegion int) []updater.Member {
	all := make([]updater.Member, 0, 2*perRegion)
	for _, r := range []identifier.Region{"lagos", "kano"} {
		for i := range perRegion {
			all = append(all, updater.Member{
				Target: identifier.Target(fmt.Sprintf("%s-%d", r, i)), Region: r, Zone: identifier.Zone(fmt.Sprintf("%s-%d", r, i%2)),
			})
		}
	}
	return all
}

// Guards against a tree in which several agents of a region fetch one chunk from the weight store, a cycle, and one
// agent that uploads to all others.
func TestTree(t *testing.T) {
	var out strings.Builder
	tree := updater.NewTree("lagos", members(7))
	for chunk := range 7 {
		roots := 0
		children := make(map[identifier.Target]int)
		depth, most := 0, 0
		for i := range 7 {
			ancestors := tree.Ancestors(identifier.Target(fmt.Sprintf("lagos-%d", i)), chunk)
			if len(ancestors) == 0 {
				roots++
				fmt.Fprintf(&out, "chunk %d: lagos-%d fetches", chunk, i)
				continue
			}
			depth = max(depth, len(ancestors))
			children[ancestors[0].Target]++
			most = max(most, children[ancestors[0].Target])
		}
		fmt.Fprintf(&out, ", %d fetch, depth %d, at most %d pull from one\n", roots, depth, most)
	}
	goldie.New(t).Assert(t, "tree", []byte(out.String()))
}

// Guards against waves that switch too many targets at a time, failed switches that count as done or are not retried,
// pinned targets that switch, and engines that return to an older version without another switch.
func TestWaves(t *testing.T) {
	var out strings.Builder
	targets := []identifier.Target{"a", "b", "c", "d", "e", "f", "g", "h"}
	c := updater.NewChange(5, 0.75, targets...)
	fmt.Fprintf(&out, "before the chunks are there: %v\n", c.Next())
	for _, id := range targets {
		c.MarkFetched(id)
	}
	c.Pin("c")
	wave := c.Next()
	fmt.Fprintf(&out, "first wave %v, then %v\n", wave, c.Next())
	fmt.Fprintf(&out, "a reports 4: %v, b reports 5: %v\n", c.Observe("a", 4) == updater.Failed, c.Observe("b", 5) == updater.Switched)
	for wave = c.Next(); len(wave) > 0; wave = c.Next() {
		fmt.Fprintf(&out, "wave %v\n", wave)
		for _, id := range wave {
			c.Observe(id, 5)
		}
	}
	fmt.Fprintf(&out, "done with c pinned: %v\n", c.Done())
	c.Unpin("c")
	fmt.Fprintf(&out, "unpinned: %v\n", c.Next())
	c.Observe("c", 5)
	fmt.Fprintf(&out, "done: %v\n", c.Done())
	c.Observe("d", 4)
	fmt.Fprintf(&out, "after d fell back: done %v, next %v\n", c.Done(), c.Next())
	goldie.New(t).Assert(t, "waves", []byte(out.String()))
}

// cluster is an in-memory set of agents. Every seventh answer of a peer is damaged and every fifth is lost.
type cluster struct {
	data     []byte
	members  []updater.Member
	caches   map[identifier.Target]*updater.ChunkCache
	clock    timer.Service
	fetched  atomic.Int64
	calls    atomic.Int64
	mu       sync.Mutex
	switches map[identifier.Target]int
	engine   map[identifier.Target]identifier.Version
}

func (c *cluster) Prefetch(ctx context.Context, to updater.Member, m updater.Manifest, all []updater.Member) bool {
	return updater.NewPuller(to, c.caches[to.Target], origin{c}, peers{c}, c.clock).Prefetch(ctx, m, all)
}

// Switch fails at the first attempt. At the second the engine switches and its answer is lost.
func (c *cluster) Switch(_ context.Context, to updater.Member, v identifier.Version, _ identifier.Fence) identifier.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.switches[to.Target]++
	switch c.switches[to.Target] {
	case 1:
		return c.engine[to.Target]
	case 2:
		c.engine[to.Target] = v
		return 0
	default:
		return c.engine[to.Target]
	}
}

type origin struct{ *cluster }

func (o origin) Chunk(_ context.Context, m updater.Manifest, i int) ([]byte, bool) {
	part := o.data[i*int(m.Chunk) : min((i+1)*int(m.Chunk), len(o.data))]
	o.fetched.Add(int64(len(part)))
	return part, true
}

type peers struct{ *cluster }

func (p peers) Chunk(ctx context.Context, from updater.Member, v identifier.Version, i int) ([]byte, bool) {
	data, ok := p.caches[from.Target].Wait(ctx, v, i)
	n := p.calls.Add(1)
	if ok && n%7 == 0 {
		data = append(bytes.Clone(data[1:]), 0)
	}
	return data, ok && n%5 != 0
}

// Guards against weights that are damaged or incomplete at an agent, and against a change that ends before every
// engine has reported the version. Chunks are damaged or lost, and each engine's first switch fails and its second
// answer is lost.
func TestChangeUnderFaults(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewSystem()
	defer clock.Close()
	all := members(9)
	cl := &cluster{
		data: bytes.Repeat([]byte("0123456789abcde"), 1000), members: all, clock: clock,
		caches: make(map[identifier.Target]*updater.ChunkCache), switches: make(map[identifier.Target]int),
		engine: make(map[identifier.Target]identifier.Version),
	}
	targets := make([]identifier.Target, 0, len(all))
	for _, m := range all {
		targets = append(targets, m.Target)
		cl.caches[m.Target] = &updater.ChunkCache{}
	}
	m := updater.NewManifest("sortmind", 2, cl.data, 1024)
	change := updater.NewChange(2, 0.5, targets...)
	c.Assert(updater.NewCoordinator(cl, clock).Run(context.Background(), m, all, change, 1), qt.IsTrue)
	for _, id := range targets {
		c.Assert(cl.caches[id].IsComplete(2), qt.IsTrue)
		c.Assert(cl.engine[id], qt.Equals, identifier.Version(2))
	}
	t.Logf("%d bytes of weights, %d fetched from the weight store", len(cl.data), cl.fetched.Load())
}
