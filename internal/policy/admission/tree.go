package admission

import (
	"siskinloom.example/siskinloom/internal/policy/indexheap"
	"siskinloom.example/siskinloom/internal/wire"
)

// node is a place in the tree of shares: the root, a business, an agency or a
// caller. A caller holds requests, the others hold the nodes below them.
type node struct {
	parent   *node
	weight   float64
	children map[string]*node

	// start is the node's start tag in its parent's virtual time: what it was
	// served so far, divided by its weight. The lowest tag goes first.
	start float64
	// vtime is the start tag of the child served last. A child that comes back
	// from idleness starts there, so idle time gives no credit.
	vtime float64

	active       *indexheap.Heap[*node] // children with waiting requests, lowest start first
	activeWeight float64                // sum of the weights in active
	index        int                    // in the parent's active; None while idle
	order        uint64                 // breaks ties of start in the order of activation

	queued     int
	queuedCost float64
	lanes      []*lane // callers only, highest priority first
}

// lane holds a caller's waiting requests of one priority, earliest deadline
// first.
type lane struct {
	priority int
	cost     float64
	entries  *indexheap.Heap[*entry]
}

type tree struct {
	root    *node
	weights map[wire.Principal]float64
	order   uint64
}

func newTree(weights map[wire.Principal]float64) *tree {
	return &tree{root: newNode(nil, 1), weights: weights}
}

func newNode(parent *node, weight float64) *node {
	return &node{
		parent: parent,
		weight: weight,
		index:  indexheap.NotInHeap,
		active: indexheap.New(earlier, func(n *node) *int { return &n.index }),
	}
}

// earlier orders nodes by start tag.
func earlier(a, b *node) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.order < b.order
}

func (t *tree) weightOf(p wire.Principal) float64 {
	if w := t.weights[p]; w > 0 {
		return w
	}
	return 1
}

// leaf returns the caller's node, created when it is first seen. The callers
// are the declared ones, which bounds the tree.
func (t *tree) leaf(p wire.Principal) *node {
	business := t.child(t.root, p.Business, wire.Principal{Business: p.Business})
	agency := t.child(business, p.Agency, wire.Principal{Business: p.Business, Agency: p.Agency})
	return t.child(agency, p.Caller, p)
}

func (t *tree) child(parent *node, name string, p wire.Principal) *node {
	if n := parent.children[name]; n != nil {
		return n
	}
	if parent.children == nil {
		parent.children = map[string]*node{}
	}
	n := newNode(parent, t.weightOf(p))
	parent.children[name] = n
	return n
}

// reweigh applies newly declared weights to the nodes there are.
func (t *tree) reweigh(weights map[wire.Principal]float64) {
	t.weights = weights
	for business, b := range t.root.children {
		t.setWeight(b, wire.Principal{Business: business})
		for agency, a := range b.children {
			t.setWeight(a, wire.Principal{Business: business, Agency: agency})
			for caller, c := range a.children {
				t.setWeight(c, wire.Principal{Business: business, Agency: agency, Caller: caller})
			}
		}
	}
}

func (t *tree) setWeight(n *node, p wire.Principal) {
	w := t.weightOf(p)
	if n.index >= 0 {
		n.parent.activeWeight += w - n.weight
	}
	n.weight = w
}

func (t *tree) push(e *entry) {
	leaf := e.leaf
	lane := leaf.lane(e.item.Priority)
	lane.entries.Push(e)
	lane.cost += e.cost
	for n := leaf; n != nil; n = n.parent {
		n.queued++
		n.queuedCost += e.cost
		t.activate(n)
	}
}

func (t *tree) activate(n *node) {
	if n.parent == nil || n.index >= 0 {
		return
	}
	n.start = max(n.start, n.parent.vtime)
	n.order = t.order
	t.order++
	n.parent.activeWeight += n.weight
	n.parent.active.Push(n)
}

// pop takes the request whose turn it is and charges its cost on its way up.
func (t *tree) pop() *entry {
	if t.root.queued == 0 {
		return nil
	}
	n := t.root
	for n.active.Len() > 0 {
		next := n.active.First()
		n.vtime = max(n.vtime, next.start)
		n = next
	}
	e := n.lanes[0].entries.First()
	t.remove(e)
	t.charge(e.leaf, e.cost)
	return e
}

// remove takes a waiting request out without charging for it.
func (t *tree) remove(e *entry) {
	leaf := e.leaf
	lane := leaf.lane(e.item.Priority)
	lane.entries.Remove(e)
	lane.cost -= e.cost
	if lane.entries.Len() == 0 {
		leaf.dropLane(lane)
	}
	for n := leaf; n != nil; n = n.parent {
		n.queued--
		n.queuedCost -= e.cost
		if n.queued == 0 {
			n.queuedCost = 0
			n.deactivate()
		}
	}
}

func (n *node) deactivate() {
	if n.index < 0 {
		return
	}
	n.parent.activeWeight -= n.weight
	n.parent.active.Remove(n)
	if n.parent.active.Len() == 0 {
		n.parent.activeWeight = 0
	}
}

// charge moves the tags of a caller, its agency and its business by cost
// seconds of slot time; a negative cost gives back what was estimated too high.
func (t *tree) charge(leaf *node, cost float64) {
	for n := leaf; n.parent != nil; n = n.parent {
		n.start += cost / n.weight
		if n.index >= 0 {
			n.parent.active.Fix(n)
		}
	}
}

// share returns the part of the endpoint that the caller is due while the
// nodes with waiting requests, and itself, compete.
func (n *node) share() float64 {
	share := 1.0
	for ; n.parent != nil; n = n.parent {
		sum := n.parent.activeWeight
		if n.index < 0 {
			sum += n.weight
		}
		share *= n.weight / sum
	}
	return share
}

// costAhead returns the cost of the caller's own requests that go before one
// of the given priority.
func (n *node) costAhead(priority int) float64 {
	ahead := 0.0
	for _, l := range n.lanes {
		if l.priority >= priority {
			ahead += l.cost
		}
	}
	return ahead
}

// heaviest returns the caller that waits with the most work for its weight,
// looked for from the top: the business first, then the agency in it.
func (t *tree) heaviest() *node {
	n := t.root
	for n.active.Len() > 0 {
		worst := n.active.First()
		for _, c := range n.active.All() {
			if c.queuedCost/c.weight > worst.queuedCost/worst.weight {
				worst = c
			}
		}
		n = worst
	}
	return n
}

func (n *node) lane(priority int) *lane {
	at := 0
	for at < len(n.lanes) && n.lanes[at].priority > priority {
		at++
	}
	if at < len(n.lanes) && n.lanes[at].priority == priority {
		return n.lanes[at]
	}
	l := &lane{priority: priority, entries: indexheap.New(sooner, func(e *entry) *int { return &e.index })}
	n.lanes = append(n.lanes, nil)
	copy(n.lanes[at+1:], n.lanes[at:])
	n.lanes[at] = l
	return l
}

func (n *node) dropLane(l *lane) {
	for i, other := range n.lanes {
		if other == l {
			n.lanes = append(n.lanes[:i], n.lanes[i+1:]...)
			return
		}
	}
}
