package rendezvous_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rendezvous")
}

func keys(prefix string, n int) []uint64 {
	list := make([]uint64, n)
	for i := range list {
		list[i] = rendezvous.Key(fmt.Sprintf("%s%d", prefix, i))
	}
	return list
}

var _ = Describe("spreading", func() {
	It("gives no node a second thing while another has none", func() {
		// What callers see: a worker is lost while the store is down, and the steps of
		// the models that it owned are late. It should own one model, not two.
		for things := range 9 {
			for nodes := 1; nodes < 9; nodes++ {
				held := make([]int, nodes)
				for _, n := range rendezvous.Spread(keys("model", things), keys("worker", nodes)) {
					held[n]++
				}
				for _, h := range held {
					Expect(h).To(BeNumerically("<=", (things+nodes-1)/nodes))
				}
			}
		}
	})

	It("places nothing without nodes", func() {
		Expect(rendezvous.Spread(keys("model", 3), nil)).To(BeEmpty())
	})

	It("keeps most places when a node goes", func() {
		moved, total := 0, 0
		for trial := range 200 {
			things, nodes := keys(fmt.Sprintf("m%d-", trial), 4), keys(fmt.Sprintf("w%d-", trial), 8)
			before, after := rendezvous.Spread(things, nodes), rendezvous.Spread(things, nodes[:7])
			for i := range things {
				if before[i] != 7 {
					total++
					if before[i] != after[i] {
						moved++
					}
				}
			}
		}
		Expect(moved).To(BeNumerically("<", total/8))
	})
})
