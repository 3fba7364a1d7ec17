package admission

import (
	"siskinloom.example/siskinloom/internal/policy/indexheap"
	"siskinloom.example/siskinloom/internal/wire"
)

// node is a node of the tree of fair shares: the root, a business, an agency or a
// caller. Callers hold waiting requests, the others hold child nodes.
type node struct {
	parent   *node
	weight   float64
	children map[string]*node

	// startTag is the node's start tag in the virtual time of its parent: the service it
	// has received divided by its weight. The child with the lowest start tag is next.
	startTag float64
	// virtualTime is the start tag of the child that was served last. A child that becomes
	// active again starts there, so that idle time earns no credit.
	virtualTime float64

	active       *indexheap.Heap[*node] // children with waiting requests, by start tag
	activeWeight float64                // sum of the weights in active
	index        int                    // in the parent's active; NotInHeap while idle
	order        uint64                 // of activation; breaks ties between start tags

	queued     int     // waiting requests in the subtree
	queuedCost float64 // their estimated cost in seconds
	lanes      []*lane // of a caller, highest priority first
	customer           // with Config.Flat
}

// lane holds the waiting requests of one caller and priority, earliest deadline first.
type lane struct {
	priority int
	cost     float64
	entries  *indexheap.Heap[*entry]
	newest   *entry // last arrival
	oldest   *entry
}

// tree orders waiting requests by hierarchical fair queueing.
type tree struct {
	root    *node
	weights map[wire.Principal]float64
	order   uint64 // activations so far
	flatTree
}

func newTree(cfg Config) *tree {
	t := &tree{root: newNode(nil, 1), weights: cfg.Weights}
	if cfg.Flat {
		t.makeFlat(cfg.Lead)
	}
	return t
}

func newNode(parent *node, weight float64) *node {
	return &node{
		parent: parent,
		weight: weight,
		index:  indexheap.NotInHeap,
		active: indexheap.New(lowerStartTag, func(n *node) *int { return &n.index }),
	}
}

// hasActive reports whether a child may be served.
func (n *node) hasActive() bool { return n.active != nil && n.active.Len() > 0 }

// lowerStartTag orders nodes by start tag, then by activation.
func lowerStartTag(a, b *node) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.order < b.order
}

// weightOf returns the declared weight, or 1 if there is none.
func (t *tree) weightOf(p wire.Principal) float64 {
	if w := t.weights[p]; w > 0 {
		return w
	}
	return 1
}

// leaf returns the caller's node and creates it if needed. Only declared callers occur,
// which bounds the tree.
func (t *tree) leaf(p wire.Principal) *node {
	if t.flat {
		return t.customer(p.Business)
	}
	business := t.child(t.root, p.Business, wire.Principal{Business: p.Business})
	agency := t.child(business, p.Agency, wire.Principal{Business: p.Business, Agency: p.Agency})
	return t.child(agency, p.Caller, p)
}

// child returns the named child of the parent and creates it if needed.
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

// setWeights applies newly declared weights to the existing nodes.
func (t *tree) setWeights(weights map[wire.Principal]float64) {
	t.weights = weights
	for business, b := range t.root.children {
		t.setWeight(b, wire.Principal{Business: business})
		t.fixBacklog(b)
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

// push adds a waiting request.
func (t *tree) push(e *entry) {
	leaf := e.leaf
	lane := leaf.lane(e.lanePriority())
	lane.entries.Push(e)
	lane.link(e)
	lane.cost += e.cost
	for n := leaf; n != nil; n = n.parent {
		n.queued++
		n.queuedCost += e.cost
		t.activate(n)
	}
	t.fixBacklog(leaf)
	t.fixKey(leaf)
}

// activate makes an idle node compete among its parent's children.
func (t *tree) activate(n *node) {
	if n.parent == nil || n.index >= 0 || n.capped() {
		return
	}
	n.startTag = max(n.startTag, n.parent.virtualTime)
	n.order = t.order
	t.order++
	n.parent.activeWeight += n.weight
	t.updateKey(n)
	n.parent.active.Push(n)
}

// pop removes the next request in fair order and charges its cost. It returns nil if no request
// waits that may start.
func (t *tree) pop() *entry {
	if !t.root.hasActive() {
		return nil
	}
	n := t.root
	for n.hasActive() {
		next := n.active.First()
		n.virtualTime = max(n.virtualTime, t.virtualTimeAt(next))
		n = next
	}
	e := n.lanes[0].entries.First()
	t.remove(e)
	t.charge(e.leaf, e.cost)
	return e
}

// remove removes a waiting request without charging its cost.
func (t *tree) remove(e *entry) {
	leaf := e.leaf
	lane := leaf.lane(e.lanePriority())
	lane.entries.Remove(e)
	lane.unlink(e)
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
	t.fixBacklog(leaf)
	t.fixKey(leaf)
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

// charge advances the start tags of a caller, its agency and its business by cost
// seconds of slot time. A negative cost returns what was charged too much.
func (t *tree) charge(leaf *node, cost float64) {
	for n := leaf; n.parent != nil; n = n.parent {
		n.startTag += cost / n.weight
		if n.index >= 0 {
			t.updateKey(n)
			n.parent.active.Fix(n)
		}
	}
}

// share returns the fair share of the endpoint that the caller gets while it competes
// with the nodes that have waiting requests.
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

// costAhead returns the cost of the caller's own waiting requests that a new request of
// the priority has to wait for.
func (n *node) costAhead(priority int) float64 {
	ahead := 0.0
	for _, l := range n.lanes {
		if l.priority >= priority {
			ahead += l.cost
		}
	}
	return ahead
}

// mostBacklogged returns the caller with the most waiting work for its weight. It
// descends from the root: first to the business, then to its agency, then to its caller.
func (t *tree) mostBacklogged() *node {
	if t.flat {
		return t.backlog.First()
	}
	n := t.root
	for n.hasActive() {
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

// lane returns the caller's lane of the priority and creates it if needed.
func (n *node) lane(priority int) *lane {
	at := 0
	for at < len(n.lanes) && n.lanes[at].priority > priority {
		at++
	}
	if at < len(n.lanes) && n.lanes[at].priority == priority {
		return n.lanes[at]
	}
	l := &lane{priority: priority, entries: indexheap.New(earlierDeadline, func(e *entry) *int { return &e.index })}
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
