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

// kvRecord is a fake of the key-value service that holds the record of one duty.
type kvRecord struct {
	record   duties.Record
	revision int64
}

func (t *kvRecord) swap(a duties.Action) bool {
	if a.Expected != t.revision {
		return false
	}
	t.record = a.Record
	t.revision++
	return true
}

// execute executes the actions of a Tick and passes their results to k at once.
func (t *kvRecord) execute(k *duties.Keeper, now time.Time, actions []duties.Action) {
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
	var t *kvRecord
	var a, b *duties.Keeper // a is the preferred holder
	var other duties.Member // the member of b
	both := []duties.Member{{ID: "entry-1", Address: "127.0.0.1:1"}, {ID: "entry-2", Address: "127.0.0.1:2"}}

	newKeeper := func(self duties.Member, boot string) *duties.Keeper {
		k := duties.New(config, self, boot)
		k.SetNames(now, []string{name})
		k.SetMembers(now, both)
		return k
	}
	step := func(keepers ...*duties.Keeper) {
		for _, k := range keepers {
			t.execute(k, now, k.Tick(now, rnd))
		}
		now = now.Add(100 * time.Millisecond)
	}
	run := func(d time.Duration, keepers ...*duties.Keeper) {
		for end := now.Add(d); now.Before(end); {
			step(keepers...)
		}
	}
	isHolder := func(k *duties.Keeper) bool {
		_, holds := k.KnownHolder(now, name)
		return holds
	}

	BeforeEach(func() {
		config = duties.DefaultConfig()
		rnd = rand.New(rand.NewPCG(1, 2))
		now = time.Unix(100, 0)
		t = &kvRecord{}
		a, b = newKeeper(both[0], "boot-a"), newKeeper(both[1], "boot-b")
		run(time.Second, a, b)
		other = both[1]
		if isHolder(b) {
			a, b, other = b, a, both[0]
		}
		Expect(isHolder(a)).To(BeTrue())
		Expect(isHolder(b)).To(BeFalse())
	})

	It("keeps a duty by renewing its lease under the same epoch", func() {
		run(time.Minute, a, b)
		Expect(isHolder(a)).To(BeTrue())
		Expect(t.record.Epoch).To(Equal(int64(1)))
	})

	// The holder is paused beyond the end of its lease and resumes. Its own clock
	// shows at once that its lease has expired, while its successor holds the duty
	// under a higher epoch.
	It("stops a holder that was paused beyond the end of its lease", func() {
		run(2*config.TTL, b)
		Expect(isHolder(b)).To(BeTrue())
		Expect(t.record.Epoch).To(Equal(int64(2)))
		Expect(isHolder(a)).To(BeFalse())
		Expect(a.LeaseState(now, name)).To(Equal(duties.Lapsed))
		step(a)
		run(config.TTL, a, b)
		Expect(a.LeaseState(now, name) == duties.Holder && b.LeaseState(now, name) == duties.Holder).To(BeFalse())
	})

	// A renewal has been sent and not answered, and a read returns the old
	// revision. Challengers measure the lease from that revision. If the holder
	// measured it from the renewal, it would act at the same time as its successor.
	It("does not extend the lease by a renewal that has not taken effect", func() {
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
		Expect(isHolder(a)).To(BeFalse())
	})

	// A release is sent and its answer is lost; a read still returns the old record.
	// The release may arrive later and let the successor start at once.
	It("never acts again under an epoch that it has released", func() {
		a.Stop()
		actions := a.Tick(now, rnd)
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Record.Released).To(BeTrue())
		a.WriteDone(now, actions[0], duties.Indeterminate, duties.Record{}, 0)
		a.ReadDone(now, name, t.record, t.revision, true)
		Expect(a.LeaseState(now, name)).To(Equal(duties.NotHolder))
		Expect(t.swap(actions[0])).To(BeTrue())
		run(2*config.TTL, b)
		Expect(isHolder(b)).To(BeTrue())
		Expect(t.record.Epoch).To(Equal(int64(2)))
	})

	It("hands a duty over within one poll interval at a planned stop", func() {
		a.Stop()
		step(a, b)
		Expect(a.Idle()).To(BeTrue())
		b.SetMembers(now, []duties.Member{other})
		run(config.PollInterval, b)
		Expect(isHolder(b)).To(BeTrue())
		Expect(t.record.Epoch).To(Equal(int64(2)))
	})

	// The holder stops. No other process knows yet that it leaves, and the successor
	// has just polled. Without an offer nobody holds the duty until the next poll, or
	// for a whole lease if the holder is still the first candidate in the successor's
	// list, and calls that need the duty time out.
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
		Expect(isHolder(b)).To(BeTrue())
		Expect(t.record.Epoch).To(Equal(int64(2)))
		Expect(b.Offered(now, name, 1)).To(BeFalse())
		Expect(a.Offered(now, name, 2)).To(BeFalse())
	})

	// The offer arrives before the answer of a read that started before the release.
	It("reads the record again when an offer arrives during a read", func() {
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
		Expect(isHolder(b)).To(BeTrue())
	})

	// A caller gets "not run" because the lease proves that no other process can
	// have run its request. A release before the deadline of that answer would let
	// the successor run a retry while the answer is still in transit.
	It("does not release a duty before the promised time", func() {
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
		Expect(isHolder(again)).To(BeFalse())
	})

	It("reports each change of the lease state once", func() {
		Expect(a.Changes()).To(Equal([]duties.Change{{Duty: name, Epoch: 1, LeaseState: duties.Holder}}))
		Expect(a.Changes()).To(BeEmpty())
		now = now.Add(config.TTL)
		a.Tick(now, rnd)
		Expect(a.Changes()).To(Equal([]duties.Change{{Duty: name, Epoch: 1, LeaseState: duties.Lapsed}}))
		a.HolderReported(now, duties.KnownHolder{Duty: name, Address: "127.0.0.1:9", Epoch: 5})
		Expect(a.Changes()).To(Equal([]duties.Change{{Duty: name, Epoch: 5, LeaseState: duties.NotHolder}}))
	})
})
