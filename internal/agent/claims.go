package agent

import (
	"sync"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// maxClaimsPerQuery limits how many claims of one query are looked up; the
	// rest is ignored.
	maxClaimsPerQuery = 4096
	// maxClaimQueryTimeout limits how long a query waits for requests that are
	// still running.
	maxClaimQueryTimeout = 2 * time.Second
)

// claimTable finds the record of a request by its claim. It serves an owner
// that took a claim partition over from an owner that failed with the request
// in flight.
type claimTable struct {
	mu      sync.Mutex
	records map[wire.ClaimRef]*record
}

func newClaimTable() *claimTable {
	return &claimTable{records: map[wire.ClaimRef]*record{}}
}

// add records a request under its claim, if it has one. If requests of the same
// claim were refused, the last accepted one replaces them: another is sent only
// once the previous one provably did not run.
func (t *claimTable) add(ref wire.ClaimRef, r *record) {
	if ref.Epoch == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records[ref] = r
}

// evict removes the requests that finished before the limit, as the request
// table does.
func (t *claimTable) evict(limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for ref, r := range t.records {
		if r.finishedBefore(limit) {
			delete(t.records, ref)
		}
	}
}

// evict removes requests that finished before the horizon.
func (a *Agent) evict(now time.Duration) {
	a.requests.evict(now)
	a.claims.evict(horizon(now))
}

func (t *claimTable) find(refs []wire.ClaimRef) map[wire.ClaimRef]*record {
	found := map[wire.ClaimRef]*record{}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ref := range refs[:min(len(refs), maxClaimsPerQuery)] {
		if r := t.records[ref]; r != nil {
			found[ref] = r
		}
	}
	return found
}

// Claims returns the answers of claimed requests that the endpoint answered
// through this agent, waiting for those that are still running. It omits all
// others and never reports "not run": that this agent doesn't know a request
// proves nothing.
func (s *rpcServer) Claims(query wire.ClaimsAsked, reply *wire.ClaimsTold) error {
	reply.Duty = query.Duty
	end := time.Now().Add(min(query.Wait, maxClaimQueryTimeout))
	for ref, r := range s.a.claims.find(query.Refs) {
		answer, done := r.waitDone(max(0, time.Until(end)))
		if !done || answer.Outcome != wire.Answered {
			continue
		}
		result := wire.ClaimResult{Claim: ref, Outcome: wire.Answered}
		if len(answer.Body) <= query.MaxBody {
			result.Kept = true
			result.Status = answer.Status
			result.ContentType = answer.ContentType
			result.Body = answer.Body
		}
		reply.Results = append(reply.Results, result)
	}
	return nil
}
