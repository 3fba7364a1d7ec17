package config

import (
	"fmt"
	"time"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/config"
)

// variant is a deliberate fault of the host, which the judge must find. none is
// the product.
type variant int

const (
	none         variant = iota
	applyAny             // a process puts whatever arrives in force, however old
	uncheckedCAS         // the service swaps whatever the revision
	unclearFails         // an unclear write is taken for one that failed
	trustRepeats         // the operator's tool takes a failed repeat for the end of the change
	forgetMarks          // a writer does not look whether its lost batch is in the record
)

const (
	deployment      = "d"
	scheduleEntries = 3
	scheduleAgents  = 2
	operators       = 2
	changesEach     = 3
	faultsEnd       = 6 * time.Second
	scheduleEnd     = 13 * time.Second
	beatEvery       = 600 * time.Millisecond
	tickEvery       = 300 * time.Millisecond
	repeats         = 12 // of a change whose outcome is unknown
)

// verdicts are what the judge counts over schedules.
type verdicts struct {
	schedules     int
	accepted      int
	reverts       int // a process went back to an older revision
	torn          int // a process held what was never accepted as that revision
	lostAccepts   int // the operator was told accepted, the record does not have it
	falseRefusals int // the operator was told refused or failed, the record has it
	auditMissing  int // revisions without exactly one audit entry; other changes in the trail not once
	unsettled     int // changes whose operator never learned the outcome
	// behind is the longest that a process took work under an older revision
	// since it could have learned of the newer one; blindBehind counts from when
	// the service took that in, also while nobody within reach could know.
	behind      time.Duration
	blindBehind time.Duration
}

func (v *verdicts) add(o verdicts) {
	v.schedules += o.schedules
	v.accepted += o.accepted
	v.reverts += o.reverts
	v.torn += o.torn
	v.lostAccepts += o.lostAccepts
	v.falseRefusals += o.falseRefusals
	v.auditMissing += o.auditMissing
	v.unsettled += o.unsettled
	v.behind = max(v.behind, o.behind)
	v.blindBehind = max(v.blindBehind, o.blindBehind)
}

// schedule is one run of a small deployment under faults drawn from a seed.
type schedule struct {
	*world
	variant  variant
	store    *store[[]byte]
	procs    []*proc
	entries  []config.Peer
	cut      map[[2]int]bool // pairs of processes that do not hear each other
	history  map[int64]string
	accepted map[int64]time.Time
	newest   int64
	told     map[string]config.Verdict // by change id, as the operator learned last
	verdicts verdicts
	journals *journals
}

// proc is one process. life changes with each restart, and what was begun by an
// earlier life is dropped.
type proc struct {
	s        *schedule
	index    int
	self     config.Peer
	entry    bool
	life     int
	up       bool
	paused   time.Time // not before it is over does the process do anything
	follower *config.Follower
	journal  *config.RefusedLog // entries only
	revision int64
	content  decl.Deployment
	blind    time.Time // when it last could not have learned of a newer revision
}

func newSchedule(seed uint64, v variant) *schedule {
	w := newWorld(seed)
	s := &schedule{
		world: w, variant: v, cut: map[[2]int]bool{}, history: map[int64]string{},
		accepted: map[int64]time.Time{}, told: map[string]config.Verdict{},
	}
	s.journals = newJournals(s, seed)
	s.store = newStore[[]byte](w, storeFaults{loseRequest: 0.08, loseAnswer: 0.12, delay: 0.08})
	s.store.unchecked = v == uncheckedCAS
	s.store.afterWrite = s.noteAccepted
	for i := range scheduleEntries + scheduleAgents {
		p := &proc{s: s, index: i, self: config.Peer{ID: fmt.Sprint("p", i), Domain: fmt.Sprint(i % 3)}, entry: i < scheduleEntries}
		if p.entry {
			s.entries = append(s.entries, p.self)
		}
		s.procs = append(s.procs, p)
	}
	for _, p := range s.procs {
		p.start()
	}
	return s
}

// noteAccepted keeps what the service took in as each revision.
func (s *schedule) noteAccepted(key string, value []byte) {
	if key != config.Key(deployment) {
		return
	}
	r, err := config.DecodeRecord(value)
	if err != nil {
		s.verdicts.torn++
		return
	}
	s.history[r.Revision] = contentOf(r.Deployment)
	s.accepted[r.Revision] = s.Now()
	s.newest = max(s.newest, r.Revision)
}

func contentOf(d decl.Deployment) string {
	return fmt.Sprint(d.Businesses)
}

func (p *proc) start() {
	p.life++
	p.up = true
	p.revision, p.content = 0, decl.Deployment{}
	p.follower = config.NewFollower(config.DefaultFollowerConfig(), p.self, p.entry, p.s.Now(), p.s.rnd)
	p.follower.SetEntries(p.s.Now(), deployment, p.s.entries)
	p.every(tickEvery, func() { p.meet(p.follower.Tick(p.s.Now(), p.s.rnd)) })
	if p.entry {
		p.every(beatEvery, p.beat)
		p.s.journals.begin(p)
	}
}

