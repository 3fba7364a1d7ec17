package agent

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinloom.example/siskinloom/internal/wire"
)

const (
	requestShards = 32
	// retention is how long a finished or refused request is remembered.
	retention = 2 * time.Minute
)

// requestTable remembers the requests of this incarnation of the agent, so that
// their outcome can be queried on any connection. Its state is sharded, each
// shard with its own lock.
type requestTable struct {
	shards [requestShards]requestShard
}

type requestShard struct {
	mu      sync.Mutex
	records map[string]*record
}

// record is a running or finished request, or a refusal recorded in advance of
// the request.
type record struct {
	mu      sync.Mutex
	changed chan struct{} // closed on the next change; nil if nobody waits for it
	doneCh  chan struct{} // closed once done

	accepted time.Duration // agent uptime
	cancel   func()
	tokens   []string
	versions []int64
	done     bool
	finished time.Duration
	answer   wire.Answer
}

func newRequestTable() *requestTable {
	t := &requestTable{}
	for i := range t.shards {
		t.shards[i].records = map[string]*record{}
	}
	return t
}

func (t *requestTable) shard(id string) *requestShard {
	return &t.shards[xxhash.Sum64String(id)%requestShards]
}

// horizon returns the uptime before which finished records may have been
// evicted.
func horizon(now time.Duration) time.Duration {
	return now - retention
}

// accept adds a new request. It returns false with the existing record if the
// ID is known: the request is a retry, or it was refused in advance by a settle
// call that overtook it.
func (t *requestTable) accept(id string, now time.Duration, cancel func()) (*record, bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, known := s.records[id]; known {
		return r, false
	}
	r := &record{accepted: now, cancel: cancel, doneCh: make(chan struct{})}
	s.records[id] = r
	return r, true
}

// find returns the record of the ID, or nil.
func (t *requestTable) find(id string) *record {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[id]
}

// refuseInAdvance records a refusal for an ID that was never seen. Without it,
// a request that is still on its way could run after its caller was told "not
// run".
func (t *requestTable) refuseInAdvance(id string, now time.Duration) *record {
	r, fresh := t.accept(id, now, func() {})
	if fresh {
		r.finish(now, wire.Answer{ID: id, Outcome: wire.NotRun, Reason: wire.ReasonCancelled})
	}
	return r
}

// evict removes requests that finished before the horizon.
func (t *requestTable) evict(now time.Duration) {
	limit := horizon(now)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, r := range s.records {
			if r.finishedBefore(limit) {
				delete(s.records, id)
			}
		}
		s.mu.Unlock()
	}
}

// running returns the number of requests that have not finished.
func (t *requestTable) running() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, r := range s.records {
			if !r.isDone() {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}

func (r *record) isDone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done
}

func (r *record) finishedBefore(limit time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done && r.finished < limit
}

// finish records the answer. Only the first call has an effect.
func (r *record) finish(now time.Duration, a wire.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done {
		return
	}
	r.done = true
	r.finished = now
	r.answer = a
	close(r.doneCh)
	r.notify()
}

// appendToken appends a token of a stream with its weight version.
func (r *record) appendToken(text string, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = append(r.tokens, text)
	r.versions = append(r.versions, version)
	r.notify()
}

// notify wakes every waiter. The lock must be held.
func (r *record) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// allTokens returns a copy of the stream's tokens so far.
func (r *record) allTokens() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.tokens...)
}

// waitDone waits until the request has finished or wait has passed.
func (r *record) waitDone(wait time.Duration) (wire.Answer, bool) {
	r.waitFor(wait, func() bool { return r.done })
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answer, r.done
}

// read returns the tokens from offset on. It waits for the first one and then
// collects more for the duration of gather.
func (r *record) read(offset int, wait, gather time.Duration) wire.ReadReply {
	r.waitFor(wait, func() bool { return r.done || len(r.tokens) > offset })
	if gather > 0 {
		// This does not use waitFor, which would wake up for every token.
		timer := time.NewTimer(gather)
		defer timer.Stop()
		select {
		case <-r.doneCh:
		case <-timer.C:
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := wire.ReadReply{Offset: offset}
	if offset < len(r.tokens) {
		reply.Tokens = append([]string(nil), r.tokens[offset:]...)
		reply.Versions = append([]int64(nil), r.versions[offset:]...)
	}
	if r.done {
		reply.Done = true
		reply.End = r.answer
	}
	return reply
}

// waitFor waits until ready returns true or wait has passed. It calls ready
// with the lock held.
func (r *record) waitFor(wait time.Duration, ready func() bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		ok := ready()
		if r.changed == nil {
			r.changed = make(chan struct{})
		}
		changed := r.changed
		r.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}
