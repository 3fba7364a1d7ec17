package config_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

var start = time.Unix(100, 0)

// store is the key-value service as an attempt's runtime sees it.
type store struct {
	records  map[string][]byte
	revision map[string]int64
}

func newStore() *store {
	return &store{records: map[string][]byte{}, revision: map[string]int64{}}
}

func (s *store) swap(step config.Step) bool {
	if s.revision[step.Key] != step.Expected {
		return false
	}
	s.revision[step.Key]++
	s.records[step.Key] = step.Value
	return true
}

func (s *store) record() config.Record {
	r, err := config.DecodeRecord(s.records[config.Key("d")])
	Expect(err).NotTo(HaveOccurred())
	return r
}

// carryOut answers a step as a service without faults does.
func (s *store) carryOut(a *config.Attempt, step config.Step) config.Step {
	switch step.Kind {
	case config.StepRead:
		return a.ReadDone(s.record(), s.revision[step.Key], true)
	case config.StepArchive:
		s.swap(step)
		standing, err := config.DecodeArchive(s.records[step.Key])
		Expect(err).NotTo(HaveOccurred())
		return a.ArchiveDone(standing, true)
	default:
		if s.swap(step) {
			return a.WriteDone(config.WriteSwapped)
		}
		return a.WriteDone(config.WriteConflict)
	}
}

func (s *store) finish(a *config.Attempt, step config.Step) config.Result {
	for step.Kind != config.StepDone {
		step = s.carryOut(a, step)
	}
	return step.Result
}

func (s *store) apply(r config.Request) config.Result {
	return s.finish(config.NewAttempt(r))
}

// weight asks for business b to have a weight.
func weight(expected int64, id string, w float64) config.Request {
	return config.Request{
		Deployment: "d", Expected: expected, Operator: "ana", From: "127.0.0.1:9", ChangeID: id, Action: config.ActionApply, Now: start,
		Edit: func(current *decl.Deployment) *decl.Deployment {
			next := *current
			next.Name = "d"
			next.Businesses = []decl.Business{{Name: "b", Weight: w}}
			return &next
		},
	}
}

