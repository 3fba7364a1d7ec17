// Package peers connects the entries of a deployment: it exchanges heartbeats
// with a bounded number of them at a time, tells which are alive, and carries
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

// Method names of the service between entries.
const (
	methodHeartbeat = wire.EntryService + ".Heartbeat"
	methodConfig    = wire.EntryService + ".Config"
	methodOffer     = wire.EntryService + ".Offer"
	methodHolds     = wire.EntryService + ".Holds"
)

const (
	// Fanout is how many entries one entry calls per interval.
	Fanout     = 3
	roleEntry  = "entry"
	callLimit  = time.Second
	silentFor  = 3 // intervals of failing calls
	aliveFor   = 5 // intervals that a sign of life counts
	maxClients = 32
)

var errUnlisted = errors.New("peers: no such entry is listed")

// Dial connects to an entry's inner address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Options sets up Peers. Request, Reply and Heard may be nil; they are called
// from many goroutines.
type Options struct {
	ID                string
	Address           string // own inner address
	Domain            string
	Deployment        string
	HeartbeatInterval time.Duration // between rounds of heartbeats
	Dial              Dial          // nil: plain TCP
	// ExtendRequest and Reply add what this entry knows to the heartbeats it sends
	// and answers; Told takes in what others say on theirs.
	ExtendRequest func(*wire.HeartbeatRequest)
	ExtendReply   func(*wire.HeartbeatReply)
	OnQuarantine  func(from string, quarantine []wire.QuarantineEntry)
}

// Peers is one entry's view of the others. It is safe for concurrent use.
type Peers struct {
	options Options
	clients *rpcpool.Pool
	kick    chan struct{}
	conf    *confstate.Holder
	duties  *dutyrun.Keeper

	mu       sync.Mutex
	list     []kv.Instance // as Tap read it last; never changed
	listed   []kv.Instance // entries, this one included, as the list has them
	leaving  bool
	left     map[string]bool // peers that said they leave
	silence  *gossip.FailureDetector
	partners *gossip.Partners
	heardAt  map[string]time.Time // last sign of life of listed peers
	rnd      *rand.Rand
}

// New returns peers that know nobody yet. Attach is called before Run and Serve.
func New(o Options) *Peers {
	if o.Dial == nil {
		o.Dial = rpcconn.Dial
	}
	return &Peers{
		options:  o,
		clients:  rpcpool.NewBounded(rpcpool.DialFunc(o.Dial), maxClients),
		kick:     make(chan struct{}, 1),
		left:     map[string]bool{},
		heardAt:  map[string]time.Time{},
		silence:  gossip.NewFailureDetector(silentFor * o.HeartbeatInterval),
		partners: gossip.NewPartners(o.Domain),
		rnd:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Attach gives the state that heartbeats carry: a configuration that comes into
// force is told at once, not with the next round.
func (p *Peers) Attach(conf *confstate.Holder, keeper *dutyrun.Keeper) {
	p.conf, p.duties = conf, keeper
	conf.OnApply(func(*decl.Deployment, int64) { p.TriggerHeartbeats() })
}

// TriggerHeartbeats begins a round of heartbeats now.
func (p *Peers) TriggerHeartbeats() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// Leave tells every entry that this one leaves.
func (p *Peers) Leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.TriggerHeartbeats()
}

// ApplyList takes in the platform's list.
func (p *Peers) ApplyList(instances []kv.Instance) {
	entries := []config.Peer{}
	ids := map[string]bool{}
	p.mu.Lock()
	p.listed = p.listed[:0]
	for _, i := range instances {
		if i.Role == roleEntry && !i.Leaving {
			p.listed = append(p.listed, i)
			entries = append(entries, config.Peer{ID: i.ID, Domain: i.FailureDomain})
			ids[i.ID] = true
		}
	}
	p.silence.Retain(ids)
	maps.DeleteFunc(p.left, func(id string, _ bool) bool { return !ids[id] })
	maps.DeleteFunc(p.heardAt, func(id string, _ time.Time) bool { return !ids[id] })
	p.mu.Unlock()
	p.conf.SetEntries(entries)
}

// heard notes a peer's sign of life; mu is held.
func (p *Peers) heard(id string) {
	p.silence.RecordContact(id)
	p.heardAt[id] = time.Now()
}

// Members lists the live entries for the duties: those listed, but for the ones
// that leave or are silent. This entry is always among them until it leaves.
func (p *Peers) Members() []duties.Member {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []duties.Member
	if !p.leaving {
		all = append(all, duties.Member{ID: p.options.ID, Address: p.options.Address, Domain: p.options.Domain})
	}
	for _, i := range p.listed {
		if i.ID != p.options.ID && !p.left[i.ID] && !p.silence.Dead(now, i.ID) {
			alive := now.Sub(p.heardAt[i.ID]) < aliveFor*p.options.HeartbeatInterval
			all = append(all, duties.Member{ID: i.ID, Address: i.Address, Domain: i.FailureDomain, Alive: alive})
		}
	}
	return all
}

// Others lists the other entries that the platform lists and does not call leaving.
func (p *Peers) Others() []kv.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var others []kv.Instance
	for _, i := range p.listed {
		if i.ID != p.options.ID {
			others = append(others, i)
		}
	}
	return others
}

