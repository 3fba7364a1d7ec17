package config

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// FollowerConfig holds the parameters of a Follower.
type FollowerConfig struct {
	Watchers        int           // number of entries that read the service at a time
	PollInterval    time.Duration // between the reads of a watcher
	OwnReadDelay    time.Duration // least time that a new entry waits for peers before it reads the service itself, and least time between reads of an entry that is no watcher
	MaxStaleness    time.Duration // a process whose last proof of being current is older takes no new work
	FetchRetryDelay time.Duration // before a fetch without an answer is retried at another peer
	QuorumPeers     int           // entries that suffice for a quorum in a large deployment; a small one needs most of its entries
}

// DefaultFollowerConfig returns the parameters that siskinloomd uses.
func DefaultFollowerConfig() FollowerConfig {
	return FollowerConfig{
		Watchers:        3,
		PollInterval:    time.Second,
		OwnReadDelay:    2 * time.Second,
		MaxStaleness:    5 * time.Second,
		FetchRetryDelay: 500 * time.Millisecond,
		QuorumPeers:     8,
	}
}

// Peer is an entry of the deployment.
type Peer struct {
	ID     string
	Domain string // failure domain
}

// PeerStatus is what a heartbeat says about the configuration of a peer.
type PeerStatus struct {
	From         Peer
	Revision     int64
	ConfirmedAgo time.Duration // age of the proof that no newer revision existed; negative: no proof
	QuorumFor    time.Duration // how long the peer stays in contact with a quorum without further heartbeats; 0: it is not in contact with one
	Boot         uint64        // identifies the run of the peer's process
	Clock        time.Duration // time since that run started, by the peer's clock
	SentAt       time.Time     // earliest time, by this process's clock, at which the peer can have sent it; zero: unknown
}

// NoConfirmation is the ConfirmedAgo of a process that has no proof.
const NoConfirmation = time.Duration(-1)

// NeedKind says what a follower needs.
type NeedKind int

// The kinds of need.
const (
	NeedNothing NeedKind = iota
	NeedRead             // read the record from the service
	NeedFetch            // fetch the configuration from Peer
)

// Need is what the caller of a follower does next.
type Need struct {
	Kind NeedKind
	Peer string
}

// Follower decides for one process what it has to fetch and whether the revision
// it holds is current. It is not safe for concurrent use.
//
// A process is current while it has proof, not older than MaxStaleness, that no
// newer revision exists: a read of the service, its own or one that its peers
// report. In an outage of the service no process has such proof. Then it must be in
// contact with a quorum: it must have received recent heartbeats of entries in most
// failure domains. An entry in turn accepts a change only while it is in contact with
// a quorum (MayAccept). So a change accepted on one side of a partition reaches,
// through a failure domain that is in contact with both sides, every process on the
// other side that still takes work.
//
// The status of a peer counts from the time it was sent. If it counted from its
// arrival, the messages waiting in the sockets of a paused process would make the
// process current when it resumes, and it would work under a revision that was
// replaced long before.
type Follower struct {
	config   FollowerConfig
	self     Peer
	entry    bool // entries may read the service and fetch from peers
	watcher  bool
	readTurn readTurn
	boot     uint64
	started  time.Time

	entries          []Peer
	domains          int // number of failure domains that have entries
	statuses         map[string]lastStatus
	transit          transitEstimator
	entryQuorumUntil time.Time // agents only: until then an entry is in contact with a quorum

	have       int64     // revision in force in this process
	newest     int64     // newest revision that any process has reported
	newestBy   string    // the process that reported it
	confirmed  time.Time // when it was last proved that have is the newest revision; zero: no proof
	wasReady   bool      // the process was ready before
	nextRead   time.Time
	ownReadAge time.Duration // age of the proof at which an entry that is not a watcher reads the service
	nextFetch  time.Time
}

// lastStatus is the last status of a peer.
type lastStatus struct {
	peer     Peer
	at       time.Time // of arrival
	sentAt   time.Time // lower bound of when the newest heartbeat was sent; zero: unknown
	revision int64
}

// NewFollower returns the follower of a process that has no configuration yet. If
// entry is false the process is an agent, which fetches nothing: its entries send it
// what it lacks.
func NewFollower(config FollowerConfig, self Peer, entry bool, now time.Time, rnd *rand.Rand) *Follower {
	delay := config.OwnReadDelay + time.Duration(rnd.Int64N(int64(config.OwnReadDelay)+1))
	return &Follower{
		config:     config,
		self:       self,
		entry:      entry,
		boot:       rnd.Uint64(),
		started:    now,
		statuses:   map[string]lastStatus{},
		transit:    newTransitEstimator(now),
		nextRead:   now.Add(delay),
		ownReadAge: config.MaxStaleness - config.PollInterval,
	}
}

