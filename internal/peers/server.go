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

const acceptRetryDelay = 50 * time.Millisecond

// entryServer implements this entry's side of the protocol between entries.
type entryServer struct{ p *Peers }

// Heartbeat answers another entry's heartbeat.
func (s *entryServer) Heartbeat(request wire.HeartbeatRequest, reply *wire.HeartbeatReply) error {
	p := s.p
	p.mu.Lock()
	p.recordContact(request.From)
	if request.Leaving {
		p.leavingPeers[request.From] = true
	} else {
		delete(p.leavingPeers, request.From)
	}
	p.mu.Unlock()
	// The time at which the request was sent is unknown: a process that was
	// paused reads it long afterwards. So the request must not count as proof
	// that the sender's configuration is current; otherwise a process that
	// resumes after a pause would serve under an outdated configuration. Only
	// the request's revision and the contact itself count. Proof comes with
	// replies.
	var sentAt time.Time
	p.conf.StatusReceived(context.Background(), config.Peer{ID: request.From, Domain: request.Domain}, request.Revisions, sentAt)
	p.reportQuarantine(request.From, request.Quarantine)
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

// Config returns the configuration that another entry lacks.
func (s *entryServer) Config(request wire.ConfigRequest, reply *wire.ConfigReply) error {
	*reply = s.p.conf.Serve(request)
	return nil
}

// Offer handles another entry's offer of a duty and replies once the duty is
// held.
func (s *entryServer) Offer(offer wire.DutyOffer, reply *wire.Holder) error {
	holder, err := s.p.duties.Offered(offer)
	*reply = holder
	return err
}

// Holds reports to another entry whether this one holds a duty under the epoch.
func (s *entryServer) Holds(query wire.HoldsRequest, reply *bool) error {
	*reply = s.p.duties.Holds(query.Duty, query.Epoch)
	return nil
}

// Serve answers other entries on the listener until ctx is done. Services are
// additional RPC services by name, such as that of the claim partitions.
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
			time.Sleep(acceptRetryDelay) // a temporary error, such as too many open files
			continue
		}
		mu.Lock()
		open[conn] = true
		mu.Unlock()
		if ctx.Err() != nil {
			// The connection arrived during the stop, after the others were closed. If it
			// were served, a stopped entry would keep answering and count as alive.
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
