// Package confstate holds the configuration that is in force in a process,
// entry or agent, and runs the policy that keeps it current.
package confstate

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/config"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	tick        = 100 * time.Millisecond
	callTimeout = 2 * time.Second
)

// Snapshot is a revision with its declarations. It is never changed.
type Snapshot struct {
	Revision   int64           `json:"revision"`
	Deployment decl.Deployment `json:"deployment"`

	encoded []byte // the declarations, for missed changes
	digest  [sha256.Size]byte
}

// Fetch asks a peer entry, by instance id, for its configuration.
type Fetch func(ctx context.Context, peer string, request wire.ConfigRequest) (wire.ConfigReply, error)

// Options sets up a Holder.
type Options struct {
	Deployment string
	Self       config.Peer
	Entry      bool
	Store      kv.Store // entries only
	Fetch      Fetch    // entries only
	Log        *logrus.Logger
	Config     config.FollowerConfig
	RefusedLog config.RefusedLogConfig // entries only; the zero value takes the defaults
}

// State holds the configuration in force. It is safe for concurrent use.
type State struct {
	options Options
	current atomic.Pointer[Snapshot]
	whole   atomic.Bool // missed changes did not fit

	// applyMu orders applications and what they tell; it is taken before mu.
	applyMu     sync.Mutex
	subscribers []func(*decl.Deployment, int64)

	mu       sync.Mutex
	follower *config.Follower
	journal  *config.RefusedLog // entries only
	history  config.History
	rnd      *rand.Rand
}

// New returns a holder of no configuration.
func New(o Options) *State {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if o.RefusedLog == (config.RefusedLogConfig{}) {
		o.RefusedLog = config.DefaultRefusedLogConfig()
	}
	run := o.Self.ID + "/" + strconv.FormatUint(rnd.Uint64(), 36)
	return &State{
		options:  o,
		journal:  config.NewRefusedLog(o.RefusedLog, o.Deployment, run),
		follower: config.NewFollower(o.Config, o.Self, o.Entry, time.Now(), rnd),
		rnd:      rnd,
	}
}

// Run keeps the configuration current until ctx ends.
func (h *State) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			h.stopRefused(ctx)
			return nil
		case now := <-ticker.C:
			h.mu.Lock()
			need := h.follower.Tick(now, h.rnd)
			h.mu.Unlock()
			h.meet(ctx, need)
			h.writeRefused(ctx)
		}
	}
}

// Current returns the declarations in force, or nil. They must not be changed.
func (h *State) Current() *decl.Deployment {
	if s := h.current.Load(); s != nil {
		return &s.Deployment
	}
	return nil
}

// Revision returns the revision in force, or 0.
func (h *State) Revision() int64 {
	if s := h.current.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// Ready tells whether the process may take new work.
func (h *State) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.follower.Ready(time.Now())
}

// MayAccept tells whether this entry may accept an operator's change.
func (h *State) MayAccept() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.follower.MayAccept(time.Now())
}

// OnApply has fn called with each configuration that comes into force, in
// order, one at a time; with the one in force at once. fn must not block.
func (h *State) OnApply(fn func(*decl.Deployment, int64)) {
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	h.subscribers = append(h.subscribers, fn)
	if s := h.current.Load(); s != nil {
		fn(&s.Deployment, s.Revision)
	}
}

// SetEntries takes in the entries that the platform lists.
func (h *State) SetEntries(entries []config.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.follower.SetEntries(time.Now(), h.options.Deployment, entries)
}

// Revisions returns what a heartbeat tells of this process's configuration.
func (h *State) Revisions() []wire.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.follower.Status(time.Now())
	return []wire.Revision{{
		Deployment: h.options.Deployment, Revision: n.Revision, ConfirmedAgo: n.ConfirmedAgo,
		QuorumFor: n.QuorumFor, Boot: n.Boot, Clock: n.Clock, Whole: h.whole.Load(),
	}}
}

// Heard takes in what an entry's heartbeat tells. Sent is the own clock at a
// moment not later than the peer's sending: when the request was sent, for a
// reply; zero for a request, of which that is not known. It fetches what is missing without waiting for it.
func (h *State) Heard(ctx context.Context, from config.Peer, revisions []wire.Revision, sent time.Time) {
	for _, r := range revisions {
		if r.Deployment != h.options.Deployment {
			continue
		}
		h.mu.Lock()
		need := h.follower.Heard(time.Now(), config.PeerStatus{
			From: from, Revision: r.Revision, ConfirmedAgo: r.ConfirmedAgo,
			QuorumFor: r.QuorumFor, Boot: r.Boot, Clock: r.Clock, SentAt: sent,
		})
		h.mu.Unlock()
		h.meet(ctx, need)
	}
}