// SetEntries sets the deployment's entries, whether reachable or not.
func (f *Follower) SetEntries(now time.Time, deployment string, entries []Peer) {
	if slices.Equal(f.entries, entries) {
		return
	}
	f.entries = slices.Clone(entries)
	domains := map[string]bool{}
	for _, e := range entries {
		domains[e.Domain] = true
	}
	f.domains = len(domains)
	f.readTurn = newReadTurn(deployment, f.self.ID, entries)
	f.updateWatcher(now)
}

// updateWatcher makes the process a watcher, or stops it from being one, by turns.
func (f *Follower) updateWatcher(now time.Time) {
	was := f.watcher
	f.watcher = f.entry && f.readTurn.active(now, f.config.PollInterval, f.config.Watchers)
	if f.watcher && !was {
		f.nextRead = now
	}
}

// Watcher reports whether this process reads the service for the others.
func (f *Follower) Watcher() bool {
	return f.watcher
}

// StatusReceived processes the status of a peer and returns what to do about it.
//
// The caller sets SentAt of an answer to the time of the request, since the answer
// cannot have been sent before. For any other heartbeat the time is estimated from
// the clock of the sender.
func (f *Follower) StatusReceived(now time.Time, s PeerStatus) Need {
	if s.SentAt.IsZero() {
		s.SentAt = f.transit.sentAt(now, s)
	}
	f.recordPeer(now, s)
	f.learn(now, s.Revision, s.From.ID)
	// A peer's proof counts only if its revision is not newer than the one held here,
	// and its quorum only if the revisions are the same.
	if !s.SentAt.IsZero() && s.Revision <= f.have {
		f.trust(s)
	}
	return f.fetch(now)
}

// recordPeer records the status of a peer.
func (f *Follower) recordPeer(now time.Time, s PeerStatus) {
	h := lastStatus{peer: s.From, at: now, sentAt: s.SentAt, revision: s.Revision}
	if before := f.statuses[s.From.ID].sentAt; before.After(h.sentAt) {
		h.sentAt = before
	}
	f.statuses[s.From.ID] = h
}

// trust adopts the proof and, in an agent, the quorum of a peer.
func (f *Follower) trust(s PeerStatus) {
	if s.ConfirmedAgo >= 0 {
		f.confirm(s.SentAt.Add(-s.ConfirmedAgo))
	}
	if until := s.SentAt.Add(s.QuorumFor); !f.entry && s.Revision == f.have && until.After(f.entryQuorumUntil) {
		f.entryQuorumUntil = until
	}
}

// learn records that a process knows of a revision.
func (f *Follower) learn(now time.Time, revision int64, by string) {
	if revision > f.newest {
		f.newest, f.newestBy = revision, by
		f.nextFetch = now
	}
}

