// Package peers connects the entries of a deployment. It exchanges heartbeats
// with a bounded number of them at a time, reports which are alive, and carries
// calls from one entry to another.
package peers

import (
	"context"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/confstate"
	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/dutyrun"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/config"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/policy/gossip"
	"siskinloom.example/siskinloom/internal/rpcconn"
	"siskinloom.example/siskinloom/internal/rpcpool"
	"siskinloom.example/siskinloom/internal/wire"
)

// Method names of the RPC service between entries.
const (
	methodHeartbeat = wire.EntryService + ".Heartbeat"
	methodConfig    = wire.EntryService + ".Config"
	methodOffer     = wire.EntryService + ".Offer"
	methodHolds     = wire.EntryService + ".Holds"
)

const (
	// Fanout is how many entries one entry calls per interval.
	Fanout           = 3
	roleEntry        = "entry"
	heartbeatTimeout = time.Second
	failureIntervals = 3 // heartbeat intervals of failing calls after which a peer counts as dead
	aliveIntervals   = 5 // heartbeat intervals for which a contact proves that a peer is alive
	maxConnections   = 32
)

var errUnlisted = errors.New("peers: the list has no such entry")

// Dial connects to an entry's inner address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Options configures Peers. ExtendRequest, ExtendReply and OnQuarantine may be
// nil; they are called from many goroutines.
type Options struct {
	ID                string
	Address           string // own inner address
	Domain            string
	Deployment        string
	HeartbeatInterval time.Duration // between rounds of heartbeats
	Dial              Dial          // nil: plain TCP
	// ExtendRequest and ExtendReply add data to the heartbeat requests that this
	// entry sends and to its replies. OnQuarantine receives the quarantine lists of
	// the others' heartbeats.
	ExtendRequest func(*wire.HeartbeatRequest)
	ExtendReply   func(*wire.HeartbeatReply)
	OnQuarantine  func(from string, quarantine []wire.QuarantineEntry)
}

// Peers is one entry's view of the other entries. It is safe for concurrent
// use.
type Peers struct {
	options Options
	clients *rpcpool.Pool
	trigger chan struct{}
	conf    *confstate.State
	duties  *dutyrun.Keeper

	mu              sync.Mutex
	instances       []kv.Instance // as WrapLister's lister read it last; never modified
	entries         []kv.Instance // entries of the list, including this one
	leaving         bool
	leavingPeers    map[string]bool // peers that announced that they leave
	failureDetector *gossip.FailureDetector
	partners        *gossip.Partners
	lastContact     map[string]time.Time // of listed peers
	rnd             *rand.Rand
}

// New returns a Peers that knows no other entry yet. Attach must be called
// before Run and Serve.
func New(o Options) *Peers {
	if o.Dial == nil {
		o.Dial = rpcconn.Dial
	}
	return &Peers{
		options:         o,
		clients:         rpcpool.NewBounded(rpcpool.DialFunc(o.Dial), maxConnections),
		trigger:         make(chan struct{}, 1),
		leavingPeers:    map[string]bool{},
		lastContact:     map[string]time.Time{},
		failureDetector: gossip.NewFailureDetector(failureIntervals * o.HeartbeatInterval),
		partners:        gossip.NewPartners(o.Domain),
		rnd:             rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Attach sets the configuration and the duties that heartbeats report. A
// configuration that comes into force is sent at once, not with the next round.
func (p *Peers) Attach(conf *confstate.State, keeper *dutyrun.Keeper) {
	p.conf, p.duties = conf, keeper
	conf.OnApply(func(*decl.Deployment, int64) { p.TriggerHeartbeats() })
}

// TriggerHeartbeats starts a round of heartbeats immediately.
func (p *Peers) TriggerHeartbeats() {
	select {
	case p.trigger <- struct{}{}:
	default:
	}
}

// Leave announces to the other entries that this one leaves.
func (p *Peers) Leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.TriggerHeartbeats()
}

// ApplyList applies the platform's list of instances.
func (p *Peers) ApplyList(instances []kv.Instance) {
	entries := []config.Peer{}
	ids := map[string]bool{}
	p.mu.Lock()
	p.entries = p.entries[:0]
	for _, i := range instances {
		if i.Role == roleEntry && !i.Leaving {
			p.entries = append(p.entries, i)
			entries = append(entries, config.Peer{ID: i.ID, Domain: i.FailureDomain})
			ids[i.ID] = true
		}
	}
	p.failureDetector.Retain(ids)
	maps.DeleteFunc(p.leavingPeers, func(id string, _ bool) bool { return !ids[id] })
	maps.DeleteFunc(p.lastContact, func(id string, _ time.Time) bool { return !ids[id] })
	p.mu.Unlock()
	p.conf.SetEntries(entries)
}

// recordContact records that a peer is alive. The lock must be held.
func (p *Peers) recordContact(id string) {
	p.failureDetector.RecordContact(id)
	p.lastContact[id] = time.Now()
}

// Members returns the live entries as candidates for duties: the listed ones
// without those that leave or that the failure detector considers dead. This
// entry is always included until it leaves.
func (p *Peers) Members() []duties.Member {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []duties.Member
	if !p.leaving {
		all = append(all, duties.Member{ID: p.options.ID, Address: p.options.Address, Domain: p.options.Domain})
	}
	for _, i := range p.entries {
		if i.ID != p.options.ID && !p.leavingPeers[i.ID] && !p.failureDetector.Dead(now, i.ID) {
			alive := now.Sub(p.lastContact[i.ID]) < aliveIntervals*p.options.HeartbeatInterval
			all = append(all, duties.Member{ID: i.ID, Address: i.Address, Domain: i.FailureDomain, Alive: alive})
		}
	}
	return all
}

// Others returns the other entries that the platform lists and that the list
// doesn't mark as leaving.
func (p *Peers) Others() []kv.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var others []kv.Instance
	for _, i := range p.entries {
		if i.ID != p.options.ID {
			others = append(others, i)
		}
	}
	return others
}

