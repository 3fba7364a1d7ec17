package pool

import (
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

const (
	methodDo    = wire.AgentService + ".Do"
	methodStart = wire.AgentService + ".Start"
)

// openStream is a stream that was started at an agent and has not been read to its
// end yet.
type openStream struct {
	business string
	deadline time.Time // a stream that nobody reads to its end counts until then
}

// startCall counts a call, and the request if the call starts one.
func (s *shard) startCall(p *peer, method string, args any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.pendingCalls++
	req, ok := args.(wire.Request)
	if !ok {
		return
	}
	s.addInFlight(p, req.Principal.Business, 1)
	if method == methodStart {
		p.streams[req.ID] = openStream{business: req.Principal.Business, deadline: time.Now().Add(req.Remaining)}
	}
}

// endCall undoes startCall for the call, and for the request if that has ended.
func (s *shard) endCall(p *peer, method string, args, reply any, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.pendingCalls--
	switch a := args.(type) {
	case wire.Request:
		if method == methodDo {
			s.addInFlight(p, a.Principal.Business, -1)
		} else if started, ok := reply.(*wire.Started); ok && err == nil && !started.Accepted {
			s.endStream(p, a.ID)
		}
	case wire.ReadRequest:
		if read, ok := reply.(*wire.ReadReply); ok && err == nil && read.Done {
			s.endStream(p, a.ID)
		}
	case wire.CancelRequest:
		s.endStream(p, a.ID)
	}
}

// endStream removes a stream and its request from the counts. s.mu must be held.
func (s *shard) endStream(p *peer, id string) {
	stream, open := p.streams[id]
	if !open {
		return
	}
	delete(p.streams, id)
	s.addInFlight(p, stream.business, -1)
}

// addInFlight changes the counts of requests in flight. s.mu must be held.
func (s *shard) addInFlight(p *peer, business string, n int) {
	p.candidate.InFlight += n
	p.candidate.InFlightCounts.Add(business, n)
}

// countPendingCalls removes the streams whose deadline has passed, and returns the number
// of calls without a response.
func (s *shard) countPendingCalls(p *peer, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, stream := range p.streams {
		if now.After(stream.deadline) {
			s.endStream(p, id)
		}
	}
	return p.pendingCalls
}
