package config

import (
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/config"
)

// safeguard is a safeguard that a schedule can run without, to show that the checks
// detect the violations that follow.
type safeguard int

const (
	noSafeguard          safeguard = iota // every safeguard is enabled
	processRevisionCheck                  // a process applies only newer revisions; without it, any configuration that arrives
	serviceRevisionCheck                  // the service writes only at the expected revision
	indeterminateWrites                   // an indeterminate write may have taken effect; without it, it is treated as not applied
	unknownAfterRepeat                    // a failed repeat leaves the outcome of a change unknown; without it, the operator's tool reports the change as failed
	markCheck                             // a writer checks whether its last batch is already in the record
)

const (
	deploymentName     = "d"
	scheduleEntries    = 3
	scheduleAgents     = 2
	operatorCount      = 2
	changesPerOperator = 3
	faultPeriod        = 6 * time.Second
	scheduleDuration   = 13 * time.Second
	heartbeatInterval  = 600 * time.Millisecond
	tickInterval       = 300 * time.Millisecond
	maxRepeats         = 12 // of a request whose outcome is unknown
)

// results counts the violations and some events of schedules.
type results struct {
	schedules      int
	accepted       int // changes reported to the operator as accepted
	reverts        int // a process applied an older revision than its own
	torn           int // a record can't be decoded, or a process applied content that wasn't accepted as that revision
	lostAccepts    int // changes reported as accepted that the record lacks
	falseRefusals  int // changes reported as refused or failed that the record contains
	auditMissing   int // revisions without exactly one audit entry; other changes not recorded exactly once
	unknownChanges int // changes whose operator did not learn the outcome
	// readyBehind is the longest time for which a process took work under an older revision
	// although it could have learned of the newer one. readyBehindBlind is the longest time
	// since the service stored the newer revision, including the time during which the
	// process could not learn of it.
	readyBehind      time.Duration
	readyBehindBlind time.Duration
}

func (r *results) add(other results) {
	r.schedules += other.schedules
	r.accepted += other.accepted
	r.reverts += other.reverts
	r.torn += other.torn
	r.lostAccepts += other.lostAccepts
	r.falseRefusals += other.falseRefusals
	r.auditMissing += other.auditMissing
	r.unknownChanges += other.unknownChanges
	r.readyBehind = max(r.readyBehind, other.readyBehind)
	r.readyBehindBlind = max(r.readyBehindBlind, other.readyBehindBlind)
}

// schedule simulates a small deployment under the faults of a seed.
type schedule struct {
	*clock
	disabled       safeguard
	store          *store[[]byte]
	processes      []*process
	entries        []config.Peer
	disconnected   map[[2]int]bool     // pairs of processes that cannot reach each other
	contents       map[int64]string    // by revision; the content that the service stored
	acceptedAt     map[int64]time.Time // by revision; when the service stored it
	newestRevision int64
	lastVerdicts   map[string]config.Verdict // by change ID; last verdict reported to the operator
	results        results
	refusedLogs    *refusedLogs
}

// process is an entry or an agent.
type process struct {
	schedule    *schedule
	index       int
	self        config.Peer
	isEntry     bool
	incarnation int // grows with each restart; callbacks of earlier incarnations are dropped
	up          bool
	pausedUntil time.Time // callbacks are delayed until then
	follower    *config.Follower
	refusedLog  *config.RefusedLog // entries only
	revision    int64
	content     decl.Deployment
	lastBlind   time.Time // when the process last could not learn of a newer revision
}

func newSchedule(seed uint64, disabled safeguard) *schedule {
	c := newClock(seed)
	s := &schedule{
		clock: c, disabled: disabled, disconnected: map[[2]int]bool{}, contents: map[int64]string{},
		acceptedAt: map[int64]time.Time{}, lastVerdicts: map[string]config.Verdict{},
	}
	s.refusedLogs = newRefusedLogs(s, seed)
	s.store = newStore[[]byte](c, storeFaults{lostRequest: 0.08, lostAnswer: 0.12, lateRequest: 0.08})
	s.store.ignoreRevision = disabled == serviceRevisionCheck
	s.store.afterWrite = s.recordAccepted
	for i := range scheduleEntries + scheduleAgents {
		p := &process{schedule: s, index: i, self: config.Peer{ID: fmt.Sprint("p", i), Domain: fmt.Sprint(i % 3)}, isEntry: i < scheduleEntries}
		if p.isEntry {
			s.entries = append(s.entries, p.self)
		}
		s.processes = append(s.processes, p)
	}
	for _, p := range s.processes {
		p.start()
	}
	return s
}

