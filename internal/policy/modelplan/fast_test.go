package modelplan_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/modelplan"
)

var _ = Describe("Planner with engines of unequal speed", func() {
	const engines, fastEngines = 44, 11
	models := []string{"a", "b", "c"}

	// newEngines returns 44 engines whose first versions are loaded.
	newEngines := func() *fleet {
		f := newFleet(engines, models...)
		for i := range f.engines {
			f.engines[i].Slots = 6
		}
		return f
	}
	fastIDs := func(f *fleet) []string {
		var ids []string
		for _, e := range f.engines[:fastEngines] {
			ids = append(ids, e.ID)
		}
		return ids
	}
	// fastReady returns the number of fast engines with at least the version of the model.
	fastReady := func(f *fleet, model string, version int64) int {
		n := 0
		for _, e := range f.engines[:fastEngines] {
			if e.Versions[model] >= version {
				n++
			}
		}
		return n
	}
	// announce announces a version of each model and the steps that accept the one before.
	announce := func(f *fleet, p *modelplan.Planner, k int64) {
		for _, m := range models {
			p.SetNewestVersion(f.now, m, k)
			p.RecordStep(m, k-1, 150)
		}
	}

	It("gives each model its share of the fast engines whenever a step arrives", func() {
		// The engines of a model were chosen by a hash of their IDs and, at each version, by
		// their order in the list: a step could find most fast engines of its model too old.
		f := newEngines()
		p := modelplan.New(models)
		for k := int64(1); k <= 12; k++ {
			p.RecordFast(f.now, fastIDs(f))
			announce(f, p, k)
			if k > 4 {
				for _, m := range models {
					Expect(fastReady(f, m, k-1)).To(BeNumerically(">=", 2), fmt.Sprint(m, " at step ", k))
				}
			}
			f.run(p, 1800*time.Millisecond)
			if k > 4 {
				for _, m := range models {
					Expect(fastReady(f, m, k-1)).To(BeNumerically(">=", 5), fmt.Sprint(m, " after the loads of step ", k))
				}
			}
			f.run(p, 2200*time.Millisecond)
		}
		Expect(f.maxLoads).To(BeNumerically("<=", engines/4))
	})

	It("plans exactly as without speeds once no engine is reported as fast for 30 s", func() {
		plain, uneven := newEngines(), newEngines()
		p, q := modelplan.New(models), modelplan.New(models)
		q.RecordFast(uneven.now, fastIDs(uneven))
		plain.now, uneven.now = plain.now.Add(31*time.Second), uneven.now.Add(31*time.Second)
		for k := int64(1); k <= 6; k++ {
			announce(plain, p, k)
			announce(uneven, q, k)
			plain.run(p, 4*time.Second)
			uneven.run(q, 4*time.Second)
			Expect(uneven.engines).To(Equal(plain.engines), "version %d", k)
		}
		Expect(uneven.orders).To(Equal(plain.orders))
	})

	It("needs few more loads than before to give the models their shares", func() {
		plain, uneven := newEngines(), newEngines()
		p, q := modelplan.New(models), modelplan.New(models)
		for k := int64(1); k <= 12; k++ {
			if k > 3 {
				q.RecordFast(uneven.now, fastIDs(uneven))
			}
			announce(plain, p, k)
			announce(uneven, q, k)
			plain.run(p, 4*time.Second)
			uneven.run(q, 4*time.Second)
		}
		Expect(uneven.orders).To(BeNumerically("<=", plain.orders+plain.orders/5))
	})
})
