package scheduler

import (
	"container/heap"

	"github.com/mimosalb/mimosalb/internal/container"
)

// depth is the number of levels below a class: kind of work, team, caller.
const depth = 3

// flow names a child on one level with its weight.
type flow struct {
	name   string
	weight float64
}

// node is a fair queue over its children, or, on the last level, a queue of items. Tags are in weighted tokens.
type node[T any] struct {
	name     string
	weight   float64
	start    float64
	finish   float64
	index    int
	virtual  float64
	backlog  float64
	items    container.Queue[Item[T]]
	active   activeHeap[T]
	children map[string]*node[T]
}

// push queues an item at the end of the path below n.
func (n *node[T]) push(item Item[T], path [depth]flow) {
	n.descend(item, path[:])
}

func (n *node[T]) descend(item Item[T], path []flow) {
	n.backlog += item.cost()
	if len(path) == 0 {
		n.items.Push(item)
		return
	}
	c := n.child(path[0])
	idle := c.backlog == 0
	c.descend(item, path[1:])
	if idle {
		c.start = max(n.virtual, c.finish)
		heap.Push(&n.active, c)
	}
}

// pop removes the item that is due first and charges its flows.
func (n *node[T]) pop() (Item[T], bool) {
	if len(n.active) == 0 {
		item, ok := n.items.Pop()
		if ok {
			n.backlog -= item.cost()
		}
		return item, ok
	}
	c := n.active[0]
	item, ok := c.pop()
	if !ok {
		panic("invariant fair-queue: an active flow has an item")
	}
	n.backlog -= item.cost()
	n.virtual = max(n.virtual, c.start)
	c.finish = c.start + item.cost()/c.weight
	if c.empty() {
		// Sums of floating-point costs may leave a rest; an empty flow has none.
		c.backlog = 0
		heap.Pop(&n.active)
		n.forget()
		return item, true
	}
	c.start = c.finish
	heap.Fix(&n.active, 0)
	return item, true
}

// charge adds work to the flows of a path after it was popped.
func (n *node[T]) charge(path [depth]flow, work float64) {
	at := n
	for _, f := range path {
		c, ok := at.children[f.name]
		if !ok {
			return
		}
		c.finish = max(0, c.finish+work/c.weight)
		if !c.empty() {
			c.start = max(at.virtual, c.start+work/c.weight)
			heap.Fix(&at.active, c.index)
		}
		at = c
	}
}

// ahead returns the work that is served before an item at the end of the path, if every flow stays as busy as it is:
// on each level the flow's own backlog takes its weighted part of the service.
func (n *node[T]) ahead(path [depth]flow) float64 {
	share, at := 1.0, n
	own := n.backlog
	for _, f := range path {
		total := 0.0
		for _, c := range at.active {
			if c.name != f.name {
				total += c.weight
			}
		}
		share *= weight(f.weight) / (total + weight(f.weight))
		c, ok := at.children[f.name]
		if !ok {
			return 0
		}
		at, own = c, c.backlog
	}
	return min(n.backlog, own/share)
}

func (n *node[T]) empty() bool { return len(n.active) == 0 && n.items.Len() == 0 }

// child returns the child of a flow with the flow's present weight.
func (n *node[T]) child(f flow) *node[T] {
	if n.children == nil {
		n.children = make(map[string]*node[T])
	}
	c, ok := n.children[f.name]
	if !ok {
		c = &node[T]{name: f.name}
		n.children[f.name] = c
	}
	c.weight = weight(f.weight)
	return c
}

// idleFlows is the number of children above which idle ones are dropped.
const idleFlows = 1024

// forget drops idle children that would gain nothing from being remembered, when there are many.
func (n *node[T]) forget() {
	if len(n.children) <= idleFlows {
		return
	}
	for name, c := range n.children {
		if c.empty() && c.finish <= n.virtual {
			delete(n.children, name)
		}
	}
}

func weight(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// activeHeap orders the flows that have items by start tag; the name breaks ties so that the order does not depend on
// the map.
type activeHeap[T any] []*node[T]

func (h activeHeap[T]) Len() int { return len(h) }

func (h activeHeap[T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].name < h[j].name
}

func (h activeHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds x, which is a *node[T], at the end.
func (h *activeHeap[T]) Push(x any) {
	n, ok := x.(*node[T])
	if !ok {
		panic("invariant fair-queue: only flows are active")
	}
	n.index = len(*h)
	*h = append(*h, n)
}

// Pop removes the last flow.
func (h *activeHeap[T]) Pop() any {
	old := *h
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return n
}
