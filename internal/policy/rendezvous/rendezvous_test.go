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

// hashes returns the keys of n names with the prefix.
func hashes(prefix string, n int) []uint64 {
	list := make([]uint64, n)
	for i := range list {
		list[i] = rendezvous.Key(fmt.Sprintf("%s%d", prefix, i))
	}
	return list
}

var _ = Describe("Spread", func() {
	It("assigns keys evenly", func() {
		// A worker that is lost while the store is down delays the steps of the models
		// that it owns. It should own one model and not two while another one owns none.
		for keys := range 9 {
			for nodes := 1; nodes < 9; nodes++ {
				counts := make([]int, nodes)
				for _, n := range rendezvous.Spread(hashes("model", keys), hashes("worker", nodes)) {
					counts[n]++
				}
				for _, count := range counts {
					Expect(count).To(BeNumerically("<=", (keys+nodes-1)/nodes))
				}
			}
		}
	})

	It("returns nothing without nodes", func() {
		Expect(rendezvous.Spread(hashes("model", 3), nil)).To(BeEmpty())
	})

	It("keeps most assignments when a node is removed", func() {
		moved, total := 0, 0
		for trial := range 200 {
			keys, nodes := hashes(fmt.Sprintf("m%d-", trial), 4), hashes(fmt.Sprintf("w%d-", trial), 8)
			before, after := rendezvous.Spread(keys, nodes), rendezvous.Spread(keys, nodes[:7])
			for i := range keys {
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