var _ = Describe("Attempt", func() {
	var s *store
	BeforeEach(func() {
		s = newStore()
		Expect(s.apply(weight(0, "one", 1)).Verdict).To(Equal(config.Accepted))
	})

	It("accepts a change together with its audit entry", func() {
		result := s.apply(weight(1, "two", 2))
		Expect(result.Verdict).To(Equal(config.Accepted))
		Expect(result.Record.Revision).To(Equal(int64(2)))
		Expect(s.record().Trail).To(HaveLen(2))
		Expect(s.record().Trail[1]).To(Equal(config.Audit{
			Revision: 2, UnixMilli: 100000, Operator: "ana", From: "127.0.0.1:9", ChangeID: "two", Action: "apply",
			Changes: []decl.Change{{Kind: "set", Object: "business b", Field: "weight", Before: "1", After: "2"}},
			Outcome: "accepted",
		}))
	})

	It("takes a repeat and equal declarations without a change", func() {
		Expect(s.apply(weight(1, "one", 1)).Verdict).To(Equal(config.Accepted))
		Expect(s.apply(weight(7, "other", 1)).Verdict).To(Equal(config.Unchanged))
		Expect(s.record().Revision).To(Equal(int64(1)))
	})

	// Two operators saw revision 1. The second to arrive is told what the first
	// one changed, and nothing of it is overwritten.
	It("refuses the later of two racing changes and tells what changed", func() {
		s.apply(weight(1, "two", 2))
		result := s.apply(weight(1, "three", 3))
		Expect(result.Verdict).To(Equal(config.Conflict))
		Expect(result.Changes).To(HaveLen(1))
		Expect(result.Changes[0].After).To(Equal("2"))
	})

	// The write takes effect, its answer is lost and another operator's change
	// follows at once. The trail still tells that the first was accepted.
	It("finds an unclear change that was built upon", func() {
		a, step := config.NewAttempt(weight(1, "two", 2))
		step = s.carryOut(a, step)
		Expect(s.swap(step)).To(BeTrue())
		s.apply(weight(2, "three", 3))
		result := s.finish(a, a.WriteDone(config.WriteIndeterminate))
		Expect(result.Verdict).To(Equal(config.Accepted))
	})

	// The write is lost on its way and the service then stops answering. The
	// write may still arrive: a "failed" would be followed by its taking effect.
	It("does not call a change failed while its write may arrive", func() {
		a, step := config.NewAttempt(weight(1, "two", 2))
		late := s.carryOut(a, step)
		step = a.WriteDone(config.WriteIndeterminate)
		step = s.carryOut(a, step)
		Expect(step.Kind).To(Equal(config.StepWrite))
		step = a.WriteDone(config.WriteNotApplied)
		Expect(step.Result.Verdict).To(Equal(config.Unknown))
		Expect(s.swap(late)).To(BeTrue())
		Expect(s.apply(weight(1, "two", 2)).Verdict).To(Equal(config.Accepted))
		Expect(s.record().Revision).To(Equal(int64(2)))
	})

	It("archives the older half of a long trail before dropping it", func() {
		for i := int64(1); i < 3*config.MaxTrailEntries; i++ {
			Expect(s.apply(weight(i, fmt.Sprint("c", i), float64(i+1))).Verdict).To(Equal(config.Accepted))
		}
		seen := map[int64]bool{}
		for key, value := range s.records {
			entries := s.record().Trail
			if key != config.Key("d") {
				var err error
				entries, err = config.DecodeArchive(value)
				Expect(err).NotTo(HaveOccurred())
			}
			for _, e := range entries {
				Expect(seen[e.Revision]).To(BeFalse(), "entry %d stands twice", e.Revision)
				seen[e.Revision] = true
			}
		}
		Expect(seen).To(HaveLen(3 * config.MaxTrailEntries))
		Expect(len(s.record().Trail)).To(BeNumerically("<=", config.MaxTrailEntries))
	})

	// An attempt died after writing an archive of fewer entries than are due
	// now. Only those that stand there may leave the record.
	It("drops no entry that an older archive does not hold", func() {
		a, step := config.NewAttempt(weight(1, "two", 2))
		step = s.carryOut(a, step)
		_ = step
		for i := int64(1); i < config.MaxTrailEntries; i++ {
			s.apply(weight(i, fmt.Sprint("c", i), float64(i+1)))
		}
		key := config.ArchiveKey("d", 1)
		s.records[key] = config.EncodeArchive(s.record().Trail[:1])
		s.revision[key] = 1
		s.apply(weight(config.MaxTrailEntries, "last", 0.5))
		Expect(s.record().Trail[0].Revision).To(Equal(int64(2)))
	})
})

