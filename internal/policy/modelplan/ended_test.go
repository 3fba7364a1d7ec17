package modelplan_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/modelplan"
)

// crashes plays engines that end 300 ms after they accept an order that ends says to end them. They
// leave the list 2 s later and are back as new instances with their old weights after 2 s more.
func (f *fleet) crashes(p *modelplan.Planner, d time.Duration, ends func(modelplan.Order) bool) (ended int) {
	const step = 50 * time.Millisecond
	type crash struct {
		engine modelplan.Engine
		at     time.Time
		gone   bool
	}
	var crashed []*crash
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for i, e := range f.engines {
			l, found := f.loading[e.ID]
			switch {
			case !found:
			case ends(l.order) && f.now.Sub(l.until) >= -600*time.Millisecond:
				delete(f.loading, e.ID)
				crashed = append(crashed, &crash{engine: e, at: f.now})
				ended++
			case !f.now.Before(l.until):
				f.engines[i].Versions[l.order.Model] = l.order.Version
				delete(f.loading, e.ID)
			}
		}
		for _, c := range crashed {
			switch age := f.now.Sub(c.at); {
			case age >= 4*time.Second && !c.engine.Leaving:
				c.engine.Leaving = true // it is back
				f.engines = append(f.engines, modelplan.Engine{ID: fmt.Sprint(c.engine.ID, "+"), StartedAtMillis: 1, Versions: c.engine.Versions})
			case age >= 2*time.Second && !c.gone:
				c.gone = true
				for i := range f.engines {
					if f.engines[i].ID == c.engine.ID {
						f.engines = append(f.engines[:i], f.engines[i+1:]...)
						break
					}
				}
			}
		}
		for _, o := range p.Next(f.now, f.engines) {
			f.loading[o.Engine] = load{o, f.now.Add(900 * time.Millisecond)}
			f.orders++
			p.RecordResult(f.now, o, modelplan.Accepted)
		}
	}
	return ended
}

var _ = Describe("a version whose loads end engines", func() {
	// Guards against a version that ends every engine that loads it, one after the other and again
	// whenever one is back.
	It("is held after a few ends, and tried by one engine at a time", func() {
		f := newFleet(9, "m")
		p := modelplan.New([]string{"m"})
		p.SetNewestVersion(f.now, "m", 2)
		bad := func(o modelplan.Order) bool { return o.Version == 2 }
		Expect(f.crashes(p, 20*time.Second, bad)).To(BeNumerically("<=", 4+2), "three, one beside the third, and trials")
		held := p.TakeHeld()
		Expect(held).To(HaveLen(1))
		Expect(held[0].Model).To(Equal("m"))
		Expect(held[0].Version).To(BeEquivalentTo(2))
		Expect(len(held[0].Engines)).To(BeNumerically(">=", 3))
		Expect(f.crashes(p, time.Minute, bad)).To(BeNumerically("<=", 6), "one trial in ten seconds")
		By("the next version is loaded as usual")
		p.SetNewestVersion(f.now, "m", 3)
		p.RecordStep("m", 2, 80)
		Expect(f.crashes(p, 20*time.Second, bad)).To(BeZero())
		Expect(f.ready("m", 3)).To(BeNumerically(">=", len(f.engines)/2))
	})

	It("is loaded as usual once an engine has loaded it", func() {
		f := newFleet(9, "m")
		p := modelplan.New([]string{"m"})
		p.SetNewestVersion(f.now, "m", 2)
		p.RecordStep("m", 2, 80)
		until := f.now.Add(15 * time.Second)
		f.crashes(p, 60*time.Second, func(modelplan.Order) bool { return f.now.Before(until) })
		Expect(f.ready("m", 2)).To(Equal(len(f.engines)))
	})

	// Guards against loads that stop for ten seconds after an outage of the store in which the entries of
	// engines expired, although all of them are up.
	It("is not held when the list loses many engines at once and names them again", func() {
		f := newFleet(36, "m")
		p := modelplan.New([]string{"m"})
		p.SetNewestVersion(f.now, "m", 2)
		p.RecordStep("m", 2, 400)
		Expect(len(p.Next(f.now, f.engines))).To(BeNumerically(">=", 3))
		for range 10 {
			f.now = f.now.Add(200 * time.Millisecond)
			p.Next(f.now, nil)
		}
		f.now = f.now.Add(200 * time.Millisecond)
		p.Next(f.now, f.engines)
		Expect(p.TakeHeld()).To(BeEmpty())
		f.run(p, 10*time.Second)
		Expect(f.ready("m", 2)).To(Equal(36))
	})

	// Guards against loads that stop because engines end for another reason.
	It("is not held when others load it, nor when engines leave", func() {
		f := newFleet(12, "m")
		p := modelplan.New([]string{"m"})
		p.SetNewestVersion(f.now, "m", 2)
		p.RecordStep("m", 2, 80)
		n := 0
		Expect(f.crashes(p, 20*time.Second, func(modelplan.Order) bool { n++; return n%40 == 0 })).To(BeNumerically(">", 0))
		Expect(p.TakeHeld()).To(BeEmpty())
		Expect(f.ready("m", 2)).To(Equal(len(f.engines)))

		p = modelplan.New([]string{"m"})
		p.SetNewestVersion(f.now, "m", 3)
		for i := range 6 {
			engines := append([]modelplan.Engine(nil), f.engines...)
			for _, o := range p.Next(f.now, engines) {
				for j := range engines {
					if engines[j].ID == o.Engine {
						engines[j].Leaving = true
					}
				}
			}
			f.now = f.now.Add(time.Duration(i) * 100 * time.Millisecond)
			p.Next(f.now, engines)
			f.engines = f.engines[:0]
			for _, e := range engines {
				if !e.Leaving {
					f.engines = append(f.engines, e)
				}
			}
			p.Next(f.now, f.engines)
		}
		Expect(p.TakeHeld()).To(BeEmpty())
	})
})
