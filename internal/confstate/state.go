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
	Entry      bool     // the process is an entry, not an agent
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
func (st *State) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			st.flushRefused(ctx)
			return nil
		case now := <-ticker.C:
			st.mu.Lock()
			need := st.follower.Tick(now, st.rnd)
			st.mu.Unlock()
			st.handleNeed(ctx, need)
			st.writeRefused(ctx)
		}
	}
}

// Current returns the declarations in force, or nil. The result must not be
// modified.
func (st *State) Current() *decl.Deployment {
	if s := st.current.Load(); s != nil {
		return &s.Deployment
	}
	return nil
}

// Revision returns the revision in force, or 0.
func (st *State) Revision() int64 {
	if s := st.current.Load(); s != nil {
		return s.Revision
	}
	return 0
}

// Ready reports whether the process may accept new work.
func (st *State) Ready() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.follower.Ready(time.Now())
}

// MayAccept reports whether this entry may accept an operator's change.
func (st *State) MayAccept() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.follower.MayAccept(time.Now())
}

// OnApply subscribes fn to the configurations that come into force. It calls fn
// in order and never concurrently, the first time immediately if a
// configuration is in force. fn must not block.
func (st *State) OnApply(fn func(*decl.Deployment, int64)) {
	st.applyMu.Lock()
	defer st.applyMu.Unlock()
	st.subscribers = append(st.subscribers, fn)
	if s := st.current.Load(); s != nil {
		fn(&s.Deployment, s.Revision)
	}
}

// SetEntries sets the entries that the platform lists.
func (st *State) SetEntries(entries []config.Peer) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.follower.SetEntries(time.Now(), st.options.Deployment, entries)
}

// Revisions returns what a heartbeat reports about this process's
// configuration.
func (st *State) Revisions() []wire.Revision {
	st.mu.Lock()
	defer st.mu.Unlock()
	n := st.follower.Status(time.Now())
	return []wire.Revision{{
		Deployment: st.options.Deployment, Revision: n.Revision, ConfirmedAgo: n.ConfirmedAgo,
		QuorumFor: n.QuorumFor, Boot: n.Boot, Clock: n.Clock, Whole: st.needsSnapshot.Load(),
	}}
}

// StatusReceived processes the configuration status in an entry's heartbeat.
// sentAt is a time of this process's clock that is not later than when the peer
// sent it: for a reply, the time when the request was sent; zero for a request,
// whose time of sending is unknown. StatusReceived starts to fetch a missing
// configuration without waiting for it.
func (st *State) StatusReceived(ctx context.Context, from config.Peer, revisions []wire.Revision, sentAt time.Time) {
	for _, r := range revisions {
		if r.Deployment != st.options.Deployment {
			continue
		}
		st.mu.Lock()
		need := st.follower.StatusReceived(time.Now(), config.PeerStatus{
			From: from, Revision: r.Revision, ConfirmedAgo: r.ConfirmedAgo,
			QuorumFor: r.QuorumFor, Boot: r.Boot, Clock: r.Clock, SentAt: sentAt,
		})
		st.mu.Unlock()
		st.handleNeed(ctx, need)
	}
}

// UpdateFor returns the configuration for a peer whose heartbeat shows an older
// one, and false if the peer's is not older.
func (st *State) UpdateFor(revisions []wire.Revision) (wire.ConfigReply, bool) {
	for _, r := range revisions {
		if r.Deployment == st.options.Deployment && r.Revision < st.Revision() {
			return st.Serve(wire.ConfigRequest{Deployment: r.Deployment, Have: r.Revision, Whole: r.Whole}), true
		}
	}
	return wire.ConfigReply{}, false
}

// Serve answers a peer that requests a newer configuration than it has.
func (st *State) Serve(request wire.ConfigRequest) wire.ConfigReply {
	s := st.current.Load()
	if s == nil || request.Deployment != st.options.Deployment || s.Revision <= request.Have {
		return wire.ConfigReply{}
	}
	if reply, ok := st.missedChanges(s, request); ok {
		return reply
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		panic(err) // encoding structs of strings and finite numbers can't fail
	}
	return wire.ConfigReply{Revision: s.Revision, Snapshot: encoded}
}

// ApplyReply applies a configuration that a peer sent.
func (st *State) ApplyReply(reply wire.ConfigReply) error {
	if len(reply.Missed) > 0 {
		return st.applyMissed(reply)
	}
	if len(reply.Snapshot) == 0 {
		return nil
	}
	var s Snapshot
	if err := json.Unmarshal(reply.Snapshot, &s); err != nil {
		return errors.Wrap(err, "confstate: snapshot")
	}
	if s.Revision != reply.Revision || s.Deployment.Name != st.options.Deployment {
		return errors.Errorf("confstate: snapshot of %q at revision %d was received where %q at revision %d was expected",
			s.Deployment.Name, s.Revision, st.options.Deployment, reply.Revision)
	}
	st.apply(&s)
	return nil
}

// ApplyRecord applies a record of the key-value service, which this process
// read or wrote in a call sent at sentAt.
func (st *State) ApplyRecord(record config.Record, sentAt time.Time) {
	if record.Revision > 0 {
		st.apply(&Snapshot{Revision: record.Revision, Deployment: record.Deployment})
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.follower.Stored(time.Now(), sentAt, record.Revision)
}

// apply puts a snapshot in force if it is newer than the current one. Messages
// can overtake each other, and an older snapshot that arrives late must not
// replace a newer one.
func (st *State) apply(s *Snapshot) {
	st.applyMu.Lock()
	defer st.applyMu.Unlock()
	if s.Revision <= st.Revision() {
		return
	}
	s.encoded = encodeDeployment(&s.Deployment)
	s.digest = sha256.Sum256(s.encoded)
	before := st.current.Load()
	st.mu.Lock()
	if before != nil {
		st.history.Add(config.NewDelta(before.Revision, s.Revision, before.encoded, s.encoded))
	}
	st.current.Store(s)
	st.needsSnapshot.Store(false)
	st.follower.Applied(time.Now(), s.Revision)
	st.mu.Unlock()
	events.ConfigInForce.Log(st.options.Log, logrus.Fields{"deployment": s.Deployment.Name, "revision": s.Revision})
	for _, fn := range st.subscribers {
		fn(&s.Deployment, s.Revision)
	}
}

// handleNeed starts the read or fetch that the policy needs.
func (st *State) handleNeed(ctx context.Context, need config.Need) {
	switch need.Kind {
	case config.NeedRead:
		go st.read(ctx)
	case config.NeedFetch:
		go st.fetch(ctx, need.Peer)
	}
}

func (st *State) read(ctx context.Context) {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := st.options.Store.Get(ctx, kv.UseConfig, config.Key(st.options.Deployment))
	if err != nil {
		return // the policy retries and tracks how long the configuration is unconfirmed
	}
	record, err := config.DecodeRecord(found.Value)
	if err != nil {
		events.ConfigUnreadable.Log(st.options.Log, logrus.Fields{"error": err.Error()})
		return
	}
	st.ApplyRecord(record, sentAt)
}

func (st *State) fetch(ctx context.Context, peer string) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := st.options.Fetch(callCtx, peer, wire.ConfigRequest{Deployment: st.options.Deployment, Have: st.Revision(), Whole: st.needsSnapshot.Load()})
	if err == nil {
		err = st.ApplyReply(reply)
	}
	if err == nil {
		return
	}
	st.mu.Lock()
	need := st.follower.FetchFailed(time.Now(), peer)
	st.mu.Unlock()
	st.handleNeed(ctx, need)
}
