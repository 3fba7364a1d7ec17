package demo

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a random schedule of faults", func() {
	It("is the same for the same seed, and ends all faults before the load ends", func() {
		layout, err := writeSites(GinkgoT().TempDir(), firstPort, exampleSpecs)
		Expect(err).NotTo(HaveOccurred())
		const duration = time.Minute
		first := DrawFaults(layout, 3, duration)
		Expect(first).To(Equal(DrawFaults(layout, 3, duration)))
		Expect(first).NotTo(Equal(DrawFaults(layout, 4, duration)))
		ends := map[Verb]Verb{Kill: Start, Stop: Start, Pause: Resume, Outage: Recover}
		pending := map[string]Verb{}
		for _, f := range first {
			Expect(f.At).To(BeNumerically("<=", duration-faultFreeTail))
			if end, starts := ends[f.Verb]; starts {
				Expect(pending).NotTo(HaveKey(f.Target))
				pending[f.Target] = end
				continue
			}
			Expect(pending).To(HaveKeyWithValue(f.Target, f.Verb))
			delete(pending, f.Target)
		}
		Expect(pending).To(BeEmpty())
		Expect(len(first)).To(BeNumerically(">=", 20))
	})
})
