package duties_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/duties"
)

var _ = Describe("Keeper with a duty whose receivers check epochs", func() {
	const weights = "weights/tone"
	both := []duties.Member{{ID: "entry-1", Address: "127.0.0.1:1"}, {ID: "entry-2", Address: "127.0.0.1:2"}}
	var config duties.Config
	var rnd *rand.Rand
	var now time.Time
	var t *kvRecord
	var keepers map[string]*duties.Keeper // by address
	var cut bool                          // the entries can't reach each other

	start := func(names ...string) {
		for i, m := range both {
			k := duties.New(config, m, string(rune('a'+i)))
			k.SetNames(now, names)
			k.SetMembers(now, both)
			keepers[m.Address] = k
		}
	}
	// run advances the live entries until the condition holds, for at most d. Dead
	// and unreachable entries don't answer probes.
	run := func(d time.Duration, until func() bool) time.Duration {
		started := now
		for now.Sub(started) < d && !until() {
			for _, m := range both {
				k := keepers[m.Address]
				if k == nil {
					continue
				}
				t.execute(k, now, k.Tick(now, rnd))
				for _, probed := range k.Probes(now) {
					other := keepers[probed.Address]
					holds := other != nil && !cut && other.LeaseState(now, probed.Duty) != duties.NotHolder
					k.ProbeDone(now, probed, holds)
				}
			}
			now = now.Add(100 * time.Millisecond)
		}
		return now.Sub(started)
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
		t = &kvRecord{}
		keepers = map[string]*duties.Keeper{}
		cut = false
	})

	// The entry that rolls out weights dies during the rollout. Its lease lasts for
	// another 5 s, in which no weights would be loaded. The next candidate probes it,
	// fails three times, and continues under the next epoch.
	It("takes it over soon after its holder died", func() {
		start(weights)
		run(20*time.Second, never)
		first, epoch := holder(weights), t.record.Epoch
		delete(keepers, first)
		elapsed := run(20*time.Second, func() bool { return holder(weights) != "" })
		Expect(elapsed).To(BeNumerically("<=", 1700*time.Millisecond))
		Expect(t.record.Epoch).To(Equal(epoch + 1))
	})

	It("leaves it to a holder that answers", func() {
		start(weights)
		run(time.Minute, never)
		Expect(t.record.Epoch).To(Equal(int64(1)))
	})

	// Claims, for example, are safe only if one owner acts at a time: an owner may
	// answer "not run" because of its lease alone.
	It("waits for the end of the lease of any other duty", func() {
		start(name)
		run(20*time.Second, never)
		delete(keepers, holder(name))
		elapsed := run(20*time.Second, func() bool { return holder(name) != "" })
		Expect(elapsed).To(BeNumerically(">", config.TTL))
	})

	// Two entries can't reach each other, but both reach the key-value service. The
	// probes of both fail. If they took the duty from each other in turn without
	// delay, every agent would be queried again after each takeover, and no weights
	// would be loaded.
	It("rarely moves it between entries that are cut off from each other", func() {
		start(weights)
		run(20*time.Second, never)
		cut = true
		before := t.record.Epoch
		run(time.Minute, never)
		Expect(t.record.Epoch - before).To(BeNumerically("<=", int64(time.Minute/config.EarlyTakeoverInterval)))
	})
})