// do runs fn now, or after a pause, unless the process has died since.
func (p *proc) do(life int, fn func()) {
	if p.life != life || !p.up {
		return
	}
	if wait := p.paused.Sub(p.s.Now()); wait > 0 {
		p.s.After(wait, func() { p.do(life, fn) })
		return
	}
	fn()
	p.measure()
}

// lifeName names the process's run.
func (p *proc) lifeName() string {
	return fmt.Sprint(p.self.ID, "/", p.life)
}

func (p *proc) every(interval time.Duration, fn func()) {
	life := p.life
	var next func()
	next = func() {
		p.do(life, fn)
		if p.life == life {
			p.s.After(interval, next)
		}
	}
	p.s.After(p.s.between(0, interval), next)
}

// measure notes how long the process takes work under an older revision.
func (p *proc) measure() {
	now := p.s.Now()
	if p.revision >= p.s.newest {
		return
	}
	if p.isBlind() {
		p.blind = now
	}
	if !p.follower.Ready(now) {
		return
	}
	since := p.s.accepted[p.revision+1]
	p.s.verdicts.blindBehind = max(p.s.verdicts.blindBehind, now.Sub(since))
	if p.blind.After(since) {
		since = p.blind
	}
	p.s.verdicts.behind = max(p.s.verdicts.behind, now.Sub(since))
}

// isBlind tells whether nothing can tell the process of a newer revision: the
// service is out, and every entry that holds one is dead, paused or cut off from
// it. Agents tell nobody.
func (p *proc) isBlind() bool {
	for _, q := range p.s.procs {
		apart := !q.entry || !q.up || q.paused.After(p.s.Now()) || p.s.cut[pairOf(p.index, q.index)]
		if q.revision > p.revision && !apart {
			return false
		}
	}
	return p.s.store.out
}

func (p *proc) apply(revision int64, content decl.Deployment) {
	if revision <= p.revision && (p.s.variant != applyAny || revision == p.revision || revision == 0) {
		return
	}
	if revision < p.revision {
		p.s.verdicts.reverts++
	}
	if p.s.history[revision] != contentOf(content) {
		p.s.verdicts.torn++
	}
	p.revision, p.content = revision, content
	p.follower.Applied(p.s.Now(), revision)
	if p.entry {
		p.beat()
	}
}

func (p *proc) meet(n config.Need) {
	switch n.Kind {
	case config.NeedRead:
		p.readStore()
	case config.NeedFetch:
		p.fetch(n.Peer)
	}
}

func (p *proc) readStore() {
	life, sent := p.life, p.s.Now()
	p.s.store.read(config.Key(deployment), func(value []byte, _ int64, ok bool) {
		p.do(life, func() {
			r, err := config.DecodeRecord(value)
			if ok && err == nil {
				p.stored(r, sent)
			}
		})
	})
}

func (p *proc) stored(r config.Record, sent time.Time) {
	if r.Revision > 0 {
		p.apply(r.Revision, r.Deployment)
	}
	p.follower.Stored(p.s.Now(), sent, r.Revision)
}

func (p *proc) fetch(id string) {
	life := p.life
	for _, peer := range p.s.procs {
		if peer.self.ID != id {
			continue
		}
		p.send(peer, func() {
			revision, content := peer.revision, peer.content
			peer.send(p, func() {
				if p.life == life {
					p.apply(revision, content)
				}
			})
		})
	}
	p.s.After(time.Second, func() {
		p.do(life, func() {
			if revision, _ := p.follower.Revision(p.s.Now()); revision < p.s.newest {
				p.meet(p.follower.FetchFailed(p.s.Now(), id))
			}
		})
	})
}

// send delivers a message, unless it is lost or the two are cut off.
func (p *proc) send(to *proc, fn func()) {
	if p.s.cut[pairOf(p.index, to.index)] || p.s.chance(0.03) {
		return
	}
	delay := p.s.between(time.Millisecond, 3*time.Millisecond)
	if p.s.chance(0.03) {
		delay = p.s.between(100*time.Millisecond, 3*time.Second) // overtaken by later ones
	}
	life := to.life
	p.s.After(delay, func() { to.do(life, fn) })
}

func pairOf(a, b int) [2]int {
	return [2]int{min(a, b), max(a, b)}
}

// beat exchanges heartbeats with every other process.
func (p *proc) beat() {
	for _, peer := range p.s.procs {
		if peer == p {
			continue
		}
		sent, life := p.s.Now(), p.life
		news := p.follower.Status(sent) // Sent is zero: the receiver does not know
		p.send(peer, func() {
			peer.meet(peer.follower.Heard(p.s.Now(), news))
			reply := peer.follower.Status(p.s.Now())
			reply.SentAt = sent
			peer.send(p, func() {
				if p.life == life {
					p.replied(peer, reply)
				}
			})
		})
	}
}

func (p *proc) replied(peer *proc, reply config.PeerStatus) {
	if peer.entry {
		p.meet(p.follower.Heard(p.s.Now(), reply))
	}
	if reply.Revision < p.revision {
		revision, content := p.revision, p.content
		p.send(peer, func() { peer.apply(revision, content) })
	}
}
