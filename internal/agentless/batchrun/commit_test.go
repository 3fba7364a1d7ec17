package batchrun_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("results that do not fit into one value", func() {
	It("are written together, so that the last is not readable later than the first", func() {
		store := standin.NewShared()
		llm := &engines{sent: map[string]int{}, hold: make(chan struct{})}
		p := newProcess("p", store, llm)
		p.owner.ChunkBytes = 1
		p.run()
		Eventually(func() int { return len(p.members.Owners()) }).WithTimeout(patience).Should(Equal(1))
		Expect(p.desk.Submit(context.Background(), spec("j", 3))).To(Succeed())
		Eventually(func() int { return len(p.owner.Jobs()) }).WithTimeout(patience).Should(Equal(1))
		store.SetDown(true) // all are decided before any can be written
		close(llm.hold)
		Eventually(func() int { return batchrun.Undurable(p.owner, "j") }).WithTimeout(patience).Should(Equal(3))
		before := store.Count("commit")
		store.SetDown(false)
		Eventually(results(p, "j")).WithTimeout(patience).Should(Equal(3))
		page, err := kv.ReadAll(context.Background(), store, "done/j/")
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Records).To(HaveLen(3))
		revisions := map[int64]bool{}
		for _, r := range page.Records {
			revisions[r.Revision] = true
		}
		Expect(revisions).To(HaveLen(1))
		Expect(store.Count("commit")).To(BeNumerically(">", before))
	})

	It("are split in order, each value within its bound but for a result that is longer", func() {
		var list []batch.Result
		for _, n := range []int{10, 10, 500, 10, 10, 10} {
			list = append(list, batch.Result{Output: make([]byte, n)})
		}
		var sizes []int
		for _, chunk := range batchrun.Chunks(list, 200) {
			sizes = append(sizes, len(chunk))
		}
		Expect(sizes).To(Equal([]int{2, 1, 2, 1}))
		Expect(batchrun.Chunks(make([]batch.Result, 100), 64)).To(HaveLen(8), "one transaction's worth")
		Expect(batchrun.Chunks(nil, 64)).To(BeEmpty())
	})
})
