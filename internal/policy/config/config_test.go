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

// store is the key-value service as the caller of an attempt sees it.
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

// carryOut carries out a step as a service without faults does.
func (s *store) carryOut(a *config.Attempt, step config.Step) config.Step {
	switch step.Kind {
	case config.StepRead:
		return a.ReadDone(s.record(), s.revision[step.Key], true)
	case config.StepArchive:
		s.swap(step)
		archived, err := config.DecodeArchive(s.records[step.Key])
		Expect(err).NotTo(HaveOccurred())
		return a.ArchiveDone(archived, true)
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

// weight returns a request that sets the weight of business b.
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

	It("accepts a retry and equal declarations without a change", func() {
		Expect(s.apply(weight(1, "one", 1)).Verdict).To(Equal(config.Accepted))
		Expect(s.apply(weight(7, "other", 1)).Verdict).To(Equal(config.Unchanged))
		Expect(s.record().Revision).To(Equal(int64(1)))
	})

	// Two operators saw revision 1. The second request is refused with what the first
	// one changed, and overwrites nothing of it.
	It("refuses the later of two racing changes and returns what changed", func() {
		s.apply(weight(1, "two", 2))
		result := s.apply(weight(1, "three", 3))
		Expect(result.Verdict).To(Equal(config.Conflict))
		Expect(result.Changes).To(HaveLen(1))
		Expect(result.Changes[0].After).To(Equal("2"))
	})

	// The write takes effect, its answer is lost and another operator's change
	// follows at once. The trail still shows that the first change was accepted.
	It("finds an indeterminate change that a later change builds on", func() {
		a, step := config.NewAttempt(weight(1, "two", 2))
		step = s.carryOut(a, step)
		Expect(s.swap(step)).To(BeTrue())
		s.apply(weight(2, "three", 3))
		result := s.finish(a, a.WriteDone(config.WriteIndeterminate))
		Expect(result.Verdict).To(Equal(config.Accepted))
	})

	// The write is delayed on the network and the service then stops answering. The
	// write may still take effect, so the verdict must not be Failed.
	It("does not fail a change while its write may still take effect", func() {
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
				Expect(seen[e.Revision]).To(BeFalse(), "entry %d is stored twice", e.Revision)
				seen[e.Revision] = true
			}
		}
		Expect(seen).To(HaveLen(3 * config.MaxTrailEntries))
		Expect(len(s.record().Trail)).To(BeNumerically("<=", config.MaxTrailEntries))
	})

	// An attempt died after it wrote an archive with fewer entries than must be
	// archived now. Only the entries in that archive may be removed from the record.
	It("removes no entry that an existing archive does not hold", func() {
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

	receive := func(peer config.Peer, revision int64, ago time.Duration) config.Need {
		return f.StatusReceived(now, config.PeerStatus{From: peer, Revision: revision, ConfirmedAgo: ago, SentAt: now})
	}

	BeforeEach(func() {
		now = start
		f = config.NewFollower(config.DefaultFollowerConfig(), entries[0], true, now, rnd)
		f.SetEntries(now, "d", entries)
	})

	It("has a fixed number of watchers", func() {
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

	// A region without a watcher is partitioned from the others, and the service
	// answers. An entry that read the service only once its proof was too old took no
	// work until the answer came. In 8% of the time no entry of the region took work.
	It("reads the service itself before its proof is too old, and rarely when it does not answer", func() {
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

	It("is not ready until it holds the newest revision it knows of", func() {
		Expect(f.Ready(now)).To(BeFalse())
		Expect(receive(entries[1], 7, 0)).To(Equal(config.Need{Kind: config.NeedFetch, Peer: "e2"}))
		f.Applied(now, 6)
		receive(entries[2], 6, 2*time.Second)
		Expect(f.Ready(now)).To(BeFalse())
		f.Applied(now, 7)
		receive(entries[1], 7, time.Second)
		Expect(f.Ready(now)).To(BeTrue())
		f.Applied(now, 5)
		revision, ago := f.Revision(now)
		Expect(revision).To(Equal(int64(7)))
		Expect(ago).To(Equal(time.Second))
	})

	// The service is down for long, so no proof is recent enough. The entry
	// receives heartbeats from two of three failure domains. Since an entry also needs
	// most failure domains to accept a change, one of the two would have reported a newer
	// revision.
	It("stays ready in an outage while it is in contact with most failure domains", func() {
		f.Applied(now, 7)
		f.Stored(now, now, 7)
		now = now.Add(time.Minute)
		Expect(f.Ready(now)).To(BeFalse())
		receive(entries[2], 7, time.Minute)
		Expect(f.Ready(now)).To(BeFalse(), "one peer is no quorum")
		receive(entries[1], 7, time.Minute)
		Expect(f.Ready(now)).To(BeTrue())
		Expect(f.MayAccept(now)).To(BeTrue())
		now = now.Add(bound + time.Second)
		Expect(f.Ready(now)).To(BeFalse())
		Expect(f.MayAccept(now)).To(BeFalse())
	})

	It("stops taking work if it cannot fetch a newer revision within MaxStaleness", func() {
		f.Applied(now, 7)
		f.Stored(now, now, 7)
		f.Tick(now, rnd)
		receive(entries[1], 8, 0)
		Expect(f.Ready(now)).To(BeTrue())
		Expect(f.FetchFailed(now, "e2").Kind).To(Equal(config.NeedNothing))
		receive(entries[2], 8, 0)
		Expect(f.FetchFailed(now, "e2")).To(Equal(config.Need{Kind: config.NeedFetch, Peer: "e3"}))
		now = now.Add(bound + time.Millisecond)
		receive(entries[1], 8, 0)
		receive(entries[2], 8, 0)
		Expect(f.Ready(now)).To(BeFalse())
	})

	// A read of the service has just proved revision 7 when a peer reports revision 8
	// and the service goes down. Peers that know of 8 must not confirm 7. Otherwise
	// the entry would take work for MaxStaleness since the report of 8, on top of the
	// age of its proof.
	It("takes no work under a revision that its peers know to be replaced once its proof is old", func() {
		f.Applied(now, 7)
		f.Stored(now, now.Add(-bound), 7)
		f.Tick(now, rnd)
		receive(entries[1], 8, time.Minute)
		receive(entries[2], 8, time.Minute)
		Expect(f.MayAccept(now)).To(BeTrue())
		Expect(f.Ready(now)).To(BeTrue())
		Expect(f.Ready(now.Add(time.Millisecond))).To(BeFalse())
	})

	// An entry is paused while answers to heartbeats that it sent before wait in its
	// sockets. When it resumes and reads them, they prove nothing about the present.
	It("counts an answer from the time of its request, not of its arrival", func() {
		f.Applied(now, 7)
		requested := now
		now = now.Add(bound + time.Millisecond)
		for _, peer := range entries[1:] {
			f.StatusReceived(now, config.PeerStatus{From: peer, Revision: 7, ConfirmedAgo: 0, SentAt: requested})
			f.StatusReceived(now, config.PeerStatus{From: peer, Revision: 7, ConfirmedAgo: 0}) // a request, sent at an unknown time
		}
		Expect(f.Ready(now)).To(BeFalse())
		Expect(f.MayAccept(now)).To(BeFalse())
	})

	It("reports how long it stays in contact with a quorum", func() {
		f.Applied(now, 7)
		receive(entries[1], 7, time.Hour)
		now = now.Add(time.Second)
		Expect(f.Status(now).QuorumFor).To(BeZero())
		receive(entries[2], 7, time.Hour)
		Expect(f.Status(now).QuorumFor).To(Equal(bound - time.Second))
		receive(entries[1], 8, time.Hour)
		Expect(f.Status(now).QuorumFor).To(BeZero(), "it knows of a newer revision")
	})
})

var _ = Describe("Follower of an agent", func() {
	var f *config.Follower
	var now time.Time
	rnd := rand.New(rand.NewPCG(1, 1))
	bound := config.DefaultFollowerConfig().MaxStaleness
	began := start.Add(-time.Hour)

	// heartbeat delivers, at the time now, a heartbeat that the entry e1 sent at the given
	// time.
	heartbeat := func(boot uint64, sent time.Time, revision int64, ago, quorum time.Duration) {
		f.StatusReceived(now, config.PeerStatus{
			From: config.Peer{ID: "e1", Domain: "a"}, Revision: revision, ConfirmedAgo: ago, QuorumFor: quorum,
			Boot: boot, Clock: sent.Sub(began),
		})
	}

	BeforeEach(func() {
		now = start
		f = config.NewFollower(config.DefaultFollowerConfig(), config.Peer{ID: "agent", Domain: "a"}, false, now, rnd)
		f.Applied(now, 3)
		heartbeat(1, now, 3, 0, 0)
		Expect(f.Ready(now)).To(BeFalse(), "a first heartbeat may be of any age")
	})

	It("is ready while an entry has proof, and no longer", func() {
		heartbeat(1, now, 3, time.Second, 0)
		Expect(f.Ready(now.Add(bound - time.Second))).To(BeTrue())
		Expect(f.Ready(now.Add(bound - time.Second + time.Millisecond))).To(BeFalse())
	})

	It("is ready in an outage while an entry is in contact with a quorum, and no longer", func() {
		heartbeat(1, now, 3, time.Hour, 3*time.Second)
		Expect(f.Ready(now.Add(3 * time.Second))).To(BeTrue())
		Expect(f.Ready(now.Add(3*time.Second + time.Millisecond))).To(BeFalse())
		Expect(f.MayAccept(now)).To(BeFalse())
	})

	It("ignores the quorum of an entry that holds another revision", func() {
		heartbeat(1, now, 2, time.Hour, bound)
		Expect(f.Ready(now)).To(BeFalse())
		heartbeat(1, now, 4, time.Hour, bound)
		Expect(f.Ready(now)).To(BeFalse())
		f.Applied(now, 4)
		heartbeat(1, now, 4, time.Hour, bound)
		Expect(f.Ready(now)).To(BeTrue())
	})

	// The agent is paused for 20 s while heartbeats of an entry that was current then
	// wait in its socket. When it resumes it reads them all at once. The entry's clock
	// in them shows that they are old.
	It("does not become ready through heartbeats that waited while it was paused", func() {
		sent := now
		now = now.Add(20 * time.Second)
		for i := range 10 {
			heartbeat(1, sent.Add(time.Duration(i)*time.Second), 3, 0, bound)
			Expect(f.Ready(now)).To(BeFalse())
		}
		heartbeat(1, now, 3, 0, bound)
		Expect(f.Ready(now)).To(BeTrue())
	})

	// The entry restarts. Its clock starts anew, and its first heartbeat may have been
	// delayed for any time.
	It("does not compare heartbeats of two runs of an entry", func() {
		now = now.Add(time.Minute)
		heartbeat(2, now.Add(-bound), 3, 0, bound)
		Expect(f.Ready(now)).To(BeFalse())
		heartbeat(2, now, 3, 0, bound)
		Expect(f.Ready(now)).To(BeTrue())
	})

	// Two clocks whose rates differ by 0.01% are an hour apart after a year. The oldest
	// offset must not make every later heartbeat look late.
	It("tolerates clocks that drift apart", func() {
		slow := now
		for range 3 * 3600 {
			now = now.Add(time.Second)
			slow = slow.Add(time.Second - 100*time.Microsecond)
			heartbeat(1, slow, 3, 0, 0)
		}
		Expect(f.Ready(now.Add(bound - 10*time.Millisecond))).To(BeTrue())
	})
})