// confirm records proof that no newer revision existed at a time.
func (f *Follower) confirm(at time.Time) {
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// fetch returns the need to fetch a newer revision, from one peer at a time.
func (f *Follower) fetch(now time.Time) Need {
	if !f.entry || f.have >= f.newest || now.Before(f.nextFetch) {
		return Need{}
	}
	f.nextFetch = now.Add(f.config.FetchRetryDelay)
	return Need{Kind: NeedFetch, Peer: f.newestBy}
}

// FetchFailed records that a peer did not answer a fetch. The next fetch goes to another
// peer that has the revision, or after FetchRetryDelay to the same one if there is none.
func (f *Follower) FetchFailed(now time.Time, peer string) Need {
	f.nextFetch = now
	for id, h := range f.statuses {
		if id != peer && h.revision >= f.newest {
			f.newestBy = id
			break
		}
	}
	if f.newestBy == peer {
		f.nextFetch = now.Add(f.config.FetchRetryDelay)
	}
	return f.fetch(now)
}

// Stored records the revision that the service holds, which this process has read
// or written; sent is when it sent the call. The caller applies the record first.
func (f *Follower) Stored(now, sent time.Time, revision int64) {
	f.learn(now, revision, f.self.ID)
	if revision <= f.have {
		f.confirm(sent)
	}
}

// Applied records that a revision is in force in this process.
func (f *Follower) Applied(now time.Time, revision int64) {
	if revision > f.have {
		f.have = revision
		f.learn(now, revision, f.self.ID)
	}
}

// Tick advances the clock and returns what is due.
func (f *Follower) Tick(now time.Time, rnd *rand.Rand) Need {
	f.forget(now)
	f.updateWatcher(now)
	f.wasReady = f.wasReady || f.Ready(now)
	if need := f.fetch(now); need.Kind != NeedNothing {
		return need
	}
	if !f.entry || now.Before(f.nextRead) {
		return Need{}
	}
	if f.watcher {
		f.nextRead = now.Add(f.config.PollInterval)
		return Need{Kind: NeedRead}
	}
	// An entry that has received no proof from a watcher for long enough reads the
	// service itself: all watchers may have died or be partitioned, or the
	// deployment may just be starting. It reads before its own proof is too old.
	// Otherwise the entries of a partitioned region would stop one after the other
	// although the service answers them. The age is random, so that not all entries
	// read at once: one read serves all of them.
	if f.have > 0 && now.Sub(f.confirmed) < f.ownReadAge {
		return Need{}
	}
	f.ownReadAge = f.config.MaxStaleness - f.config.PollInterval/2 - time.Duration(rnd.Int64N(int64(f.config.PollInterval/2)+1))
	f.nextRead = now.Add(f.config.OwnReadDelay + time.Duration(rnd.Int64N(int64(f.config.OwnReadDelay)+1)))
	return Need{Kind: NeedRead}
}

// forget drops peers from which no status was received for 2 * MaxStaleness.
func (f *Follower) forget(now time.Time) {
	for id, h := range f.statuses {
		if now.Sub(h.at) > 2*f.config.MaxStaleness {
			delete(f.statuses, id)
		}
	}
	f.transit.forget(now)
}

// quorumUntil returns the time until which this process is in contact with a quorum if
// no further heartbeats arrive. A quorum consists of entries in most failure domains
// and, in a small deployment, of most entries. Any two quorums intersect.
func (f *Follower) quorumUntil(now time.Time) time.Time {
	if f.domains == 0 {
		return time.Time{}
	}
	var peers []time.Time
	byDomain := map[string]time.Time{}
	for id, h := range f.statuses {
		if id == f.self.ID || h.sentAt.IsZero() {
			continue
		}
		peers = append(peers, h.sentAt)
		if d := h.peer.Domain; d != f.self.Domain && h.sentAt.After(byDomain[d]) {
			byDomain[d] = h.sentAt
		}
	}
	domains := slices.Collect(maps.Values(byDomain))
	last := earlier(
		nthNewest(now, peers, min(f.config.QuorumPeers, len(f.entries)/2)),
		nthNewest(now, domains, f.domains/2), // plus this process's own domain
	)
	return last.Add(f.config.MaxStaleness)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// nthNewest returns the n-th newest of the times, now if n is 0, or the zero time if
// there are fewer than n.
func nthNewest(now time.Time, times []time.Time, n int) time.Time {
	switch {
	case n == 0:
		return now
	case len(times) < n:
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[n-1]
}

// Ready reports whether the process may take new work. A new process must hold the
// newest revision that it knows of. A process that was ready before and learns
// of a newer revision continues while its proof is recent enough and fetches the
// revision meanwhile. A quorum does not count as proof then, since peers that know
// of the newer revision do not confirm the older one.
func (f *Follower) Ready(now time.Time) bool {
	behind := f.have < f.newest
	if f.have == 0 || behind && !f.wasReady {
		return false
	}
	if !f.confirmed.IsZero() && now.Sub(f.confirmed) <= f.config.MaxStaleness {
		return true
	}
	return !behind && f.hasQuorum(now)
}

// hasQuorum reports whether the process is in contact with a quorum. An agent relies on
// the reports of entries.
func (f *Follower) hasQuorum(now time.Time) bool {
	if !f.entry {
		return !now.After(f.entryQuorumUntil)
	}
	return !now.After(f.quorumUntil(now))
}

// MayAccept reports whether the process may accept a change. Only an entry in contact
// with a quorum may, so that the change reaches every process that takes work.
func (f *Follower) MayAccept(now time.Time) bool {
	return f.entry && f.hasQuorum(now)
}

// Status returns the status of this process for a heartbeat.
func (f *Follower) Status(now time.Time) PeerStatus {
	s := PeerStatus{From: f.self, Boot: f.boot, Clock: now.Sub(f.started)}
	s.Revision, s.ConfirmedAgo = f.Revision(now)
	if f.entry && f.have >= f.newest {
		s.QuorumFor = max(0, f.quorumUntil(now).Sub(now))
	}
	return s
}

// Revision returns the revision in force and the age of the proof that it is current.
func (f *Follower) Revision(now time.Time) (int64, time.Duration) {
	if f.confirmed.IsZero() {
		return f.have, NoConfirmation
	}
	return f.have, now.Sub(f.confirmed)
}
