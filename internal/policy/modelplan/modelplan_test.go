package modelplan_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/modelplan"
)

var start = time.Unix(1000, 0)

// fleet is engines that take 900 ms for a load, and the figures of a run.
type fleet struct {
	now     time.Time
	engines []modelplan.Engine
	loading map[string]load
	orders  int
	most    int // loads at once
}

type load struct {
	order modelplan.Order
	until time.Time
}

func newFleet(n int, models ...string) *fleet {
	f := &fleet{now: start, loading: map[string]load{}}
	for i := range n {
		versions := map[string]int64{}
		for _, m := range models {
			versions[m] = 1
		}
		f.engines = append(f.engines, modelplan.Engine{ID: fmt.Sprintf("e%d", i), Born: 1, Versions: versions})
	}
	return f
}

// run plays the planner for a time.
func (f *fleet) run(p *modelplan.Planner, d time.Duration) {
	const step = 50 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for i, e := range f.engines {
			if l, found := f.loading[e.ID]; found && !f.now.Before(l.until) {
				f.engines[i].Versions[l.order.Model] = l.order.Version
				delete(f.loading, e.ID)
			}
		}
		for _, o := range p.Next(f.now, f.engines) {
			Expect(f.loading).NotTo(HaveKey(o.Engine), "one order at a time")
			f.loading[o.Engine] = load{o, f.now.Add(900 * time.Millisecond)}
			f.orders++
			p.RecordResult(f.now, o, modelplan.Accepted)
		}
		f.most = max(f.most, len(f.loading))
	}
}

func (f *fleet) ready(model string, version int64) int {
	n := 0
	for _, e := range f.engines {
		if e.Versions[model] >= version {
			n++
		}
	}
	return n
}

var _ = Describe("the plan of loads", func() {
	It("keeps engines ready for two trainers that name a version every 4 s, with few loads", func() {
		// Two models at once on nine engines, a step of 80 and one of 40 items every
		// 4 s, each accepting the version before the newest. Each step must find
		// engines when it comes, while at most two engines load at once.
		f := newFleet(9, "big", "small")
		p := modelplan.New([]string{"big", "small"})
		for k := int64(1); k <= 10; k++ {
			p.SetNewestVersion(f.now, "big", k)
			p.SetNewestVersion(f.now, "small", k)
			p.RecordStep("big", k-1, 80)
			p.RecordStep("small", k-1, 40)
			if k > 3 {
				Expect(f.ready("big", k-1)).To(BeNumerically(">=", 3), "step %d", k)
				Expect(f.ready("small", k-1)).To(BeNumerically(">=", 2), "step %d", k)
			}
			f.run(p, 4*time.Second)
		}
		Expect(f.most).To(Equal(2))
		Expect(f.orders).To(BeNumerically("<=", 77), "14 carried places, half of them at each of 9 versions, and the first version on all")
	})

	It("loads as many engines as steps can use where there are thousands", func() {
		// 3,000 engines of six places, and two trainers with steps of 96 and 176 items
		// every 4 s. With a share of all engines for each model half of the service is
		// ordered to each version: 2,400 orders and more for steps that 180 engines run
		// a quarter full. Every step finds engines for two items each all the same.
		f := newFleet(3000, "polite", "firm")
		for i := range f.engines {
			f.engines[i].Slots = 6
		}
		p := modelplan.New([]string{"firm", "polite"})
		const versions = 6
		for k := int64(1); k <= versions; k++ {
			p.SetNewestVersion(f.now, "polite", k)
			p.SetNewestVersion(f.now, "firm", k)
			p.RecordStep("polite", k-1, 96)
			p.RecordStep("firm", k-1, 176)
			if k > 3 {
				Expect(f.ready("polite", k-1)).To(BeNumerically(">=", 96/2/2), "step %d", k)
				Expect(f.ready("firm", k-1)).To(BeNumerically(">=", 176/2/2), "step %d", k)
			}
			f.run(p, 4*time.Second)
		}
		const asked = (96 + 176) * 4 / 6 // places for four times the items
		Expect(f.orders).To(BeNumerically("<=", asked*versions), "each engine at each version at the most")
	})

	It("loads every engine of a model where steps need the newest version", func() {
		f := newFleet(4, "m")
		p := modelplan.New([]string{"m"})
		for k := int64(2); k <= 4; k++ {
			p.SetNewestVersion(f.now, "m", k)
			p.RecordStep("m", k, 10)
			f.run(p, 6*time.Second)
			Expect(f.ready("m", k)).To(Equal(4), "version %d", k)
		}
	})

	It("serves first the model whose engines are fewest after a time without orders", func() {
		// Nobody gave orders for three versions. Both models' engines are too old;
		// giving one model all its loads first would leave the other's trainer idle.
		f := newFleet(8, "a", "b")
		p := modelplan.New([]string{"a", "b"})
		p.SetNewestVersion(f.now, "a", 5)
		p.SetNewestVersion(f.now, "b", 5)
		p.RecordStep("a", 4, 10)
		p.RecordStep("b", 4, 10)
		f.run(p, 2500*time.Millisecond)
		Expect(f.ready("a", 5)).To(BeNumerically(">=", 1))
		Expect(f.ready("b", 5)).To(BeNumerically(">=", 1))
	})

	It("skips versions that nobody needs any more", func() {
		f := newFleet(1, "m")
		p := modelplan.New([]string{"m"})
		p.SetNewestVersion(f.now, "m", 2)
		p.SetNewestVersion(f.now, "m", 7)
		f.run(p, 2*time.Second)
		Expect(f.orders).To(Equal(1))
		Expect(f.ready("m", 7)).To(Equal(1))
	})

	It("asks again after a conflict or no answer, and not at once", func() {
		f := newFleet(1, "m")
		p := modelplan.New([]string{"m"})
		p.SetNewestVersion(f.now, "m", 2)
		now := f.now.Add(time.Second)
		orders := p.Next(now, f.engines)
		Expect(orders).To(HaveLen(1))
		p.RecordResult(now, orders[0], modelplan.Unknown)
		Expect(p.Next(now.Add(100*time.Millisecond), f.engines)).To(BeEmpty())
		Expect(p.Next(now.Add(time.Second), f.engines)).To(HaveLen(1))
	})

	It("forgets the order of an engine that started again", func() {
		// The engine accepted the load and crashed. It is back under its ID with the
		// version that it had before; waiting for the lost load would idle it for 4 s.
		f := newFleet(1, "m")
		p := modelplan.New([]string{"m"})
		p.SetNewestVersion(f.now, "m", 2)
		now := f.now.Add(time.Second)
		order := p.Next(now, f.engines)[0]
		p.RecordResult(now, order, modelplan.Accepted)
		f.engines[0].Born = 2
		Expect(p.Next(now.Add(100*time.Millisecond), f.engines)).To(HaveLen(1))
	})

	It("gives no orders to an engine that leaves", func() {
		f := newFleet(1, "m")
		f.engines[0].Leaving = true
		p := modelplan.New([]string{"m"})
		p.SetNewestVersion(f.now, "m", 2)
		Expect(p.Next(f.now.Add(time.Second), f.engines)).To(BeEmpty())
	})
})
