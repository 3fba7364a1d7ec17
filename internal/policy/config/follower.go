package config

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// FollowerConfig holds the parameters of following.
type FollowerConfig struct {
	Watchers        int           // entries that read the service at a time
	PollInterval    time.Duration // between a watcher's reads
	OwnReadDelay    time.Duration // a fresh process waits this long for peers before it reads the service itself
	MaxStaleness    time.Duration // without proof of being current for longer, a process takes no new work
	FetchRetryDelay time.Duration // before a fetch that did not answer is tried elsewhere
	QuorumPeers     int           // entries heard that are enough in a large deployment; in a small one it takes most of them
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

// News is what a heartbeat tells of a peer's configuration.
type PeerStatus struct {
	From         Peer
	Revision     int64
	ConfirmedAgo time.Duration // age of its proof that there was no newer one; negative: it has none
	QuorumFor    time.Duration // for so long it hears a quorum if nobody speaks again; 0: it hears none
	Boot         uint64        // differs for each run of the peer's process
	Clock        time.Duration // since that run began, by the peer's clock
	SentAt       time.Time     // own clock, not later than the peer sent it; zero: not known
}

// NoConfirmation is the ConfirmedAgo of a process without proof.
const NoConfirmation = time.Duration(-1)

// NeedKind is what a follower needs.
type NeedKind int

// The kinds of need.
const (
	NeedNothing NeedKind = iota
	NeedRead             // read the record from the service
	NeedFetch            // fetch the configuration from Peer
)

// Need is what a follower's runtime does next.
type Need struct {
	Kind NeedKind
	Peer string
}

// Follower decides for one process what it has to fetch, and whether what it
// holds is current. It is not safe for concurrent use.
//
// A process is current while it has proof, not older than the bound, that there
// is no newer revision: a read of the service, its own or one told along by its
// peers. In an outage of the service nobody has such proof; then it has to hear
// a quorum: entries in most failure domains. An entry in turn accepts a change
// only while it hears a quorum (MayAccept). So a change accepted on one side of
// a partition reaches, through a failure domain that both hear, every process
// that still takes work on the other.
//
// What a peer said counts from when it was sent. Counted from its arrival, the
// messages that wait in the sockets of a paused process would make it current
// when it goes on, and it would work under a revision replaced long before.
type Follower struct {
	config  FollowerConfig
	self    Peer
	entry   bool // entries may read the service and fetch from peers
	watcher bool
	turn    turn
	boot    uint64
	started time.Time

	entries []Peer
	domains int // failure domains that entries stand in
	heard   map[string]heardPeer
	late    lateness
	vouched time.Time // agents only: until then an entry hears a quorum

	have      int64 // revision in force here
	newest    int64 // told by anyone
	newestBy  string
	confirmed time.Time // no newer revision than have at this time; zero: no proof
	seasoned  bool      // it was ready before
	nextRead  time.Time
	ownRead   time.Duration // age of the proof at which an entry that is no watcher reads itself
	nextFetch time.Time
}

type heardPeer struct {
	peer     Peer
	at       time.Time // of arrival
	sent     time.Time // not later than sent; zero: not known of any word
	revision int64
}

// NewFollower returns the follower of a process that holds no configuration.
// An agent is not an entry: its entries bring it what it lacks.
func NewFollower(config FollowerConfig, self Peer, entry bool, now time.Time, rnd *rand.Rand) *Follower {
	wait := config.OwnReadDelay + time.Duration(rnd.Int64N(int64(config.OwnReadDelay)+1))
	return &Follower{
		config:   config,
		self:     self,
		entry:    entry,
		boot:     rnd.Uint64(),
		started:  now,
		heard:    map[string]heardPeer{},
		late:     newLateness(now),
		nextRead: now.Add(wait),
		ownRead:  config.MaxStaleness - config.PollInterval,
	}
}

// SetEntries takes in the deployment's entries, whether reachable or not.
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
	f.turn = newTurn(deployment, f.self.ID, entries)
	f.takeTurn(now)
}

// takeTurn becomes a watcher, or ceases to be one.
func (f *Follower) takeTurn(now time.Time) {
	was := f.watcher
	f.watcher = f.entry && f.turn.mine(now, f.config.PollInterval, f.config.Watchers)
	if f.watcher && !was {
		f.nextRead = now
	}
}

// Watcher tells whether this process reads the service for the others.
func (f *Follower) Watcher() bool {
	return f.watcher
}

// Heard takes in a peer's news.
//
// An answer cannot have been sent before its request. How late any other
// heartbeat is shows by its sender's clock.
func (f *Follower) Heard(now time.Time, n PeerStatus) Need {
	if n.SentAt.IsZero() {
		n.SentAt = f.late.sent(now, n)
	}
	f.noteHeard(now, n)
	f.learn(now, n.Revision, n.From.ID)
	// Proof counts only for a revision that is held here, and a quorum that does
	// not know it is none.
	if !n.SentAt.IsZero() && n.Revision <= f.have {
		f.trust(n)
	}
	return f.fetch(now)
}

func (f *Follower) noteHeard(now time.Time, n PeerStatus) {
	h := heardPeer{peer: n.From, at: now, sent: n.SentAt, revision: n.Revision}
	if before := f.heard[n.From.ID].sent; before.After(h.sent) {
		h.sent = before
	}
	f.heard[n.From.ID] = h
}

func (f *Follower) trust(n PeerStatus) {
	if n.ConfirmedAgo >= 0 {
		f.confirm(n.SentAt.Add(-n.ConfirmedAgo))
	}
	if until := n.SentAt.Add(n.QuorumFor); !f.entry && n.Revision == f.have && until.After(f.vouched) {
		f.vouched = until
	}
}

