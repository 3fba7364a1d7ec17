package batchrun

import (
	"fmt"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

var _ = Describe("the results kept where they were read", func() {
	all := make([]batch.Result, 50)
	for i := range all {
		all[i] = batch.Result{Item: fmt.Sprintf("i%d", i), Output: []byte(strings.Repeat("x", 1000))}
	}

	It("are a prefix of the job's results, however they are read", func() {
		// Readers of many positions ask at one entry, some twice and some beyond what
		// is kept; none may be given another result at a position.
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

	It("cannot be changed by who adds to what it was given", func() {
		c := &resultCache{}
		c.add("j", 0, Reading{Results: all[:10]})
		cached, _ := c.get("j", 0)
		_ = append(cached.Results, batch.Result{Item: "other"})
		c.add("j", 10, Reading{Results: all[10:11]})
		again, _ := c.get("j", 10)
		Expect(again.Results[0].Item).To(Equal("i10"))
	})

	It("are bounded; those read longest ago go", func() {
		c := &resultCache{}
		big := []batch.Result{{Item: "i", Output: make([]byte, 1<<20)}}
		for i := range 12 {
			c.add(fmt.Sprintf("j%d", i), 0, Reading{Results: big})
			_, _ = c.get("j0", 0)
		}
		Expect(c.bytes).To(BeNumerically("<=", maxCachedBytes))
		cached, _ := c.get("j0", 0)
		Expect(cached.Results).To(HaveLen(1), "it is read all the time")
		cached, _ = c.get("j1", 0)
		Expect(cached.Results).To(BeEmpty())
	})
})