// recordAccepted records the content and time of each revision that the service stores.
func (s *schedule) recordAccepted(key string, value []byte) {
	if key != config.Key(deploymentName) {
		return
	}
	r, err := config.DecodeRecord(value)
	if err != nil {
		s.results.torn++
		return
	}
	s.contents[r.Revision] = contentOf(r.Deployment)
	s.acceptedAt[r.Revision] = s.Now()
	s.newestRevision = max(s.newestRevision, r.Revision)
}

func contentOf(d decl.Deployment) string {
	return fmt.Sprint(d.Businesses)
}

func (p *process) start() {
	p.incarnation++
	p.up = true
	p.revision, p.content = 0, decl.Deployment{}
	p.follower = config.NewFollower(config.DefaultFollowerConfig(), p.self, p.isEntry, p.schedule.Now(), p.schedule.rng)
	p.follower.SetEntries(p.schedule.Now(), deploymentName, p.schedule.entries)
	p.repeat(tickInterval, func() { p.satisfy(p.follower.Tick(p.schedule.Now(), p.schedule.rng)) })
	if p.isEntry {
		p.repeat(heartbeatInterval, p.sendHeartbeats)
		p.schedule.refusedLogs.start(p)
	}
}

// runIfAlive calls fn unless the incarnation has ended. If the process is paused, it does
// so after the pause.
func (p *process) runIfAlive(incarnation int, fn func()) {
	if p.incarnation != incarnation || !p.up {
		return
	}
	if remaining := p.pausedUntil.Sub(p.schedule.Now()); remaining > 0 {
		p.schedule.After(remaining, func() { p.runIfAlive(incarnation, fn) })
		return
	}
	fn()
	p.measureBehind()
}

// incarnationName returns a name that is unique to the current incarnation.
func (p *process) incarnationName() string {
	return fmt.Sprint(p.self.ID, "/", p.incarnation)
}

// repeat calls fn at an interval, with a random initial delay, until the incarnation ends.
func (p *process) repeat(interval time.Duration, fn func()) {
	incarnation := p.incarnation
	var next func()
	next = func() {
		p.runIfAlive(incarnation, fn)
		if p.incarnation == incarnation {
			p.schedule.After(interval, next)
		}
	}
	p.schedule.After(p.schedule.between(0, interval), next)
}

// measureBehind updates the longest times for which a process takes work under an older
// revision.
func (p *process) measureBehind() {
	now := p.schedule.Now()
	if p.revision >= p.schedule.newestRevision {
		return
	}
	if p.isBlind() {
		p.lastBlind = now
	}
	if !p.follower.Ready(now) {
		return
	}
	since := p.schedule.acceptedAt[p.revision+1]
	p.schedule.results.readyBehindBlind = max(p.schedule.results.readyBehindBlind, now.Sub(since))
	if p.lastBlind.After(since) {
		since = p.lastBlind
	}
	p.schedule.results.readyBehind = max(p.schedule.results.readyBehind, now.Sub(since))
}

// isBlind reports whether the process cannot learn of a newer revision: the service is
// unavailable, and every entry with a newer revision is down, paused or disconnected from
// the process. Agents do not distribute revisions.
func (p *process) isBlind() bool {
	for _, other := range p.schedule.processes {
		unreachable := !other.isEntry || !other.up || other.pausedUntil.After(p.schedule.Now()) || p.schedule.disconnected[pairOf(p.index, other.index)]
		if other.revision > p.revision && !unreachable {
			return false
		}
	}
	return p.schedule.store.outage
}

