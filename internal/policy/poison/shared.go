package poison

import (
	"slices"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// SharedConfig returns the parameters of processes that share endpoints without agents. An
// answer protects a request for seconds only: that covers the crash of many endpoints at once,
// but not a request that becomes poison, as with new weights.
func SharedConfig() Config {
	config := DefaultConfig()
	config.UnattributedCrashes = 3
	config.ClearedTTL = 4 * time.Second
	return config
}

// exceedsUnattributed reports whether the request ran at UnattributedCrashes crashes at which
// nobody knows what else ran. A request that ran beside their cause is answered by then.
func (r *Registry) exceedsUnattributed(id ID) bool {
	limit := r.config.UnattributedCrashes
	if limit <= 0 || r.suspects[id].unattributed() < limit {
		return false
	}
	ends := r.unexplained(id)
	return len(ends) >= limit && !r.contested(id, ends)
}

// unattributed returns the number of crashes at which nobody knows what else ran.
func (s *suspect) unattributed() int {
	if s == nil {
		return 0
	}
	n := 0
	for _, c := range s.crashes {
		if c.Batch == 0 {
			n++
		}
	}
	return n
}

// Admits reports whether one more copy of the request may start while the caller runs others
// of it. If all of them crashed their endpoints, no more than UnattributedCrashes would have
// crashed.
func (r *Registry) Admits(now time.Time, id ID, running int) bool {
	if r.Verdict(now, id) == Blocked {
		return false
	}
	limit := r.config.UnattributedCrashes
	return limit <= 0 || r.suspects[id].unattributed()+running < limit
}

// Withdraw drops a crash, since its report was withdrawn: the request was answered, an operator
// released it, or the report is too old. It reports whether that ends a quarantine.
func (r *Registry) Withdraw(now time.Time, c wire.Suspicion) bool {
	id := ID{Service: c.Service, Fingerprint: c.Fingerprint}
	for _, group := range []map[ID]*suspect{r.suspects, r.clearedSuspects, r.quarantinedSuspects} {
		if s := group[id]; s != nil {
			s.crashes = slices.DeleteFunc(s.crashes, func(x wire.Suspicion) bool { return r.same(x, c) })
			if len(s.crashes) == 0 {
				delete(group, id)
			}
		}
	}
	r.expire(now, id)
	if r.quarantine[id] == nil || r.quarantinedSuspects[id].unattributed() >= r.config.UnattributedCrashes {
		return false
	}
	if s := r.quarantinedSuspects[id]; s != nil {
		r.suspects[id] = s
		delete(r.quarantinedSuspects, id)
	}
	delete(r.quarantine, id)
	return true
}

// BlockedUntil returns the end of the request's quarantine, or the zero time if it has none.
func (r *Registry) BlockedUntil(now time.Time, id ID) time.Time {
	if r.Verdict(now, id) != Blocked {
		return time.Time{}
	}
	return time.UnixMilli(r.quarantine[id].ExpiresUnix)
}

// RecentlyAnswered reports whether the request was answered within ClearedTTL. A process doesn't
// report a crash of such a request if it can't tell what else ran.
func (r *Registry) RecentlyAnswered(now time.Time, id ID) bool { return r.isCleared(now, id) }

// isCleared reports whether the request was answered recently.
func (r *Registry) isCleared(now time.Time, id ID) bool {
	r.rotateCleared(now)
	return r.cleared[id] || r.clearedBefore[id]
}