func (f *Follower) learn(now time.Time, revision int64, by string) {
	if revision > f.newest {
		f.newest, f.newestBy = revision, by
		f.nextFetch = now
	}
}

func (f *Follower) confirm(at time.Time) {
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// fetch asks one peer at a time for what is missing.
func (f *Follower) fetch(now time.Time) Need {
	if !f.entry || f.have >= f.newest || now.Before(f.nextFetch) {
		return Need{}
	}
	f.nextFetch = now.Add(f.config.FetchRetryDelay)
	return Need{Kind: NeedFetch, Peer: f.newestBy}
}

// FetchFailed takes in that a peer did not answer; another that has the
// revision is asked next.
func (f *Follower) FetchFailed(now time.Time, peer string) Need {
	f.nextFetch = now
	for id, h := range f.heard {
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

// Stored takes in what the service holds, read or written by this process;
// sent is when the call was sent. The runtime applies the record before.
func (f *Follower) Stored(now, sent time.Time, revision int64) {
	f.learn(now, revision, f.self.ID)
	if revision <= f.have {
		f.confirm(sent)
	}
}

// Applied takes in that a revision is in force here.
func (f *Follower) Applied(now time.Time, revision int64) {
	if revision > f.have {
		f.have = revision
		f.learn(now, revision, f.self.ID)
	}
}

// Tick returns what is due.
func (f *Follower) Tick(now time.Time, rnd *rand.Rand) Need {
	f.forget(now)
	f.takeTurn(now)
	f.seasoned = f.seasoned || f.Ready(now)
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
	// Without a watcher's word for long enough, an entry reads for itself: all
	// watchers may have died or be cut off, or the deployment may just be
	// starting. It reads before its own proof is too old, or the entries of a
	// region that is apart would stop in turn although the service answers them;
	// not all at the same age, as one read serves all.
	if f.have > 0 && now.Sub(f.confirmed) < f.ownRead {
		return Need{}
	}
	f.ownRead = f.config.MaxStaleness - f.config.PollInterval/2 - time.Duration(rnd.Int64N(int64(f.config.PollInterval/2)+1))
	f.nextRead = now.Add(f.config.OwnReadDelay + time.Duration(rnd.Int64N(int64(f.config.OwnReadDelay)+1)))
	return Need{Kind: NeedRead}
}

// forget drops peers that have not been heard for long.
func (f *Follower) forget(now time.Time) {
	for id, h := range f.heard {
		if now.Sub(h.at) > 2*f.config.MaxStaleness {
			delete(f.heard, id)
		}
	}
	f.late.forget(now)
}

// quorumUntil returns when a quorum is no longer heard if nobody speaks again:
// entries in most failure domains, and of a small deployment most entries. Any
// two such sets meet.
func (f *Follower) quorumUntil(now time.Time) time.Time {
	if f.domains == 0 {
		return time.Time{}
	}
	var peers []time.Time
	byDomain := map[string]time.Time{}
	for id, h := range f.heard {
		if id == f.self.ID || h.sent.IsZero() {
			continue
		}
		peers = append(peers, h.sent)
		if d := h.peer.Domain; d != f.self.Domain && h.sent.After(byDomain[d]) {
			byDomain[d] = h.sent
		}
	}
	domains := slices.Collect(maps.Values(byDomain))
	last := earlier(
		nthNewest(now, peers, min(f.config.QuorumPeers, len(f.entries)/2)),
		nthNewest(now, domains, f.domains/2), // and the own one
	)
	return last.Add(f.config.MaxStaleness)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// nthNewest returns the time since when n of the words have come; now if none
// is needed, the zero time if there are fewer.
func nthNewest(now time.Time, words []time.Time, n int) time.Time {
	switch {
	case n == 0:
		return now
	case len(words) < n:
		return time.Time{}
	}
	slices.SortFunc(words, func(a, b time.Time) int { return b.Compare(a) })
	return words[n-1]
}

// Ready tells whether the process may take new work. A fresh one must hold the
// newest revision it has heard of. One that was ready before goes on while its
// proof is young, to fetch it meanwhile; a quorum is no proof then: those who
// know of the newer revision do not vouch for the older.
func (f *Follower) Ready(now time.Time) bool {
	behind := f.have < f.newest
	if f.have == 0 || behind && !f.seasoned {
		return false
	}
	if !f.confirmed.IsZero() && now.Sub(f.confirmed) <= f.config.MaxStaleness {
		return true
	}
	return !behind && f.hearsQuorum(now)
}

// hearsQuorum tells whether a quorum is heard: by an agent, through an entry.
func (f *Follower) hearsQuorum(now time.Time) bool {
	if !f.entry {
		return !now.After(f.vouched)
	}
	return !now.After(f.quorumUntil(now))
}

// MayAccept tells whether an entry may accept a change: only while it hears
// most failure domains, so that the change finds its way to everyone at work.
func (f *Follower) MayAccept(now time.Time) bool {
	return f.entry && f.hearsQuorum(now)
}

// Tell returns the own news, for a heartbeat.
func (f *Follower) Status(now time.Time) PeerStatus {
	n := PeerStatus{From: f.self, Boot: f.boot, Clock: now.Sub(f.started)}
	n.Revision, n.ConfirmedAgo = f.Revision(now)
	if f.entry && f.have >= f.newest {
		n.QuorumFor = max(0, f.quorumUntil(now).Sub(now))
	}
	return n
}

// Revision returns the revision in force and the age of its proof.
func (f *Follower) Revision(now time.Time) (int64, time.Duration) {
	if f.confirmed.IsZero() {
		return f.have, NoConfirmation
	}
	return f.have, now.Sub(f.confirmed)
}