var _ = Describe("Follower", func() {
	var f *config.Follower
	var now time.Time
	rnd := rand.New(rand.NewPCG(1, 1))
	bound := config.DefaultFollowerConfig().MaxStaleness
	entries := []config.Peer{{ID: "e1", Domain: "a"}, {ID: "e2", Domain: "b"}, {ID: "e3", Domain: "c"}, {ID: "e4", Domain: "c"}}

	hear := func(peer config.Peer, revision int64, ago time.Duration) config.Need {
		return f.Heard(now, config.PeerStatus{From: peer, Revision: revision, ConfirmedAgo: ago, SentAt: now})
	}

	BeforeEach(func() {
		now = start
		f = config.NewFollower(config.DefaultFollowerConfig(), entries[0], true, now, rnd)
		f.SetEntries(now, "d", entries)
	})

	It("has a constant number of watchers", func() {
		watchers := 0
		for _, e := range entries {
			g := config.NewFollower(config.DefaultFollowerConfig(), e, true, now, rnd)
			g.SetEntries(now, "d", entries)
			if g.Watcher() {
				watchers++
				Expect(g.Tick(now, rnd).Kind).To(Equal(config.NeedRead))
			}
		}
		Expect(watchers).To(Equal(3))
	})

	// A region is apart with no watcher in it, and the service answers. An entry
	// that asked only once its proof was old took no work until the answer; 8% of
	// the time none of the region's entries did.
	It("reads the service itself before its proof is too old, and seldom when it does not answer", func() {
		entries := slices.Clone(entries)
		for i := range 366 {
			entries = append(entries, config.Peer{ID: fmt.Sprint("other-", i), Domain: "d"})
		}
		f.SetEntries(now, "d", entries)
		f.Applied(now, 7)
		f.Stored(now, now, 7)
		reads := 0
		for range 600 {
			now = now.Add(100 * time.Millisecond)
			Expect(f.Ready(now)).To(BeTrue())
			if f.Tick(now, rnd).Kind == config.NeedRead {
				reads++
				f.Stored(now, now, 7)
			}
		}
		Expect(reads).To(BeNumerically("<=", 18), "one per 4 s, and a turn or two")
		reads = 0
		for range 600 {
			now = now.Add(100 * time.Millisecond)
			if f.Tick(now, rnd).Kind == config.NeedRead {
				reads++
			}
		}
		Expect(reads).To(BeNumerically("<=", 33), "one per 2 s, and a turn or two")
	})

	It("is not ready until it holds the newest revision it has heard of", func() {
		Expect(f.Ready(now)).To(BeFalse())
		Expect(hear(entries[1], 7, 0)).To(Equal(config.Need{Kind: config.NeedFetch, Peer: "e2"}))
		f.Applied(now, 6)
		hear(entries[2], 6, 2*time.Second)
		Expect(f.Ready(now)).To(BeFalse())
		f.Applied(now, 7)
		hear(entries[1], 7, time.Second)
		Expect(f.Ready(now)).To(BeTrue())
		f.Applied(now, 5)
		revision, ago := f.Revision(now)
		Expect(revision).To(Equal(int64(7)))
		Expect(ago).To(Equal(time.Second))
	})

	// The service is away for long, so no proof is younger than the bound. Two
	// of three failure domains are heard: an entry may accept changes only with
	// a majority too, so one of them would have told of a newer revision.
	It("goes on in an outage while it hears most failure domains", func() {
		f.Applied(now, 7)
		f.Stored(now, now, 7)
		now = now.Add(time.Minute)
		Expect(f.Ready(now)).To(BeFalse())
		hear(entries[2], 7, time.Minute)
		Expect(f.Ready(now)).To(BeFalse(), "one peer is not proof")
		hear(entries[1], 7, time.Minute)
		Expect(f.Ready(now)).To(BeTrue())
		Expect(f.MayAccept(now)).To(BeTrue())
		now = now.Add(bound + time.Second)
		Expect(f.Ready(now)).To(BeFalse())
		Expect(f.MayAccept(now)).To(BeFalse())
	})

	It("stops taking work when it cannot fetch a newer revision within the bound", func() {
		f.Applied(now, 7)
		f.Stored(now, now, 7)
		f.Tick(now, rnd)
		hear(entries[1], 8, 0)
		Expect(f.Ready(now)).To(BeTrue())
		Expect(f.FetchFailed(now, "e2").Kind).To(Equal(config.NeedNothing))
		hear(entries[2], 8, 0)
		Expect(f.FetchFailed(now, "e2")).To(Equal(config.Need{Kind: config.NeedFetch, Peer: "e3"}))
		now = now.Add(bound + time.Millisecond)
		hear(entries[1], 8, 0)
		hear(entries[2], 8, 0)
		Expect(f.Ready(now)).To(BeFalse())
	})

	// A read of the service proved revision 7 a moment ago; then a peer tells of
	// revision 8 and the service goes away. Peers that know of 8 do not vouch for
	// 7: without this the entry went on for the bound since it heard of 8, on top
	// of the age of its proof.
	It("takes no work under a revision that its peers know to be replaced, once its proof is old", func() {
		f.Applied(now, 7)
		f.Stored(now, now.Add(-bound), 7)
		f.Tick(now, rnd)
		hear(entries[1], 8, time.Minute)
		hear(entries[2], 8, time.Minute)
		Expect(f.MayAccept(now)).To(BeTrue())
		Expect(f.Ready(now)).To(BeTrue())
		Expect(f.Ready(now.Add(time.Millisecond))).To(BeFalse())
	})

	// An entry is paused; two answers to heartbeats that it sent before wait in
	// its sockets. It reads them when it goes on, and they prove nothing of now.
	It("counts an answer from when it was asked for, not from when it is read", func() {
		f.Applied(now, 7)
		asked := now
		now = now.Add(bound + time.Millisecond)
		for _, peer := range entries[1:] {
			f.Heard(now, config.PeerStatus{From: peer, Revision: 7, ConfirmedAgo: 0, SentAt: asked})
			f.Heard(now, config.PeerStatus{From: peer, Revision: 7, ConfirmedAgo: 0}) // a request: sent at any time
		}
		Expect(f.Ready(now)).To(BeFalse())
		Expect(f.MayAccept(now)).To(BeFalse())
	})

	It("tells how long it hears a quorum", func() {
		f.Applied(now, 7)
		hear(entries[1], 7, time.Hour)
		now = now.Add(time.Second)
		Expect(f.Status(now).QuorumFor).To(BeZero())
		hear(entries[2], 7, time.Hour)
		Expect(f.Status(now).QuorumFor).To(Equal(bound - time.Second))
		hear(entries[1], 8, time.Hour)
		Expect(f.Status(now).QuorumFor).To(BeZero(), "it knows of a newer revision")
	})
})

