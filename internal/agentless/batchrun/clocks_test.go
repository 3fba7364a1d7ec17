package batchrun_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("a batch job that was accepted by a process whose clock is behind", func() {
	// Guards against items that are aborted before their time, as the owner's clock says that their job
	// has expired when it arrives.
	It("is run for as long as its items may take", func() {
		const behind, ttl = 20 * time.Second, 12 * time.Second
		p := newProcess("a", standin.NewTransactionalStore(), &engines{sent: map[string]int{}})
		p.run()
		Eventually(func() int { return len(p.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(1))
		job := spec("j", 2)
		job.Submitted = time.Now().Add(-behind)
		job.Due, job.Expires = job.Submitted.Add(ttl), job.Submitted.Add(ttl)
		Expect(p.frontend.Submit(context.Background(), job)).To(Succeed())
		Eventually(results(p, "j")).WithTimeout(eventuallyTimeout).Should(Equal(2))
		all, err := readAll(p.frontend, "j")
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(HaveEach(HaveField("State", batch.Completed)))
	})
})
