package batch_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

var _ = Describe("JobID", func() {
	It("is unique per customer and ID, and a single path segment", func() {
		// No choice of IDs or customer names may give access to another customer's job.
		names := map[string]string{}
		for _, customer := range []string{"", "a", "a!b", "a/b", "é"} {
			for _, id := range []string{"", "j", "b!j", "a!j", "/j", "../j", "%21", "\x00"} {
				name := batch.JobID(customer, id)
				Expect(names).NotTo(HaveKey(name), "%q %q and %s", customer, id, names[name])
				names[name] = customer + " " + id
				Expect(name).NotTo(ContainSubstring("/"))
			}
		}
	})

	It("is the submitted ID if there are no customers", func() {
		Expect(batch.JobID("", "7c41e09b52d6a3f8")).To(Equal("7c41e09b52d6a3f8"))
	})
})