var _ = Describe("Follower of an agent", func() {
	var f *config.Follower
	var now time.Time
	rnd := rand.New(rand.NewPCG(1, 1))
	bound := config.DefaultFollowerConfig().MaxStaleness
	began := start.Add(-time.Hour)

	// beat is an entry's heartbeat that was sent at a time and is read now.
	beat := func(boot uint64, sent time.Time, revision int64, ago, quorum time.Duration) {
		f.Heard(now, config.PeerStatus{
			From: config.Peer{ID: "e1", Domain: "a"}, Revision: revision, ConfirmedAgo: ago, QuorumFor: quorum,
			Boot: boot, Clock: sent.Sub(began),
		})
	}

	BeforeEach(func() {
		now = start
		f = config.NewFollower(config.DefaultFollowerConfig(), config.Peer{ID: "agent", Domain: "a"}, false, now, rnd)
		f.Applied(now, 3)
		beat(1, now, 3, 0, 0)
		Expect(f.Ready(now)).To(BeFalse(), "a first word may be of any age")
	})

	It("works while an entry has proof, and no longer", func() {
		beat(1, now, 3, time.Second, 0)
		Expect(f.Ready(now.Add(bound - time.Second))).To(BeTrue())
		Expect(f.Ready(now.Add(bound - time.Second + time.Millisecond))).To(BeFalse())
	})

	It("works in an outage while an entry hears a quorum, and no longer", func() {
		beat(1, now, 3, time.Hour, 3*time.Second)
		Expect(f.Ready(now.Add(3 * time.Second))).To(BeTrue())
		Expect(f.Ready(now.Add(3*time.Second + time.Millisecond))).To(BeFalse())
		Expect(f.MayAccept(now)).To(BeFalse())
	})

	It("takes no word for its revision from an entry that holds another one", func() {
		beat(1, now, 2, time.Hour, bound)
		Expect(f.Ready(now)).To(BeFalse())
		beat(1, now, 4, time.Hour, bound)
		Expect(f.Ready(now)).To(BeFalse())
		f.Applied(now, 4)
		beat(1, now, 4, time.Hour, bound)
		Expect(f.Ready(now)).To(BeTrue())
	})

	// The agent is paused for 20 s while heartbeats of an entry that was then
	// current wait in its socket. When it goes on it reads them all at once; the
	// entry's clock in them tells that they are old.
	It("is not made current by heartbeats that waited while it was paused", func() {
		sent := now
		now = now.Add(20 * time.Second)
		for i := range 10 {
			beat(1, sent.Add(time.Duration(i)*time.Second), 3, 0, bound)
			Expect(f.Ready(now)).To(BeFalse())
		}
		beat(1, now, 3, 0, bound)
		Expect(f.Ready(now)).To(BeTrue())
	})

	// The entry restarts; its clock begins anew and its first word may have
	// waited anywhere.
	It("compares no heartbeats of two runs of an entry", func() {
		now = now.Add(time.Minute)
		beat(2, now.Add(-bound), 3, 0, bound)
		Expect(f.Ready(now)).To(BeFalse())
		beat(2, now, 3, 0, bound)
		Expect(f.Ready(now)).To(BeTrue())
	})

	// Two clocks that run 0.01% apart are an hour apart after a year; the oldest
	// offset must not make every later heartbeat look late.
	It("follows clocks that drift apart", func() {
		slow := now
		for range 3 * 3600 {
			now = now.Add(time.Second)
			slow = slow.Add(time.Second - 100*time.Microsecond)
			beat(1, slow, 3, 0, 0)
		}
		Expect(f.Ready(now.Add(bound - 10*time.Millisecond))).To(BeTrue())
	})
})
