package peers

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/policy/config"
	"siskinloom.example/siskinloom/internal/wire"
)

const acceptPause = 50 * time.Millisecond

// entryServer is the entry's side of the protocol between entries.
type entryServer struct{ p *Peers }

// Heartbeat answers another entry's sign of life.
func (s *entryServer) Heartbeat(request wire.HeartbeatRequest, reply *wire.HeartbeatReply) error {
	p := s.p
	p.mu.Lock()
	p.heard(request.From)
	if request.Leaving {
		p.left[request.From] = true
	} else {
		delete(p.left, request.From)
	}
	p.mu.Unlock()
	// When the request was sent is not known: a process that was paused reads it
	// long after. So the sender's proof of being current does not count here, or
	// a process that goes on after a pause would serve under an old configuration;
	// its revision and its sign of life do. Proof comes with replies.
	var sent time.Time
	p.conf.Heard(context.Background(), config.Peer{ID: request.From, Domain: request.Domain}, request.Revisions, sent)
	p.told(request.From, request.Quarantine)
	reply.From = p.options.ID
	reply.Domain = p.options.Domain
	reply.Revisions = p.conf.Revisions()
	reply.Ready = p.conf.Ready()
	if holders := p.duties.Holders(); holdersHash(holders) != request.HoldersHash {
		reply.Holders = holders
	}
	if p.options.ExtendReply != nil {
		p.options.ExtendReply(reply)
	}
	return nil
}

// Config gives another entry the configuration that it lacks.
func (s *entryServer) Config(request wire.ConfigRequest, reply *wire.ConfigReply) error {
	*reply = s.p.conf.Serve(request)
	return nil
}

// Offer answers another entry's offer of a duty once the duty is held.
func (s *entryServer) Offer(offer wire.DutyOffer, reply *wire.Holder) error {
	holder, err := s.p.duties.Offered(offer)
	*reply = holder
	return err
}

// Holds tells another entry whether this one holds a duty under the epoch.
func (s *entryServer) Holds(asked wire.HoldsRequest, reply *bool) error {
	*reply = s.p.duties.Holds(asked.Duty, asked.Epoch)
	return nil
}

// Serve answers other entries on the listener until ctx ends. Services are
// further ones by name, such as the claims of a partition.
func (p *Peers) Serve(ctx context.Context, listener net.Listener, services map[string]any) error {
	server := rpc.NewServer()
	if err := server.RegisterName(wire.EntryService, &entryServer{p: p}); err != nil {
		return errors.Wrap(err, "peers")
	}
	for name, service := range services {
		if err := server.RegisterName(name, service); err != nil {
			return errors.Wrap(err, "peers")
		}
	}
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		mu.Lock()
		defer mu.Unlock()
		for conn := range open {
			_ = conn.Close()
		}
	})
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptPause) // such as too many open files for a moment
			continue
		}
		mu.Lock()
		open[conn] = true
		mu.Unlock()
		if ctx.Err() != nil {
			// It came in the moment of the stop, after the others were closed. Served on,
			// a stopped entry would answer there, and nobody would miss it.
			_ = conn.Close()
			return nil
		}
		go func() {
			server.ServeConn(conn)
			mu.Lock()
			defer mu.Unlock()
			delete(open, conn)
		}()
	}
}
