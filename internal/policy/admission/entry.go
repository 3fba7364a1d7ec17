package admission

import "time"

type state int

const (
	waiting state = iota
	held          // a suspect whose turn came and that waits to be alone
	running
	preempting // told to stop, still holds its slot
)

// entry is a request in the queue or at the endpoint.
type entry struct {
	item     Item
	leaf     *node
	cost     float64
	state    state
	started  bool // ran before, so it can no longer be called "not run"
	since    time.Time
	order    uint64
	latest   time.Time // start, with which it can still meet its deadline
	index    int       // in its lane
	expIndex int       // in the expiry heap; None: has no deadline or does not wait
}

// setLatest works out the last moment at which the request can start. With the
// mean cost alone half of those that start last would end too late.
func (e *entry) setLatest() {
	e.latest = e.item.Deadline.Add(-seconds(max(e.cost, e.item.TailCost)))
}

// sooner orders a lane's requests by deadline, those without one last, then by
// arrival. A preempted rollout keeps its arrival and so goes first again.
func sooner(a, b *entry) bool {
	if a.item.Deadline.Equal(b.item.Deadline) {
		return a.order < b.order
	}
	if a.item.Deadline.IsZero() || b.item.Deadline.IsZero() {
		return b.item.Deadline.IsZero()
	}
	return a.item.Deadline.Before(b.item.Deadline)
}

// expiresFirst orders waiting requests by their latest start.
func expiresFirst(a, b *entry) bool { return a.latest.Before(b.latest) }
