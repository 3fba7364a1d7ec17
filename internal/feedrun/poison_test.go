package feedrun

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("groups whose prompt crashes engines", func() {
	// A sample of the first step is in quarantine and its group is given up.
	// The trainer still works on that step, which has number 0. If the group
	// were forgotten now, its other samples would crash two engines each.
	It("are remembered until their step is over, including the first step", func() {
		first, next := groupKey{feed: "f", step: 0}, groupKey{feed: "f", step: 1}
		g := &generation{poisoned: map[groupKey]bool{first: true, next: true, {feed: "g"}: true}}
		g.dropPoisonedBefore("f", 0)
		Expect(g.poisoned).To(HaveKey(first))
		g.dropPoisonedBefore("f", 1)
		Expect(g.poisoned).NotTo(HaveKey(first))
		Expect(g.poisoned).To(HaveKey(next))
		Expect(g.poisoned).To(HaveKey(groupKey{feed: "g"}))
	})
})
