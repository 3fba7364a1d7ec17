package weights

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/weights"
	"siskinloom.example/siskinloom/internal/wire"
)

// node is an agent of a fleet with its engine.
type node struct {
	fleet    *fleetRun
	id       string
	uplink   link
	downlink link
	filter   *weights.OrderFilter
	chunks   []bool                     // which chunks the agent has
	waiters  map[int][]func(found bool) // callbacks of requests for chunks that the agent lacks, by index
	prepare  wire.Order                 // newest order to prepare
	fetch    *weights.FetchPlan
	version  int64
	silent   bool
}

func newNode(r *fleetRun, id string) *node {
	n := &node{
		fleet:    r,
		id:       id,
		uplink:   link{rate: r.LinkRate},
		downlink: link{rate: r.LinkRate},
		chunks:   make([]bool, r.Chunks),
		waiters:  map[int][]func(bool){},
		version:  1,
	}
	// The agent started long ago: the startup wait of its filter is over.
	now := r.clock.Now()
	n.filter = weights.NewOrderFilter(id, weights.MaxOrderTimeout, now.Add(-2*weights.MaxOrderTimeout))
	n.reportVersion(now)
	return n
}

func (n *node) reportVersion(now time.Time) {
	n.filter.ReportVersions(map[string]int64{"": n.version}, now)
}

func (n *node) handle(o wire.Order) {
	if n.silent {
		return
	}
	now := n.fleet.clock.Now()
	n.reportVersion(now)
	verdict := n.filter.Accept(o, now)
	switch {
	case !verdict.Run:
		n.fleet.reply(n.id, o, verdict.Reply)
	case o.Kind == wire.OrderPrepare:
		repeated := n.fetch != nil
		n.prepare = o
		if repeated {
			n.replyPrepared()
			return
		}
		sources := o.Sources
		if n.fleet.FromStore {
			sources = nil
		}
		n.fetch = weights.NewFetchPlan(n.fleet.Chunks, sources)
		n.requestChunks()
	default:
		n.load(o)
	}
}

func (n *node) requestChunks() {
	for _, chunk := range n.fetch.Next() {
		n.fleet.clock.After(n.fleet.Latency, func() { n.requestChunk(chunk) })
	}
}

func (n *node) requestChunk(chunk weights.ChunkSource) {
	if chunk.Source == weights.StoreSource {
		n.fleet.result.StoreBytes += n.fleet.VersionBytes / float64(n.fleet.Chunks)
		n.fleet.transfer(&n.fleet.store, &n.downlink, func() { n.chunkReceived(chunk) })
		return
	}
	parent := n.fleet.byAddress[chunk.Source]
	parent.sendChunk(chunk.Index, &n.downlink, func(found bool) {
		if found {
			n.chunkReceived(chunk)
			return
		}
		n.fetch.MarkFailed(chunk)
		n.requestChunks()
	})
}

// sendChunk sends a chunk over a link, once the node has it. If the node does not
// get the chunk in time, it calls end with false.
func (n *node) sendChunk(index int, to *link, end func(found bool)) {
	if n.silent {
		n.fleet.clock.After(weights.ChunkRequestTimeout, func() { end(false) })
		return
	}
	if n.chunks[index] {
		n.fleet.transfer(&n.uplink, to, func() { end(true) })
		return
	}
	answered := false
	n.waiters[index] = append(n.waiters[index], func(bool) {
		if !answered && !n.silent {
			answered = true
			n.fleet.transfer(&n.uplink, to, func() { end(true) })
		}
	})
	n.fleet.clock.After(weights.ChunkHoldTimeout, func() { // also ends the request if the node has become silent since
		if !answered {
			answered = true
			end(false)
		}
	})
}

func (n *node) chunkReceived(chunk weights.ChunkSource) {
	if n.silent {
		return
	}
	n.fetch.MarkReceived(chunk)
	n.chunks[chunk.Index] = true
	for _, answer := range n.waiters[chunk.Index] {
		answer(true)
	}
	delete(n.waiters, chunk.Index)
	if !n.fetch.Done() {
		n.requestChunks()
		return
	}
	r := n.fleet
	r.fetchedCount++
	if r.fetchedCount == r.liveCount() {
		r.result.FetchSeconds = r.clock.Now().Sub(r.startedAt).Seconds()
		if r.LoadAtOnce {
			r.loadAll()
		}
	}
	if !r.LoadAtOnce {
		n.replyPrepared()
	}
}

// replyPrepared replies to the newest order to prepare if the node has all chunks.
func (n *node) replyPrepared() {
	if n.fetch.Done() {
		n.fleet.reply(n.id, n.prepare, wire.OrderReply{Outcome: wire.Answered, Version: n.prepare.Version})
	}
}

func (n *node) load(o wire.Order) {
	r := n.fleet
	r.addLoading(1)
	took := r.LoadTime.Seconds() * (1 + r.LoadTimeJitter*(2*r.rng.Float64()-1))
	failed := r.rng.Float64() < r.LoadFailureRate
	r.clock.After(seconds(took), func() {
		r.addLoading(-1)
		if n.silent {
			return
		}
		result := weights.LoadDone
		if failed {
			result = weights.LoadFailed
		} else {
			n.version = o.Version
			r.loadedCount++
		}
		reply := n.filter.Finish(result, r.clock.Now())
		r.reply(n.id, o, reply)
	})
}

// loadAll starts the loads of all engines at the same time, for the baseline.
func (r *fleetRun) loadAll() {
	for _, n := range r.nodes {
		r.addLoading(1)
		r.clock.After(r.LoadTime, func() {
			r.addLoading(-1)
			n.version = fleetVersion
			r.loadedCount++
		})
	}
}
