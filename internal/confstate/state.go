// Package confstate keeps the configuration that is in force in a process,
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
	tickInterval = 100 * time.Millisecond
	callTimeout  = 2 * time.Second
)

// Snapshot is a revision with its declarations. It is immutable.
type Snapshot struct {
	Revision   int64           `json:"revision"`
	Deployment decl.Deployment `json:"deployment"`

	encoded []byte // the encoded declarations, to compute deltas
	digest  [sha256.Size]byte
}

// Fetch requests the configuration of a peer entry by its instance ID.
type Fetch func(ctx context.Context, peer string, request wire.ConfigRequest) (wire.ConfigReply, error)

// Options configures a State.
type Options struct {
	Deployment string
	Self       config.Peer
	Entry      bool
	Store      kv.Store // entries only
	Fetch      Fetch    // entries only
	Log        *logrus.Logger
	Config     config.FollowerConfig
	RefusedLog config.RefusedLogConfig // entries only; the zero value means the defaults
}

// State is the configuration in force in a process. It is safe for concurrent
// use.
type State struct {
	options       Options
	current       atomic.Pointer[Snapshot]
	needsSnapshot atomic.Bool // received deltas could not be applied, so a full snapshot is requested next

	// applyMu serializes the application of configurations and the calls of
	// subscribers; it is locked before mu.
	applyMu     sync.Mutex
	subscribers []func(*decl.Deployment, int64)

	mu         sync.Mutex
	follower   *config.Follower
	refusedLog *config.RefusedLog // entries only
	history    config.History
	rnd        *rand.Rand
}

// New returns a State without a configuration.
func New(o Options) *State {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	if o.RefusedLog == (config.RefusedLogConfig{}) {
		o.RefusedLog = config.DefaultRefusedLogConfig()
	}
	run := o.Self.ID + "/" + strconv.FormatUint(rnd.Uint64(), 36)
	return &State{
		options:    o,
		refusedLog: config.NewRefusedLog(o.RefusedLog, o.Deployment, run),
		follower:   config.NewFollower(o.Config, o.Self, o.Entry, time.Now(), rnd),
		rnd:        rnd,
	}
}

// Run keeps the configuration current until ctx is done.
func (h *State) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			h.flushRefused(ctx)
			return nil
		case now := <-ticker.C:
			h.mu.Lock()
			need := h.follower.Tick(now, h.rnd)
			h.mu.Unlock()
			h.handleNeed(ctx, need)
			h.writeRefused(ctx)
		}
	}
}

// Current returns the declarations in force, or nil. The result must not be
// modified.
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

// Ready reports whether the process may accept new work.
func (h *State) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.follower.Ready(time.Now())
}

// MayAccept reports whether this entry may accept an operator's change.
func (h *State) MayAccept() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.follower.MayAccept(time.Now())
}

// OnApply subscribes fn to the configurations that come into force. It calls fn
// in order and never concurrently, the first time immediately if a
// configuration is in force. fn must not block.
func (h *State) OnApply(fn func(*decl.Deployment, int64)) {
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	h.subscribers = append(h.subscribers, fn)
	if s := h.current.Load(); s != nil {
		fn(&s.Deployment, s.Revision)
	}
}

// SetEntries sets the entries that the platform lists.
func (h *State) SetEntries(entries []config.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.follower.SetEntries(time.Now(), h.options.Deployment, entries)
}

// Revisions returns what a heartbeat reports about this process's
// configuration.
func (h *State) Revisions() []wire.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.follower.Status(time.Now())
	return []wire.Revision{{
		Deployment: h.options.Deployment, Revision: n.Revision, ConfirmedAgo: n.ConfirmedAgo,
		QuorumFor: n.QuorumFor, Boot: n.Boot, Clock: n.Clock, Whole: h.needsSnapshot.Load(),
	}}
}

// StatusReceived processes the configuration status in an entry's heartbeat.
// sentAt is a time of this process's clock that is not later than when the peer
// sent it: for a reply, the time when the request was sent; zero for a request,
// whose time of sending is unknown. StatusReceived starts to fetch a missing
// configuration without waiting for it.
func (h *State) StatusReceived(ctx context.Context, from config.Peer, revisions []wire.Revision, sentAt time.Time) {
	for _, r := range revisions {
		if r.Deployment != h.options.Deployment {
			continue
		}
		h.mu.Lock()
		need := h.follower.StatusReceived(time.Now(), config.PeerStatus{
			From: from, Revision: r.Revision, ConfirmedAgo: r.ConfirmedAgo,
			QuorumFor: r.QuorumFor, Boot: r.Boot, Clock: r.Clock, SentAt: sentAt,
		})
		h.mu.Unlock()
		h.handleNeed(ctx, need)
	}
}

