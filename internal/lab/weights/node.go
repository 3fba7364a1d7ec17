package weights

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/weights"
	"siskinloom.example/siskinloom/internal/wire"
)

// node is an agent with its engine in a fleet.
type node struct {
	fleet   *fleet
	id      string
	up      link
	down    link
	guard   *weights.OrderFilter
	held    []bool
	waiting map[int][]func(found bool) // questions for chunks that have not come yet
	prepare wire.Order
	fetch   *weights.FetchPlan
	version int64
	dead    bool
}

func newNode(r *fleet, id string) *node {
	n := &node{
		fleet:   r,
		id:      id,
		up:      link{rate: r.LinkRate},
		down:    link{rate: r.LinkRate},
		held:    make([]bool, r.Chunks),
		waiting: map[int][]func(bool){},
		version: 1,
	}
	// The agent has been up for long: it is settled.
	now := r.clock.Now()
	n.guard = weights.NewOrderFilter(id, weights.MaxOrderTimeout, now.Add(-2*weights.MaxOrderTimeout))
	n.report(now)
	return n
}

func (n *node) report(now time.Time) {
	n.guard.ReportVersions(map[string]int64{"": n.version}, now)
}

func (n *node) handle(o wire.Order) {
	if n.dead {
		return
	}
	now := n.fleet.clock.Now()
	n.report(now)
	verdict := n.guard.Accept(o, now)
	switch {
	case !verdict.Run:
		n.fleet.reply(n.id, o, verdict.Reply)
	case o.Kind == wire.OrderPrepare:
		again := n.fetch != nil
		n.prepare = o
		if again {
			n.prepared()
			return
		}
		sources := o.Sources
		if n.fleet.FromStore {
			sources = nil
		}
		n.fetch = weights.NewFetchPlan(n.fleet.Chunks, sources)
		n.next()
	default:
		n.load(o)
	}
}

func (n *node) next() {
	for _, piece := range n.fetch.Next() {
		n.fleet.clock.After(n.fleet.Latency, func() { n.ask(piece) })
	}
}

func (n *node) ask(piece weights.ChunkSource) {
	if piece.Source == weights.StoreSource {
		n.fleet.result.StoreBytes += n.fleet.VersionBytes / float64(n.fleet.Chunks)
		n.fleet.transfer(&n.fleet.store, &n.down, func() { n.got(piece) })
		return
	}
	parent := n.fleet.byAddr[piece.Source]
	parent.give(piece.Index, &n.down, func(found bool) {
		if found {
			n.got(piece)
			return
		}
		n.fetch.MarkFailed(piece)
		n.next()
	})
}

// give sends a chunk down a link, once it is there.
func (n *node) give(index int, to *link, end func(found bool)) {
	if n.dead {
		n.fleet.clock.After(weights.ChunkRequestTimeout, func() { end(false) })
		return
	}
	if n.held[index] {
		n.fleet.transfer(&n.up, to, func() { end(true) })
		return
	}
	answered := false
	n.waiting[index] = append(n.waiting[index], func(bool) {
		if !answered && !n.dead {
			answered = true
			n.fleet.transfer(&n.up, to, func() { end(true) })
		}
	})
	n.fleet.clock.After(weights.ChunkHoldTimeout, func() { // a death while it waits is not told apart
		if !answered {
			answered = true
			end(false)
		}
	})
}

func (n *node) got(piece weights.ChunkSource) {
	if n.dead {
		return
	}
	n.fetch.MarkReceived(piece)
	n.held[piece.Index] = true
	for _, answer := range n.waiting[piece.Index] {
		answer(true)
	}
	delete(n.waiting, piece.Index)
	if !n.fetch.Done() {
		n.next()
		return
	}
	r := n.fleet
	r.holding++
	if r.holding == r.living() {
		r.result.FetchSeconds = r.clock.Now().Sub(r.began).Seconds()
		if r.LoadAtOnce {
			r.loadAll()
		}
	}
	if !r.LoadAtOnce {
		n.prepared()
	}
}

// prepared replies to the newest order to prepare, once every chunk is held.
func (n *node) prepared() {
	if n.fetch.Done() {
		n.fleet.reply(n.id, n.prepare, wire.OrderReply{Outcome: wire.Answered, Version: n.prepare.Version})
	}
}

func (n *node) load(o wire.Order) {
	r := n.fleet
	r.setLoading(1)
	took := r.LoadTime.Seconds() * (1 + r.LoadTimeJitter*(2*r.rng.Float64()-1))
	failed := r.rng.Float64() < r.LoadFailureRate
	r.clock.After(seconds(took), func() {
		r.setLoading(-1)
		if n.dead {
			return
		}
		result := weights.LoadDone
		if failed {
			result = weights.LoadFailed
		} else {
			n.version = o.Version
			r.done++
		}
		reply := n.guard.Finish(result, r.clock.Now())
		r.reply(n.id, o, reply)
	})
}

// loadAll is the baseline's swap: every engine at the same moment.
func (r *fleet) loadAll() {
	for _, n := range r.nodes {
		r.setLoading(1)
		r.clock.After(r.LoadTime, func() {
			r.setLoading(-1)
			n.version = fleetVersion
			r.done++
		})
	}
}
