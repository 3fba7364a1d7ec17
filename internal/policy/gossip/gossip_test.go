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
	It("takes distinct peers of as many other failure domains as it can", func() {
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

	// An operator sees the traffic of each entry grow with their number. An entry
	// draws three peers a second; past some thirty entries hardly one of them is
	// connected still, so that every heartbeat opens a connection and describes
	// its messages' types anew, which takes several times its own bytes.
	It("are called again and again, and only now and then another", func() {
		partners := gossip.NewPartners("0")
		called := map[string]bool{}
		for range rounds {
			for _, p := range partners.Choose(rnd, peers, 3) {
				called[p.ID] = true
			}
		}
		Expect(len(called)).To(BeNumerically("<=", gossip.MaxPartners+rounds/10))
		Expect(len(called)).To(BeNumerically(">", gossip.MaxPartners), "one is replaced now and then")
	})

	It("are of as many other failure domains as they can, in each round and over all", func() {
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

	// In an outage of the service an entry takes work while it hears a quorum, of
	// whom it counts the answers of five rounds. Partners drawn anew each round
	// are the same ones again and again: ten different ones in five rounds.
	It("are called in turn, so that a quorum is heard within five rounds", func() {
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

	It("are replaced at once when the list drops them", func() {
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

var _ = Describe("Silence", func() {
	It("counts from the first failure since the last sign of life", func() {
		now := time.Unix(100, 0)
		s := gossip.NewFailureDetector(3 * time.Second)
		s.RecordFailure(now, "a")
		s.RecordFailure(now.Add(2*time.Second), "a")
		Expect(s.Dead(now.Add(2*time.Second), "a")).To(BeFalse())
		Expect(s.Dead(now.Add(3*time.Second), "a")).To(BeTrue())
		s.RecordContact("a")
		Expect(s.Dead(now.Add(3*time.Second), "a")).To(BeFalse())
	})
})
