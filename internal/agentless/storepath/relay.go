package storepath

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

const (
	// askedOfAKind is how many workers and how many entries are asked. A cut may
	// take a process from all workers and leave it the other entries, of which a
	// third may be cut as well.
	askedOfAKind = 2
	// askNextAfter is how long one process may be silent before the next is asked
	// too. They are milliseconds away, and the store answers in 4 ms; asked one
	// after the other, two that are cut off would use up the time that a submitter
	// waits.
	askNextAfter = 100 * time.Millisecond
	// storeFailures is how many others have to find the store failing before no
	// more are asked: it is an outage then, and each costs the store a call.
	storeFailures = 2
)

// failsOthersError tells that the store fails another process as well.
type failsOthersError struct{ by, text string }

// Error implements error.
func (e *failsOthersError) Error() string { return "store fails " + e.by + " too: " + e.text }

// Unwrap returns what it means for the call.
func (e *failsOthersError) Unwrap() error { return kv.ErrUnavailable }

// relay makes the call through a peer: the first that has an answer of the store,
// or for a call that must not be made twice the one that helped last. began is
// when the call first went out.
func (s *Store) relay(ctx context.Context, q *Query, began time.Time) outcome {
	if q.repeatable() {
		helper, o := s.firstAnswer(ctx, q)
		if !answered(o.err) {
			return outcome{err: errors.Wrap(kv.ErrUnavailable, o.err.Error())}
		}
		s.relayServed(helper, began)
		return o
	}
	helper, found := s.lastHelper()
	if !found {
		var o outcome
		if helper, o = s.firstAnswer(ctx, &Query{Operation: Read, Key: probeKey}); !answered(o.err) {
			return outcome{err: errors.Wrap(kv.ErrUnavailable, o.err.Error())}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, s.limit()+askNextAfter)
	defer cancel()
	o := s.relayBy(ctx, helper, q)
	if answered(o.err) {
		s.relayServed(helper, began)
	} else {
		s.forgetHelper(helper)
	}
	return o
}

// firstAnswer asks one process after the other, without waiting long for any, and
// returns the first that had an answer of the store.
func (s *Store) firstAnswer(ctx context.Context, q *Query) (cluster.Member, outcome) {
	type relayed struct {
		helper cluster.Member
		outcome
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	candidates := s.candidates()
	ended := make(chan relayed, len(candidates))
	next := time.NewTimer(0)
	defer next.Stop()
	last := outcome{err: errors.New("storepath: no other process to ask")}
	asked, failing := 0, 0
	var fails *failsOthersError
	for under := 0; under > 0 || asked < len(candidates); {
		select {
		case <-next.C:
			if asked < len(candidates) {
				m := candidates[asked]
				asked++
				under++
				go func() { ended <- relayed{m, s.relayBy(ctx, m, q)} }()
				next.Reset(askNextAfter)
			}
		case r := <-ended:
			under--
			last = r.outcome
			switch {
			case answered(r.err):
				return r.helper, r.outcome
			case errors.As(r.err, &fails):
				failing++
			}
			if failing == storeFailures || ctx.Err() != nil {
				asked = len(candidates)
			}
			next.Reset(0)
		}
	}
	if len(candidates) > 0 && ctx.Err() == nil {
		s.relaysFailed()
	}
	return cluster.Member{}, last
}

// candidates returns the processes to ask: the one that helped last, then
// workers, who have processor time to spare, then entries; of each kind the
// nearest.
func (s *Store) candidates() []cluster.Member {
	var workers, entries, first []cluster.Member
	helper, helped := s.lastHelper()
	if helped {
		first = append(first, helper)
	}
	for _, m := range s.members.Live() {
		switch {
		case m.Leaving, m.Name == s.self.Name, helped && m.Name == helper.Name:
		case m.Worker:
			workers = append(workers, m)
		default:
			entries = append(entries, m)
		}
	}
	return append(append(first, s.nearest(workers)...), s.nearest(entries)...)
}

func (s *Store) nearest(of []cluster.Member) []cluster.Member {
	cluster.SortNearest(s.self, of)
	return of[:min(len(of), askedOfAKind)]
}

// relayBy has one process make the call. ErrUnavailable means that it certainly
// had no effect.
func (s *Store) relayBy(ctx context.Context, m cluster.Member, q *Query) outcome {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+relayLimit)
	defer cancel()
	s.relayedOut.Inc(1)
	var reply Reply
	began := time.Now()
	err := s.peers.Call(ctx, m.Address, callDo, *q, &reply)
	var dial *rpcpool.DialError
	switch {
	case errors.As(err, &dial):
		return outcome{err: errors.Wrap(kv.ErrUnavailable, err.Error())}
	case err != nil:
		return outcome{err: errors.Wrap(kv.ErrUnknown, err.Error())} // the reply may still be written to
	case reply.Tried && reply.Code == Unavailable:
		return outcome{err: &failsOthersError{by: m.Name, text: reply.Text}}
	case reply.Code != Served:
		return outcome{err: errors.Wrapf(codeErrors[reply.Code], "through %s: %s", m.Name, reply.Text)}
	}
	if q.Operation != Await {
		s.observe(time.Since(began))
	}
	return outcome{result: reply.Result}
}

func (s *Store) lastHelper() (cluster.Member, bool) {
	s.mu.Lock()
	name := s.helper
	s.mu.Unlock()
	if name == "" {
		return cluster.Member{}, false
	}
	return s.members.Get(name)
}

func (s *Store) forgetHelper(m cluster.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.helper == m.Name {
		s.helper = ""
	}
}

// relayServed notes that another process reached the store. While the store is
// slow that says nothing of the direct path, whose answer is as late.
func (s *Store) relayServed(m cluster.Member, began time.Time) {
	s.mu.Lock()
	left := !s.times.Slow() && s.path.RelayServed(time.Now(), began)
	s.helper = m.Name
	if left {
		s.notifySwitch()
	}
	s.mu.Unlock()
	if left {
		events.StoreByOther.Log(s.log, logrus.Fields{"by": m.Name})
	}
}

func (s *Store) relaysFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.path.RelaysFailed(time.Now())
}