// UpdateFor returns the configuration for a peer whose heartbeat shows that it has
// an older one; false if it has not.
func (h *State) UpdateFor(revisions []wire.Revision) (wire.ConfigReply, bool) {
	for _, r := range revisions {
		if r.Deployment == h.options.Deployment && r.Revision < h.Revision() {
			return h.Serve(wire.ConfigRequest{Deployment: r.Deployment, Have: r.Revision, Whole: r.Whole}), true
		}
	}
	return wire.ConfigReply{}, false
}

// Serve answers a peer that asks for configuration newer than it has.
func (h *State) Serve(request wire.ConfigRequest) wire.ConfigReply {
	s := h.current.Load()
	if s == nil || request.Deployment != h.options.Deployment || s.Revision <= request.Have {
		return wire.ConfigReply{}
	}
	if reply, few := h.missed(s, request); few {
		return reply
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		panic(err) // structs of strings and finite numbers always encode
	}
	return wire.ConfigReply{Revision: s.Revision, Snapshot: encoded}
}

// ApplyReply takes in configuration that a peer sent.
func (h *State) ApplyReply(reply wire.ConfigReply) error {
	if len(reply.Missed) > 0 {
		return h.putMissed(reply)
	}
	if len(reply.Snapshot) == 0 {
		return nil
	}
	var s Snapshot
	if err := json.Unmarshal(reply.Snapshot, &s); err != nil {
		return errors.Wrap(err, "confstate: snapshot")
	}
	if s.Revision != reply.Revision || s.Deployment.Name != h.options.Deployment {
		return errors.Errorf("confstate: snapshot of %q at %d where %q at %d was due",
			s.Deployment.Name, s.Revision, h.options.Deployment, reply.Revision)
	}
	h.apply(&s)
	return nil
}

// ApplyRecord takes in a record that the service holds, read or written by this
// process by a call sent at sent.
func (h *State) ApplyRecord(record config.Record, sent time.Time) {
	if record.Revision > 0 {
		h.apply(&Snapshot{Revision: record.Revision, Deployment: record.Deployment})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.follower.Stored(time.Now(), sent, record.Revision)
}

// apply puts a snapshot in force unless one as new is: messages overtake each
// other, and an older one that arrives late must not revert what is in force.
func (h *State) apply(s *Snapshot) {
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	if s.Revision <= h.Revision() {
		return
	}
	s.encoded = encodeDeployment(&s.Deployment)
	s.digest = sha256.Sum256(s.encoded)
	before := h.current.Load()
	h.mu.Lock()
	if before != nil {
		h.history.Add(config.NewDelta(before.Revision, s.Revision, before.encoded, s.encoded))
	}
	h.current.Store(s)
	h.whole.Store(false)
	h.follower.Applied(time.Now(), s.Revision)
	h.mu.Unlock()
	events.ConfigInForce.Log(h.options.Log, logrus.Fields{"deployment": s.Deployment.Name, "revision": s.Revision})
	for _, fn := range h.subscribers {
		fn(&s.Deployment, s.Revision)
	}
}

func (h *State) meet(ctx context.Context, need config.Need) {
	switch need.Kind {
	case config.NeedRead:
		go h.read(ctx)
	case config.NeedFetch:
		go h.fetch(ctx, need.Peer)
	}
}

func (h *State) read(ctx context.Context) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := h.options.Store.Get(ctx, kv.UseConfig, config.Key(h.options.Deployment))
	if err != nil {
		return // the policy asks again, and counts how long there was no proof
	}
	record, err := config.DecodeRecord(found.Value)
	if err != nil {
		events.ConfigUnreadable.Log(h.options.Log, logrus.Fields{"error": err.Error()})
		return
	}
	h.ApplyRecord(record, sent)
}

func (h *State) fetch(ctx context.Context, peer string) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := h.options.Fetch(limited, peer, wire.ConfigRequest{Deployment: h.options.Deployment, Have: h.Revision(), Whole: h.whole.Load()})
	if err == nil {
		err = h.ApplyReply(reply)
	}
	if err == nil {
		return
	}
	h.mu.Lock()
	need := h.follower.FetchFailed(time.Now(), peer)
	h.mu.Unlock()
	h.meet(ctx, need)
}
