package duties_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/duties"
)

var _ = Describe("a duty whose receivers check epochs", func() {
	const weights = "weights/tone"
	both := []duties.Member{{ID: "entry-1", Address: "127.0.0.1:1"}, {ID: "entry-2", Address: "127.0.0.1:2"}}
	var config duties.Config
	var rnd *rand.Rand
	var now time.Time
	var t *table
	var keepers map[string]*duties.Keeper // by address
	var cut bool                          // the entries do not reach each other

	start := func(names ...string) {
		for i, m := range both {
			k := duties.New(config, m, string(rune('a'+i)))
			k.SetNames(now, names)
			k.SetMembers(now, both)
			keepers[m.Address] = k
		}
	}
	// run steps the entries that live; a dead or unreachable one answers nothing.
	run := func(d time.Duration, until func() bool) time.Duration {
		begun := now
		for now.Sub(begun) < d && !until() {
			for _, m := range both {
				k := keepers[m.Address]
				if k == nil {
					continue
				}
				t.carryOut(k, now, k.Tick(now, rnd))
				for _, o := range k.Probes(now) {
					other := keepers[o.Address]
					holds := other != nil && !cut && other.LeaseState(now, o.Duty) != duties.NotHolder
					k.ProbeDone(now, o, holds)
				}
			}
			now = now.Add(100 * time.Millisecond)
		}
		return now.Sub(begun)
	}
	holder := func(name string) string {
		for address, k := range keepers {
			if _, holds := k.KnownHolder(now, name); holds {
				return address
			}
		}
		return ""
	}
	never := func() bool { return false }

	BeforeEach(func() {
		config = duties.DefaultConfig()
		config.EarlyTakeoverPrefixes = []string{"weights/"}
		rnd = rand.New(rand.NewPCG(1, 1))
		now = time.Unix(1000, 0)
		t = &table{}
		keepers = map[string]*duties.Keeper{}
		cut = false
	})

	// The entry that rolls weights out dies in the middle. Its lease runs on for
	// 5 s, and nobody loads meanwhile. The next candidate asks it, three times in
	// vain, and goes on under the next epoch.
	It("is taken soon after its holder died", func() {
		start(weights)
		run(20*time.Second, never)
		first, epoch := holder(weights), t.record.Epoch
		delete(keepers, first)
		took := run(20*time.Second, func() bool { return holder(weights) != "" })
		Expect(took).To(BeNumerically("<=", 1700*time.Millisecond))
		Expect(t.record.Epoch).To(Equal(epoch + 1))
	})

	It("stays with a holder that answers", func() {
		start(weights)
		run(time.Minute, never)
		Expect(t.record.Epoch).To(Equal(int64(1)))
	})

	// Claims are safe only while one owner acts at a time.
	It("is no other duty", func() {
		start(name)
		run(20*time.Second, never)
		delete(keepers, holder(name))
		took := run(20*time.Second, func() bool { return holder(name) != "" })
		Expect(took).To(BeNumerically(">", config.TTL))
	})

	// Two entries do not reach each other, but both reach the key-value service.
	// Each finds the other gone. If they took the duty in turn at once, every
	// agent would be asked anew all the time, and no weights would be loaded.
	It("does not pass to and fro between entries that are cut off from each other", func() {
		start(weights)
		run(20*time.Second, never)
		cut = true
		before := t.record.Epoch
		run(time.Minute, never)
		Expect(t.record.Epoch - before).To(BeNumerically("<=", int64(time.Minute/config.EarlyTakeoverInterval)))
	})
})