// Run exchanges heartbeats until ctx is done.
func (p *Peers) Run(ctx context.Context) error {
	defer p.clients.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-p.trigger:
		}
		for _, peer := range p.choosePartners() {
			go p.exchangeHeartbeat(ctx, peer)
		}
		timer.Reset(p.options.HeartbeatInterval)
	}
}

func (p *Peers) choosePartners() []kv.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var others []gossip.Peer
	byID := map[string]kv.Instance{}
	for _, i := range p.entries {
		if i.ID != p.options.ID {
			others = append(others, gossip.Peer{ID: i.ID, Domain: i.FailureDomain})
			byID[i.ID] = i
		}
	}
	var chosen []kv.Instance
	for _, peer := range p.partners.Choose(p.rnd, others, Fanout) {
		chosen = append(chosen, byID[peer.ID])
	}
	return chosen
}

// exchangeHeartbeat sends one heartbeat and processes its reply.
func (p *Peers) exchangeHeartbeat(ctx context.Context, peer kv.Instance) {
	request := p.heartbeatRequest()
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply wire.HeartbeatReply
	err := p.CallPeer(callCtx, peer.Address, false, methodHeartbeat, request, &reply)
	p.mu.Lock()
	switch {
	case err != nil:
		p.failureDetector.RecordFailure(time.Now(), peer.ID)
	case reply.From == peer.ID:
		p.recordContact(peer.ID)
	}
	p.mu.Unlock()
	// A reply of another instance at the same address doesn't count as this peer's.
	if err != nil || reply.From != peer.ID {
		return
	}
	p.conf.StatusReceived(ctx, config.Peer{ID: reply.From, Domain: reply.Domain}, reply.Revisions, sentAt)
	p.duties.HoldersReported(reply.Holders)
	p.reportQuarantine(reply.From, reply.Quarantine)
}

func (p *Peers) heartbeatRequest() wire.HeartbeatRequest {
	p.mu.Lock()
	leaving := p.leaving
	p.mu.Unlock()
	request := wire.HeartbeatRequest{
		From:        p.options.ID,
		Domain:      p.options.Domain,
		Revisions:   p.conf.Revisions(),
		Leaving:     leaving,
		HoldersHash: holdersHash(p.duties.Holders()),
	}
	if p.options.ExtendRequest != nil {
		p.options.ExtendRequest(&request)
	}
	return request
}

func (p *Peers) reportQuarantine(from string, quarantine []wire.QuarantineEntry) {
	if p.options.OnQuarantine != nil && len(quarantine) > 0 {
		p.options.OnQuarantine(from, quarantine)
	}
}

// Offer offers a released duty to the entry at an inner address and waits until
// the duty is held; see dutyrun.Options.
func (p *Peers) Offer(ctx context.Context, address string, offer wire.DutyOffer) (wire.Holder, error) {
	var holder wire.Holder
	err := p.CallPeer(ctx, address, false, methodOffer, offer, &holder)
	return holder, err
}

// Probe asks the entry at an inner address whether it holds a duty; see
// dutyrun.Options.
func (p *Peers) Probe(ctx context.Context, address string, query wire.HoldsRequest) (bool, error) {
	var holds bool
	err := p.CallPeer(ctx, address, false, methodHolds, query, &holds)
	return holds, err
}

// Fetch requests the configuration of a listed entry.
func (p *Peers) Fetch(ctx context.Context, id string, request wire.ConfigRequest) (wire.ConfigReply, error) {
	address := p.address(id)
	if address == "" {
		return wire.ConfigReply{}, errUnlisted
	}
	var reply wire.ConfigReply
	err := p.CallPeer(ctx, address, false, methodConfig, request, &reply)
	return reply, err
}

func (p *Peers) address(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.entries {
		if i.ID == id {
			return i.Address
		}
	}
	return ""
}

// holdersHash returns a hash that is equal for equal holders in the same order.
func holdersHash(holders []wire.Holder) uint64 {
	h := fnv.New64a()
	for _, holder := range holders {
		_, _ = h.Write([]byte(holder.Duty + "\x00" + holder.Address + "\x00" + strconv.FormatInt(holder.Epoch, 10) + "\x00"))
	}
	return h.Sum64()
}
