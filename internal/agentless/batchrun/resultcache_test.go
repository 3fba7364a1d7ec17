package batchrun

import (
	"fmt"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

var _ = Describe("the result cache", func() {
	all := make([]batch.Result, 50)
	for i := range all {
		all[i] = batch.Result{Item: fmt.Sprintf("i%d", i), Output: []byte(strings.Repeat("x", 1000))}
	}

	It("holds a prefix of the job's results for any order of reads", func() {
		// Readers read from many positions, some repeatedly and some beyond the cached
		// results; none may get a wrong result at a position.
		random := rand.New(rand.NewPCG(3, 9))
		c := &resultCache{}
		for range 2000 {
			from := random.IntN(len(all))
			cached, next := c.get("j", from)
			for i, r := range cached.Results {
				Expect(r.Item).To(Equal(all[from+i].Item))
			}
			Expect(next).To(Equal(from + len(cached.Results)))
			until := min(len(all), next+random.IntN(4))
			c.add("j", next, Reading{Total: len(all), Results: all[next:until]})
		}
		cached, _ := c.get("j", 0)
		Expect(cached.Results).To(HaveLen(len(all)))
		Expect(cached.Total).To(Equal(len(all)))
	})

	It("is not changed by a caller that appends to the results it got", func() {
		// The caller gets a part of the cache's slice. If that had spare capacity, an append
		// would overwrite the result that the cache adds next.
		c := &resultCache{}
		c.add("j", 0, Reading{Results: all[:10]})
		cached, _ := c.get("j", 0)
		_ = append(cached.Results, batch.Result{Item: "other"})
		c.add("j", 10, Reading{Results: all[10:11]})
		again, _ := c.get("j", 10)
		Expect(again.Results[0].Item).To(Equal("i10"))
	})

	It("is bounded, and evicts the least recently read results", func() {
		c := &resultCache{}
		big := []batch.Result{{Item: "i", Output: make([]byte, 1<<20)}}
		for i := range 12 {
			c.add(fmt.Sprintf("j%d", i), 0, Reading{Results: big})
			_, _ = c.get("j0", 0)
		}
		Expect(c.bytes).To(BeNumerically("<=", maxCachedBytes))
		cached, _ := c.get("j0", 0)
		Expect(cached.Results).To(HaveLen(1), "it is read continuously")
		cached, _ = c.get("j1", 0)
		Expect(cached.Results).To(BeEmpty())
	})
})
