package config_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/config"
)

var _ = Describe("Delta", func() {
	It("transforms any encoding by any changes", func() {
		rnd := rand.New(rand.NewPCG(3, 3))
		for range 200 {
			encodings := [][]byte{bytes.Repeat([]byte("ab"), rnd.IntN(20))}
			var deltas []config.Delta
			for i := range 5 {
				before := encodings[i]
				from := rnd.IntN(len(before) + 1)
				to := from + rnd.IntN(len(before)-from+1)
				after := append(append(bytes.Clone(before[:from]), bytes.Repeat([]byte("a"), rnd.IntN(4))...), before[to:]...)
				encodings = append(encodings, after)
				deltas = append(deltas, config.NewDelta(int64(i), int64(i+1), before, after))
			}
			result, fits := config.ApplyDeltas(deltas, 0, 5, encodings[0])
			Expect(fits).To(BeTrue())
			Expect(string(result)).To(Equal(string(encodings[5])))
		}
	})

	It("does not fit another revision, another encoding or a gap", func() {
		one := config.NewDelta(1, 2, []byte("abcdef"), []byte("abXdef"))
		three := config.NewDelta(3, 4, []byte("abXdef"), []byte("abYdef"))
		for _, wrong := range []struct {
			from, to int64
			deltas   []config.Delta
			encoded  string
		}{
			{2, 2, []config.Delta{one}, "abcdef"},
			{1, 3, []config.Delta{one}, "abcdef"},
			{1, 4, []config.Delta{one, three}, "abcdef"},
			{1, 2, []config.Delta{one}, "abc"},
			{1, 2, []config.Delta{{From: 1, To: 2, Head: -1, Tail: 1}}, "abc"},
		} {
			_, fits := config.ApplyDeltas(wrong.deltas, wrong.from, wrong.to, []byte(wrong.encoded))
			Expect(fits).To(BeFalse(), fmt.Sprint(wrong))
		}
	})
})

var _ = Describe("History", func() {
	It("returns few deltas, of no more than half a snapshot", func() {
		var h config.History
		before := bytes.Repeat([]byte("x"), 10000)
		for i := range int64(100) {
			after := bytes.Clone(before)
			after[i] = 'y'
			h.Add(config.NewDelta(i, i+1, before, after))
			before = after
		}
		deltas, worth := h.Since(90, len(before))
		Expect(worth).To(BeTrue())
		Expect(deltas).To(HaveLen(10))
		_, worth = h.Since(90, 100)
		Expect(worth).To(BeFalse(), "a snapshot is smaller")
		_, worth = h.Since(1, len(before))
		Expect(worth).To(BeFalse(), "no longer held")
		_, worth = h.Since(100, len(before))
		Expect(worth).To(BeFalse(), "nothing is missing")
	})

	It("drops the oldest deltas by size", func() {
		var h config.History
		large := bytes.Repeat([]byte("z"), 300<<10)
		h.Add(config.NewDelta(1, 2, nil, large))
		h.Add(config.NewDelta(2, 3, nil, large))
		_, worth := h.Since(1, 10<<20)
		Expect(worth).To(BeFalse())
		_, worth = h.Since(2, 10<<20)
		Expect(worth).To(BeTrue())
	})
})
