package admission

import "time"

// state is the progress of an entry from the queue to the endpoint.
type state int

const (
	waiting      state = iota
	pendingAlone       // a suspect whose turn has come; it waits until nothing else runs
	running
	preempting // asked to stop, still holds its slot
)

// entry is a request that waits in the queue or runs at the endpoint.
type entry struct {
	item        Item
	leaf        *node
	cost        float64
	state       state
	started     bool // has run before, so it cannot be refused as "not run"
	startedAt   time.Time
	order       uint64    // of arrival
	latestStart time.Time // latest start time that can still meet the deadline
	index       int       // in its lane
	expiryIndex int       // in the expiry heap; NotInHeap: it has no deadline or does not wait
	newer       *entry    // neighbours in its lane by arrival
	older       *entry
}

// updateLatestStart computes the latest time at which the request can start. It uses
// TailCost, because with the mean cost half of the requests that start at that time
// would end too late.
func (e *entry) updateLatestStart() {
	e.latestStart = e.item.Deadline.Add(-seconds(max(e.cost, e.item.TailCost)))
}

// earlierDeadline orders the requests of a lane by deadline, those without one last,
// then by arrival. A preempted rollout keeps its order of arrival, so it starts before
// later ones.
func earlierDeadline(a, b *entry) bool {
	if a.item.Deadline.Equal(b.item.Deadline) {
		return a.order < b.order
	}
	if a.item.Deadline.IsZero() || b.item.Deadline.IsZero() {
		return b.item.Deadline.IsZero()
	}
	return a.item.Deadline.Before(b.item.Deadline)
}

// earlierLatestStart orders waiting requests by their latest start time.
func earlierLatestStart(a, b *entry) bool { return a.latestStart.Before(b.latestStart) }