// Run exchanges heartbeats until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	defer p.clients.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-p.kick:
		}
		for _, peer := range p.choose() {
			go p.beat(ctx, peer)
		}
		timer.Reset(p.options.HeartbeatInterval)
	}
}

func (p *Peers) choose() []kv.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	var others []gossip.Peer
	byID := map[string]kv.Instance{}
	for _, i := range p.listed {
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

// beat exchanges one heartbeat.
func (p *Peers) beat(ctx context.Context, peer kv.Instance) {
	request := p.request()
	sent := time.Now()
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	var reply wire.HeartbeatReply
	err := p.CallPeer(limited, peer.Address, false, methodHeartbeat, request, &reply)
	p.mu.Lock()
	switch {
	case err != nil:
		p.silence.RecordFailure(time.Now(), peer.ID)
	case reply.From == peer.ID:
		p.heard(peer.ID)
	}
	p.mu.Unlock()
	// Another instance under the old address speaks for itself only.
	if err != nil || reply.From != peer.ID {
		return
	}
	p.conf.Heard(ctx, config.Peer{ID: reply.From, Domain: reply.Domain}, reply.Revisions, sent)
	p.duties.Heard(reply.Holders)
	p.told(reply.From, reply.Quarantine)
}

func (p *Peers) request() wire.HeartbeatRequest {
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

func (p *Peers) told(from string, quarantine []wire.QuarantineEntry) {
	if p.options.OnQuarantine != nil && len(quarantine) > 0 {
		p.options.OnQuarantine(from, quarantine)
	}
}

// Offer offers a released duty to the entry at an inner address and waits until
// it is held; see dutyrun.Options.
func (p *Peers) Offer(ctx context.Context, address string, offer wire.DutyOffer) (wire.Holder, error) {
	var holder wire.Holder
	err := p.CallPeer(ctx, address, false, methodOffer, offer, &holder)
	return holder, err
}

// Probe asks the entry at an inner address whether it holds a duty; see
// dutyrun.Options.
func (p *Peers) Probe(ctx context.Context, address string, asked wire.HoldsRequest) (bool, error) {
	var holds bool
	err := p.CallPeer(ctx, address, false, methodHolds, asked, &holds)
	return holds, err
}

// Fetch asks a listed entry for its configuration.
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
	for _, i := range p.listed {
		if i.ID == id {
			return i.Address
		}
	}
	return ""
}

// holdersHash is equal for equal holders in the same order.
func holdersHash(holders []wire.Holder) uint64 {
	h := fnv.New64a()
	for _, o := range holders {
		_, _ = h.Write([]byte(o.Duty + "\x00" + o.Address + "\x00" + strconv.FormatInt(o.Epoch, 10) + "\x00"))
	}
	return h.Sum64()
}
