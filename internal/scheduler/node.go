package scheduler

import (
	"container/heap"

	"github.com/mimosalb/mimosalb/internal/container"
)

// pathLength is the number of levels below a class: kind of work, team and caller.
const pathLength = 3

// flow is the name and weight of a child on one level.
type flow struct {
	name   string
	weight float64
}

// node is a fair queue over its children or, on the last level, a FIFO queue of items. The start and finish tags and
// the virtual time of start-time fair queueing are in weighted tokens.
type node[T any] struct {
	name        string
	weight      float64
	startTag    float64
	finishTag   float64
	heapIndex   int
	virtualTime float64
	backlog     float64
	items       container.Queue[Item[T]]
	active      activeHeap[T]
	children    map[string]*node[T]
}

// push queues an item at the end of the path below n.
func (n *node[T]) push(item Item[T], path [pathLength]flow) {
	n.pushAlong(item, path[:])
}

func (n *node[T]) pushAlong(item Item[T], path []flow) {
	n.backlog += item.cost()
	if len(path) == 0 {
		n.items.Push(item)
		return
	}
	c := n.child(path[0])
	idle := c.backlog == 0
	c.pushAlong(item, path[1:])
	if idle {
		c.startTag = max(n.virtualTime, c.finishTag)
		heap.Push(&n.active, c)
	}
}

// pop removes the item of the active children with the lowest start tags and charges its cost to their flows.
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
	n.virtualTime = max(n.virtualTime, c.startTag)
	c.finishTag = c.startTag + item.cost()/c.weight
	if c.empty() {
		// Adding and subtracting floating-point costs may leave a remainder; an empty flow has no backlog.
		c.backlog = 0
		heap.Pop(&n.active)
		n.pruneIdle()
		return item, true
	}
	c.startTag = c.finishTag
	heap.Fix(&n.active, 0)
	return item, true
}

// charge adds work to the flows of a path whose item was already popped. Negative work is a credit.
func (n *node[T]) charge(path [pathLength]flow, work float64) {
	parent := n
	for _, f := range path {
		c, ok := parent.children[f.name]
		if !ok {
			return
		}
		c.finishTag = max(0, c.finishTag+work/c.weight)
		if !c.empty() {
			c.startTag = max(parent.virtualTime, c.startTag+work/c.weight)
			heap.Fix(&parent.active, c.heapIndex)
		}
		parent = c
	}
}

// workAhead returns the work that is served before a new item at the end of the path, assuming that the set of active
// flows stays the same: on each level a flow's backlog is served at its weighted share of the rate.
func (n *node[T]) workAhead(path [pathLength]flow) float64 {
	share, parent := 1.0, n
	backlog := n.backlog
	for _, f := range path {
		total := 0.0
		for _, c := range parent.active {
			if c.name != f.name {
				total += c.weight
			}
		}
		share *= weightOrOne(f.weight) / (total + weightOrOne(f.weight))
		c, ok := parent.children[f.name]
		if !ok {
			return 0
		}
		parent, backlog = c, c.backlog
	}
	return min(n.backlog, backlog/share)
}

func (n *node[T]) empty() bool { return len(n.active) == 0 && n.items.Len() == 0 }

// child returns the child of a flow, which it creates if needed, and updates its weight.
func (n *node[T]) child(f flow) *node[T] {
	if n.children == nil {
		n.children = make(map[string]*node[T])
	}
	c, ok := n.children[f.name]
	if !ok {
		c = &node[T]{name: f.name}
		n.children[f.name] = c
	}
	c.weight = weightOrOne(f.weight)
	return c
}

// pruneThreshold is the number of children above which idle children are removed.
const pruneThreshold = 1024

// pruneIdle removes idle children above pruneThreshold whose finish tag is not ahead of the virtual time: a new child
// would start at the same tag.
func (n *node[T]) pruneIdle() {
	if len(n.children) <= pruneThreshold {
		return
	}
	for name, c := range n.children {
		if c.empty() && c.finishTag <= n.virtualTime {
			delete(n.children, name)
		}
	}
}

func weightOrOne(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// activeHeap orders the children that have items by start tag. Names break ties, so that the order does not depend on
// that of a map.
type activeHeap[T any] []*node[T]

func (h activeHeap[T]) Len() int { return len(h) }

func (h activeHeap[T]) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].name < h[j].name
}

func (h activeHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push adds x, which is a *node[T], at the end.
func (h *activeHeap[T]) Push(x any) {
	n, ok := x.(*node[T])
	if !ok {
		panic("invariant fair-queue: the heap of active flows holds only nodes")
	}
	n.heapIndex = len(*h)
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
