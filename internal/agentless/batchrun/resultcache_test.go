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
			kept, next := c.from("j", from)
			for i, r := range kept.Results {
				Expect(r.Item).To(Equal(all[from+i].Item))
			}
			Expect(next).To(Equal(from + len(kept.Results)))
			until := min(len(all), next+random.IntN(4))
			c.add("j", next, Reading{Total: len(all), Results: all[next:until]})
		}
		kept, _ := c.from("j", 0)
		Expect(kept.Results).To(HaveLen(len(all)))
		Expect(kept.Total).To(Equal(len(all)))
	})

	It("cannot be changed by who adds to what it was given", func() {
		c := &resultCache{}
		c.add("j", 0, Reading{Results: all[:10]})
		kept, _ := c.from("j", 0)
		_ = append(kept.Results, batch.Result{Item: "other"})
		c.add("j", 10, Reading{Results: all[10:11]})
		again, _ := c.from("j", 10)
		Expect(again.Results[0].Item).To(Equal("i10"))
	})

	It("are bounded; those read longest ago go", func() {
		c := &resultCache{}
		big := []batch.Result{{Item: "i", Output: make([]byte, 1<<20)}}
		for i := range 12 {
			c.add(fmt.Sprintf("j%d", i), 0, Reading{Results: big})
			_, _ = c.from("j0", 0)
		}
		Expect(c.bytes).To(BeNumerically("<=", mostCached))
		kept, _ := c.from("j0", 0)
		Expect(kept.Results).To(HaveLen(1), "it is read all the time")
		kept, _ = c.from("j1", 0)
		Expect(kept.Results).To(BeEmpty())
	})
})
