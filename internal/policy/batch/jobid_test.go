package batch_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

var _ = Describe("a job's name", func() {
	It("is one for one customer and ID, and one segment of a path", func() {
		// Whoever chooses IDs, or customers' names, must not reach a job of another.
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

	It("is the ID as it was given where there are no customers", func() {
		Expect(batch.JobID("", "7c41e09b52d6a3f8")).To(Equal("7c41e09b52d6a3f8"))
	})
})
