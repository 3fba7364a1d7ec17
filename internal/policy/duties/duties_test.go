package duties_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/duties"
)

func TestDuties(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "duties")
}

// table is the key-value service's record of one duty.
type table struct {
	record   duties.Record
	revision int64
}

func (t *table) swap(a duties.Action) bool {
	if a.Expected != t.revision {
		return false
	}
	t.record = a.Record
	t.revision++
	return true
}

// carryOut answers every action of a tick at once.
func (t *table) carryOut(k *duties.Keeper, now time.Time, actions []duties.Action) {
	for _, a := range actions {
		if a.Kind == duties.Read {
			k.ReadDone(now, a.Duty, t.record, t.revision, true)
			continue
		}
		outcome := duties.Conflict
		if t.swap(a) {
			outcome = duties.Swapped
		}
		k.WriteDone(now, a, outcome, t.record, t.revision)
	}
}

const name = "feed/drafts"

var _ = Describe("Keeper", func() {
	var config duties.Config
	var rnd *rand.Rand
	var now time.Time
	var t *table
	var a, b *duties.Keeper // a is the first choice
	var other duties.Member // b's
	both := []duties.Member{{ID: "entry-1", Address: "127.0.0.1:1"}, {ID: "entry-2", Address: "127.0.0.1:2"}}

	newKeeper := func(self duties.Member, boot string) *duties.Keeper {
		k := duties.New(config, self, boot)
		k.SetNames(now, []string{name})
		k.SetMembers(now, both)
		return k
	}
	step := func(keepers ...*duties.Keeper) {
		for _, k := range keepers {
			t.carryOut(k, now, k.Tick(now, rnd))
		}
		now = now.Add(100 * time.Millisecond)
	}
	run := func(d time.Duration, keepers ...*duties.Keeper) {
		for end := now.Add(d); now.Before(end); {
			step(keepers...)
		}
	}
	mine := func(k *duties.Keeper) bool {
		_, holds := k.KnownHolder(now, name)
		return holds
	}

	BeforeEach(func() {
		config = duties.DefaultConfig()
		rnd = rand.New(rand.NewPCG(1, 2))
		now = time.Unix(100, 0)
		t = &table{}
		a, b = newKeeper(both[0], "boot-a"), newKeeper(both[1], "boot-b")
		run(time.Second, a, b)
		other = both[1]
		if mine(b) {
			a, b, other = b, a, both[0]
		}
		Expect(mine(a)).To(BeTrue())
		Expect(mine(b)).To(BeFalse())
	})

	It("keeps a duty by renewing it under one epoch", func() {
		run(time.Minute, a, b)
		Expect(mine(a)).To(BeTrue())
		Expect(t.record.Epoch).To(Equal(int64(1)))
	})

	// The holder is paused past its lease and wakes. Its own clock tells it at
	// its first look that it may not act, while its successor holds the duty
	// under a higher epoch.
	It("stops a holder that was paused past its lease", func() {
		run(2*config.TTL, b)
		Expect(mine(b)).To(BeTrue())
		Expect(t.record.Epoch).To(Equal(int64(2)))
		Expect(mine(a)).To(BeFalse())
		Expect(a.LeaseState(now, name)).To(Equal(duties.Lapsed))
		step(a)
		run(config.TTL, a, b)
		Expect(a.LeaseState(now, name) == duties.Holder && b.LeaseState(now, name) == duties.Holder).To(BeFalse())
	})

	// A renewal is on its way, unanswered, and a read shows the old revision.
	// Challengers count from that revision; had the holder counted its lease
	// from the renewal, it would act beside its successor.
	It("extends nothing by a renewal that has not taken effect", func() {
		var renewal duties.Action
		for renewal.Record.Epoch == 0 {
			for _, action := range a.Tick(now, rnd) {
				renewal = action
			}
			now = now.Add(100 * time.Millisecond)
		}
		renewedAt := now
		a.WriteDone(now, renewal, duties.Indeterminate, duties.Record{}, 0)
		now = now.Add(500 * time.Millisecond)
		reads := a.Tick(now, rnd)
		Expect(reads).To(HaveLen(1))
		Expect(reads[0].Kind).To(Equal(duties.Read))
		a.ReadDone(now, name, t.record, t.revision, true)
		now = renewedAt.Add(config.TTL - config.Margin - config.RenewInterval/2)
		Expect(mine(a)).To(BeFalse())
	})

	// A release is sent and its answer lost; a read still shows the old record.
	// The release may yet arrive and let the successor begin at once.
	It("never acts again under an epoch it has given up", func() {
		a.Stop()
		actions := a.Tick(now, rnd)
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Record.Released).To(BeTrue())
		a.WriteDone(now, actions[0], duties.Indeterminate, duties.Record{}, 0)
		a.ReadDone(now, name, t.record, t.revision, true)
		Expect(a.LeaseState(now, name)).To(Equal(duties.NotHolder))
		Expect(t.swap(actions[0])).To(BeTrue())
		run(2*config.TTL, b)
		Expect(mine(b)).To(BeTrue())
		Expect(t.record.Epoch).To(Equal(int64(2)))
	})

	It("hands over at a planned stop within one poll", func() {
		a.Stop()
		step(a, b)
		Expect(a.Idle()).To(BeTrue())
		b.SetMembers(now, []duties.Member{other})
		run(config.PollInterval, b)
		Expect(mine(b)).To(BeTrue())
		Expect(t.record.Epoch).To(Equal(int64(2)))
	})

	// The holder stops; nobody but it knows yet that it leaves, and the successor
	// polled a moment ago. Without an offer the duty stands idle until the next
	// poll, and for a whole lease if the successor's list still names the holder
	// first: calls that need the duty run out of time.
	It("takes a released duty at once when its holder offers it", func() {
		run(config.PollInterval, a, b)
		a.Stop()
		a.SetMembers(now, []duties.Member{other})
		step(a)
		Expect(t.record.Released).To(BeTrue())
		offers := a.Offers()
		Expect(offers).To(Equal([]duties.Offer{{Duty: name, Epoch: 1, To: []duties.Member{other}}}))
		Expect(a.Offers()).To(BeEmpty())
		Expect(b.Offered(now, name, 1)).To(BeTrue())
		step(b)
		step(b)
		Expect(mine(b)).To(BeTrue())
		Expect(t.record.Epoch).To(Equal(int64(2)))
		Expect(b.Offered(now, name, 1)).To(BeFalse())
		Expect(a.Offered(now, name, 2)).To(BeFalse())
	})

	// The offer overtakes the answer of a read that began before the release.
	It("reads once more when an offer comes during a read", func() {
		run(2*config.PollInterval, a, b)
		before, revision := t.record, t.revision
		now = now.Add(config.PollInterval)
		reads := b.Tick(now, rnd)
		Expect(reads).To(HaveLen(1))
		a.Stop()
		step(a)
		Expect(b.Offered(now, name, 1)).To(BeTrue())
		b.ReadDone(now, name, before, revision, true)
		step(b)
		step(b)
		Expect(mine(b)).To(BeTrue())
	})

	// A caller is told "not run" because the lease proves that nobody else can
	// have run its request. A release before that answer's deadline would let
	// the successor run a repeat while the answer is still on its way.
	It("releases nothing before what was promised", func() {
		epoch, until := a.HeldUntil(now, name)
		Expect(epoch).To(Equal(int64(1)))
		Expect(a.Promise(now, name, 1, until.Add(1))).To(BeFalse())
		Expect(a.Promise(now, name, 2, until)).To(BeFalse())
		end := now.Add(time.Second)
		Expect(a.Promise(now, name, 1, end)).To(BeTrue())
		a.Stop()
		for now.Before(end) {
			step(a)
			Expect(t.record.Released).To(BeFalse())
		}
		step(a)
		Expect(t.record.Released).To(BeTrue())
		Expect(a.Promise(now, name, 1, now)).To(BeFalse())
	})

	It("treats a restarted process as another holder", func() {
		again := newKeeper(both[0], "boot-c")
		run(config.TTL/2, again)
		Expect(mine(again)).To(BeFalse())
	})

	It("tells each change of standing once", func() {
		Expect(a.Changes()).To(Equal([]duties.Change{{Duty: name, Epoch: 1, LeaseState: duties.Holder}}))
		Expect(a.Changes()).To(BeEmpty())
		now = now.Add(config.TTL)
		a.Tick(now, rnd)
		Expect(a.Changes()).To(Equal([]duties.Change{{Duty: name, Epoch: 1, LeaseState: duties.Lapsed}}))
		a.Heard(now, duties.KnownHolder{Duty: name, Address: "127.0.0.1:9", Epoch: 5})
		Expect(a.Changes()).To(Equal([]duties.Change{{Duty: name, Epoch: 5, LeaseState: duties.NotHolder}}))
	})
})