func (p *process) apply(revision int64, content decl.Deployment) {
	if revision <= p.revision && (p.schedule.disabled != processRevisionCheck || revision == p.revision || revision == 0) {
		return
	}
	if revision < p.revision {
		p.schedule.results.reverts++
	}
	if p.schedule.contents[revision] != contentOf(content) {
		p.schedule.results.torn++
	}
	p.revision, p.content = revision, content
	p.follower.Applied(p.schedule.Now(), revision)
	if p.isEntry {
		p.sendHeartbeats()
	}
}

// satisfy executes what the follower needs.
func (p *process) satisfy(need config.Need) {
	switch need.Kind {
	case config.NeedRead:
		p.readStore()
	case config.NeedFetch:
		p.fetchFrom(need.Peer)
	}
}

func (p *process) readStore() {
	incarnation, sentAt := p.incarnation, p.schedule.Now()
	p.schedule.store.read(config.Key(deploymentName), func(value []byte, _ int64, ok bool) {
		p.runIfAlive(incarnation, func() {
			r, err := config.DecodeRecord(value)
			if ok && err == nil {
				p.handleRecord(r, sentAt)
			}
		})
	})
}

// handleRecord processes a record that was read or written by a call sent at sentAt.
func (p *process) handleRecord(r config.Record, sentAt time.Time) {
	if r.Revision > 0 {
		p.apply(r.Revision, r.Deployment)
	}
	p.follower.Stored(p.schedule.Now(), sentAt, r.Revision)
}

// fetchFrom fetches the configuration from a peer. The fetch has failed if the process
// lacks the newest revision a second later.
func (p *process) fetchFrom(id string) {
	incarnation := p.incarnation
	for _, peer := range p.schedule.processes {
		if peer.self.ID != id {
			continue
		}
		p.send(peer, func() {
			revision, content := peer.revision, peer.content
			peer.send(p, func() {
				if p.incarnation == incarnation {
					p.apply(revision, content)
				}
			})
		})
	}
	p.schedule.After(time.Second, func() {
		p.runIfAlive(incarnation, func() {
			if revision, _ := p.follower.Revision(p.schedule.Now()); revision < p.schedule.newestRevision {
				p.satisfy(p.follower.FetchFailed(p.schedule.Now(), id))
			}
		})
	})
}

// send calls fn at the receiver after a delay, unless the message is lost or the two
// processes are disconnected.
func (p *process) send(to *process, fn func()) {
	if p.schedule.disconnected[pairOf(p.index, to.index)] || p.schedule.chance(0.03) {
		return
	}
	delay := p.schedule.between(time.Millisecond, 3*time.Millisecond)
	if p.schedule.chance(0.03) {
		delay = p.schedule.between(100*time.Millisecond, 3*time.Second) // later messages overtake it
	}
	incarnation := to.incarnation
	p.schedule.After(delay, func() { to.runIfAlive(incarnation, fn) })
}

func pairOf(a, b int) [2]int {
	return [2]int{min(a, b), max(a, b)}
}

// sendHeartbeats sends a heartbeat to every other process and handles the replies.
func (p *process) sendHeartbeats() {
	for _, peer := range p.schedule.processes {
		if peer == p {
			continue
		}
		sentAt, incarnation := p.schedule.Now(), p.incarnation
		status := p.follower.Status(sentAt) // SentAt is zero: the receiver does not know it
		p.send(peer, func() {
			peer.satisfy(peer.follower.StatusReceived(p.schedule.Now(), status))
			reply := peer.follower.Status(p.schedule.Now())
			reply.SentAt = sentAt
			peer.send(p, func() {
				if p.incarnation == incarnation {
					p.handleReply(peer, reply)
				}
			})
		})
	}
}

// handleReply processes the reply to a heartbeat. It sends the configuration to a peer
// that has an older revision.
func (p *process) handleReply(peer *process, reply config.PeerStatus) {
	if peer.isEntry {
		p.satisfy(p.follower.StatusReceived(p.schedule.Now(), reply))
	}
	if reply.Revision < p.revision {
		revision, content := p.revision, p.content
		p.send(peer, func() { peer.apply(revision, content) })
	}
}
