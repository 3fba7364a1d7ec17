package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/gossip"
)

func TestGossip(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gossip")
}

var _ = Describe("Choose", func() {
	It("returns distinct peers from as many other failure domains as possible", func() {
		rnd := rand.New(rand.NewPCG(1, 1))
		var peers []gossip.Peer
		for i := range 30 {
			peers = append(peers, gossip.Peer{ID: fmt.Sprint(i), Domain: fmt.Sprint(i % 3)})
		}
		for range 100 {
			domains, ids := map[string]bool{}, map[string]bool{}
			for _, p := range gossip.Choose(rnd, "0", peers, 3) {
				domains[p.Domain], ids[p.ID] = true, true
			}
			Expect(ids).To(HaveLen(3))
			Expect(domains).To(And(HaveKey("1"), HaveKey("2")))
		}
		Expect(gossip.Choose(rnd, "0", peers[:2], 3)).To(HaveLen(2))
	})
})

var _ = Describe("Partners", func() {
	const rounds = 100
	var rnd *rand.Rand
	var peers []gossip.Peer
	BeforeEach(func() {
		rnd = rand.New(rand.NewPCG(1, 1))
		peers = nil
		for i := range 369 {
			peers = append(peers, gossip.Peer{ID: fmt.Sprint(i), Domain: fmt.Sprint(i % 8)})
		}
	})

	// Regression: the traffic of each entry grew with the number of entries. An
	// entry called three random peers a second; with more than about thirty
	// entries hardly any of them was still connected, so that every heartbeat
	// opened a connection and described its message types anew, which takes
	// several times the bytes of the heartbeat.
	It("stay the same over many rounds, except for a replacement now and then", func() {
		partners := gossip.NewPartners("0")
		called := map[string]bool{}
		for range rounds {
			for _, p := range partners.Choose(rnd, peers, 3) {
				called[p.ID] = true
			}
		}
		Expect(len(called)).To(BeNumerically("<=", gossip.MaxPartners+rounds/10))
		Expect(len(called)).To(BeNumerically(">", gossip.MaxPartners), "a partner is replaced now and then")
	})

	It("cover as many other failure domains as possible, in each round and in total", func() {
		partners := gossip.NewPartners("0")
		domains := map[string]bool{}
		for range rounds {
			round := map[string]bool{}
			for _, p := range partners.Choose(rnd, peers, 3) {
				round[p.Domain], domains[p.Domain] = true, true
			}
			Expect(round).To(HaveLen(3))
			Expect(round).NotTo(HaveKey("0"))
		}
		Expect(len(domains)).To(Equal(7))
	})

	// During an outage of the key-value service an entry accepts work while it is in
	// contact with a quorum, counting the answers of the last five rounds. Partners
	// drawn at random in each round repeat: only ten different ones are called in
	// five rounds. That suffices for the quorum of eight peers only if no more than
	// two calls are lost.
	It("are called in turn, so that a quorum answers within five rounds", func() {
		const quorum, lost = 8, 2
		fewest := len(peers)
		for seed := range uint64(50) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			partners := gossip.NewPartners("0")
			called := map[string]bool{}
			for range 5 {
				for _, p := range partners.Choose(rnd, peers, 3) {
					called[p.ID] = true
				}
			}
			fewest = min(fewest, len(called))
		}
		Expect(fewest).To(BeNumerically(">=", quorum+lost))
	})

	It("are replaced at once when the list no longer names them", func() {
		partners := gossip.NewPartners("0")
		partners.Choose(rnd, peers, 3)
		for range rounds {
			for _, p := range partners.Choose(rnd, peers[:5], 3) {
				Expect(peers[:5]).To(ContainElement(p))
			}
		}
		Expect(partners.Choose(rnd, peers[:2], 3)).To(HaveLen(2))
	})
})

var _ = Describe("FailureDetector", func() {
	It("measures the timeout from the first failure since the last contact", func() {
		now := time.Unix(100, 0)
		d := gossip.NewFailureDetector(3 * time.Second)
		d.RecordFailure(now, "a")
		d.RecordFailure(now.Add(2*time.Second), "a")
		Expect(d.Dead(now.Add(2*time.Second), "a")).To(BeFalse())
		Expect(d.Dead(now.Add(3*time.Second), "a")).To(BeTrue())
		d.RecordContact("a")
		Expect(d.Dead(now.Add(3*time.Second), "a")).To(BeFalse())
	})
})
