package pool

import (
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

const (
	methodDo    = wire.AgentService + ".Do"
	methodStart = wire.AgentService + ".Start"
)

// openStream is a stream that was started at an agent and not yet read to its
// end.
type openStream struct {
	business string
	until    time.Time // its deadline; what nobody reads to its end ends then
}

// begin counts a call, and the request that it starts.
func (s *shard) begin(p *peer, method string, args any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.calls++
	req, some := args.(wire.Request)
	if !some {
		return
	}
	s.count(p, req.Principal.Business, 1)
	if method == methodStart {
		p.streams[req.ID] = openStream{business: req.Principal.Business, until: time.Now().Add(req.Remaining)}
	}
}

// end takes the call back, and the request if it ended with it.
func (s *shard) end(p *peer, method string, args, reply any, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.calls--
	switch a := args.(type) {
	case wire.Request:
		if method == methodDo {
			s.count(p, a.Principal.Business, -1)
		} else if started, some := reply.(*wire.Started); some && err == nil && !started.Accepted {
			s.endStream(p, a.ID)
		}
	case wire.ReadRequest:
		if read, some := reply.(*wire.ReadReply); some && err == nil && read.Done {
			s.endStream(p, a.ID)
		}
	case wire.CancelRequest:
		s.endStream(p, a.ID)
	}
}

func (s *shard) endStream(p *peer, id string) {
	stream, open := p.streams[id]
	if !open {
		return
	}
	delete(p.streams, id)
	s.count(p, stream.business, -1)
}

func (s *shard) count(p *peer, business string, n int) {
	p.candidate.InFlight += n
	p.candidate.InFlightCounts.Add(business, n)
}

// waiting returns how many calls are not answered, and ends the streams whose
// deadline has passed.
func (s *shard) waiting(p *peer, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, stream := range p.streams {
		if now.After(stream.until) {
			s.endStream(p, id)
		}
	}
	return p.calls
}