// UpdateFor returns the configuration for a peer whose heartbeat shows an older
// one, and false if the peer's is not older.
func (h *State) UpdateFor(revisions []wire.Revision) (wire.ConfigReply, bool) {
	for _, r := range revisions {
		if r.Deployment == h.options.Deployment && r.Revision < h.Revision() {
			return h.Serve(wire.ConfigRequest{Deployment: r.Deployment, Have: r.Revision, Whole: r.Whole}), true
		}
	}
	return wire.ConfigReply{}, false
}

// Serve answers a peer that requests a newer configuration than it has.
func (h *State) Serve(request wire.ConfigRequest) wire.ConfigReply {
	s := h.current.Load()
	if s == nil || request.Deployment != h.options.Deployment || s.Revision <= request.Have {
		return wire.ConfigReply{}
	}
	if reply, few := h.missedChanges(s, request); few {
		return reply
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		panic(err) // encoding structs of strings and finite numbers can't fail
	}
	return wire.ConfigReply{Revision: s.Revision, Snapshot: encoded}
}

// ApplyReply applies a configuration that a peer sent.
func (h *State) ApplyReply(reply wire.ConfigReply) error {
	if len(reply.Missed) > 0 {
		return h.applyMissed(reply)
	}
	if len(reply.Snapshot) == 0 {
		return nil
	}
	var s Snapshot
	if err := json.Unmarshal(reply.Snapshot, &s); err != nil {
		return errors.Wrap(err, "confstate: snapshot")
	}
	if s.Revision != reply.Revision || s.Deployment.Name != h.options.Deployment {
		return errors.Errorf("confstate: snapshot of %q at revision %d was received where %q at revision %d was expected",
			s.Deployment.Name, s.Revision, h.options.Deployment, reply.Revision)
	}
	h.apply(&s)
	return nil
}

// ApplyRecord applies a record of the key-value service, which this process
// read or wrote in a call sent at sentAt.
func (h *State) ApplyRecord(record config.Record, sentAt time.Time) {
	if record.Revision > 0 {
		h.apply(&Snapshot{Revision: record.Revision, Deployment: record.Deployment})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.follower.Stored(time.Now(), sentAt, record.Revision)
}

// apply puts a snapshot in force if it is newer than the current one. Messages
// can overtake each other, and an older snapshot that arrives late must not
// replace a newer one.
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
	h.needsSnapshot.Store(false)
	h.follower.Applied(time.Now(), s.Revision)
	h.mu.Unlock()
	events.ConfigInForce.Log(h.options.Log, logrus.Fields{"deployment": s.Deployment.Name, "revision": s.Revision})
	for _, fn := range h.subscribers {
		fn(&s.Deployment, s.Revision)
	}
}

// handleNeed starts the read or fetch that the policy needs.
func (h *State) handleNeed(ctx context.Context, need config.Need) {
	switch need.Kind {
	case config.NeedRead:
		go h.read(ctx)
	case config.NeedFetch:
		go h.fetch(ctx, need.Peer)
	}
}

func (h *State) read(ctx context.Context) {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := h.options.Store.Get(ctx, kv.UseConfig, config.Key(h.options.Deployment))
	if err != nil {
		return // the policy retries and tracks how long the configuration is unconfirmed
	}
	record, err := config.DecodeRecord(found.Value)
	if err != nil {
		events.ConfigUnreadable.Log(h.options.Log, logrus.Fields{"error": err.Error()})
		return
	}
	h.ApplyRecord(record, sentAt)
}

func (h *State) fetch(ctx context.Context, peer string) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := h.options.Fetch(callCtx, peer, wire.ConfigRequest{Deployment: h.options.Deployment, Have: h.Revision(), Whole: h.needsSnapshot.Load()})
	if err == nil {
		err = h.ApplyReply(reply)
	}
	if err == nil {
		return
	}
	h.mu.Lock()
	need := h.follower.FetchFailed(time.Now(), peer)
	h.mu.Unlock()
	h.handleNeed(ctx, need)
}
