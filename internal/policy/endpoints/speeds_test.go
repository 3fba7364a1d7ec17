package endpoints_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/speed"
)

// newEngines returns a set of engines that serve the model m.
func newEngines(n int) *endpoints.Set {
	s := endpoints.NewSet("self")
	for i := range n {
		s.Put(deployment.Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "llm", Slots: 16, StartedAtMillis: 1, Versions: map[string]int64{"m": 1}})
	}
	return s
}

// learnMixed has a set learn that its first engines are twice as fast as the others.
func learnMixed(s *endpoints.Set, fast int) time.Time {
	now := start
	for range 4 {
		now = now.Add(700 * time.Millisecond)
		for i, e := range s.All() {
			seconds := 0.055
			if i < fast {
				seconds = 0.026
			}
			e.ObserveSpeed(now, seconds, 16, 0)
			e.ObservePace(seconds)
		}
	}
	return now
}

// decisions replays random runs at equal engines with noise and returns everything that was
// decided.
func decisions(seed uint64, options endpoints.Options) (log []string) {
	random := rand.New(rand.NewPCG(seed, 2))
	s := newEngines(12)
	s.Options = options
	var runs []*endpoints.State
	r := endpoints.Request{Now: start, Model: "m", RequireFreeSlot: true}
	for step := range 3000 {
		r.Now = r.Now.Add(time.Duration(random.IntN(30)) * time.Millisecond)
		if step%1000 == 999 {
			r.Now = r.Now.Add(15 * time.Second) // no engine is used for longer than a probe's age
		}
		r.RemainingWork, r.Weight = float64(10+random.IntN(90)), random.Float64()*random.Float64()
		if e := s.Pick(r); e != nil {
			log = append(log, e.ID)
			runs = append(runs, e)
			e.ReleasePlacement(&r.Placement)
		}
		if len(runs) < 30 {
			continue
		}
		i := random.IntN(len(runs))
		ended := runs[i]
		runs = append(runs[:i], runs[i+1:]...)
		seconds := 0.03 * (1 + 0.02*float64(ended.InFlight))
		if random.Float64() < 0.15 {
			seconds *= 2.5
		}
		ended.ObserveSpeed(r.Now, seconds, 8, float64(ended.Others()))
		ended.ObservePace(seconds)
		log = append(log, fmt.Sprint(s.HasFaster(r, ended, seconds), s.HasLessLoaded(r, ended, 4), s.TypicalPace(), s.Uneven()))
		ended.End(r.Now, endpoints.Answered, time.Duration(seconds*20e9), 20)
	}
	return log
}

var _ = Describe("Set with learned speeds", func() {
	It("decides exactly as without them where the engines are alike", func() {
		// Guards against changes on deployments that don't need this part.
		for seed := range uint64(5) {
			Expect(decisions(seed, endpoints.Options{})).To(Equal(decisions(seed, endpoints.Options{IgnoreSpeeds: true})))
		}
	})

	It("knows fast engines, of which the median is slow", func() {
		// The median of the paces recognises only slower engines.
		s := newEngines(44)
		now := learnMixed(s, 11)
		Expect(s.Uneven()).To(BeTrue())
		fast, slow := s.Get("e00"), s.Get("e20")
		Expect(s.UnitSeconds(fast, 0)).To(BeNumerically("~", 0.026, 1e-6))
		Expect(s.UnitSeconds(slow, 8)).To(BeNumerically("~", 0.055*(1+8*0.35/16), 1e-3))
		speeds := s.Speeds()
		Expect(speeds.Uneven).To(BeTrue())
		Expect(speeds.Median).To(BeNumerically("~", 0.055, 1e-6))
		Expect(speeds.Endpoints[0]).To(Equal(endpoints.EndpointSpeed{ID: "e00", Estimate: speed.Estimate{Seconds: 0.026, Units: 64, At: now}, Lasting: 0.026}))
		s.Options.IgnoreSpeeds = true
		Expect(s.Uneven()).To(BeFalse())
		Expect(s.UnitSeconds(fast, 0)).To(BeNumerically("~", 0.026, 1e-6), "by the pace")
	})

	It("is not confused by an engine that restarts or is removed", func() {
		s := newEngines(4)
		now := learnMixed(s, 1)
		Expect(s.Uneven()).To(BeTrue())
		removed := s.Get("e00")
		restarted := removed.Endpoint
		restarted.StartedAtMillis++
		s.Put(restarted)
		Expect(s.Speeds().Endpoints[0].Estimate).To(Equal(speed.Estimate{Seconds: 0.055}), "the median")
		for i := range 4 {
			removed.ObserveSpeed(now.Add(time.Duration(i-3)*time.Second), 0.026, 16, 0)
		}
		Expect(s.SpeedReports(now, 10)).To(HaveLen(3), "a run that ends after the restart shows nothing")
		Expect(s.Uneven()).To(BeFalse(), "no fast engine is left")
	})

	It("observes whole requests at a plain service and finds a slow endpoint with the second", func() {
		s := endpoints.NewSet("self")
		s.Put(deployment.Endpoint{ID: "p", Service: "score", Slots: 6})
		p, now := s.Get("p"), start
		request := func(took time.Duration) {
			now = now.Add(300 * time.Millisecond)
			p.InFlight++
			p.End(now, endpoints.Answered, took, 1)
		}
		for range 20 {
			request(20 * time.Millisecond)
		}
		Expect(s.UnitSeconds(p, 0)).To(BeNumerically("~", 0.02, 1e-6))
		request(120 * time.Millisecond)
		request(120 * time.Millisecond)
		Expect(s.UnitSeconds(p, 0)).To(BeNumerically("~", 0.12, 1e-6))
		Expect(s.TakeSpeedChanges()).To(HaveLen(1))
	})

	Describe("probes", func() {
		spare := endpoints.Placement{RemainingWork: 20}
		pick := func(s *endpoints.Set, now time.Time, p endpoints.Placement) *endpoints.State {
			return s.Pick(endpoints.Request{Now: now, Model: "m", RequireFreeSlot: true, Placement: p})
		}
		// useAllBut has all engines but one observed later.
		useAllBut := func(s *endpoints.Set, id string, now time.Time) {
			for _, e := range s.All() {
				if e.ID != id {
					e.ObserveSpeed(now, s.UnitSeconds(e, 0), 8, 0)
				}
			}
		}

		It("an engine that was not used for 10 s, with one request that nothing waits for", func() {
			// An engine that was slow would get no requests, and its recovery would not be found.
			s := newEngines(8)
			learnedAt := learnMixed(s, 2)
			s.Get("e05").ObserveSpeed(learnedAt, 0.33, 8, 0)
			now := learnedAt.Add(11 * time.Second)
			useAllBut(s, "e05", now)
			critical := endpoints.Placement{RemainingWork: 100, Weight: 1, Critical: true}
			for range 5 {
				Expect(pick(s, now, critical).ID).NotTo(Equal("e05"))
			}
			Expect(pick(s, now, endpoints.Placement{RemainingWork: 3}).ID).NotTo(Equal("e05"), "too short to be measured")
			unusable := s.Get("e05").Endpoint
			unusable.Leaving = true
			s.Put(unusable)
			Expect(pick(s, now, spare).ID).NotTo(Equal("e05"))
			unusable.Leaving = false
			s.Put(unusable)
			Expect(pick(s, now, spare).ID).To(Equal("e05"))
			s.Get("e05").End(now, endpoints.Answered, time.Second, 5)
			for range 5 {
				Expect(pick(s, now, spare).ID).NotTo(Equal("e05"), "one request in 10 s")
			}
		})

		It("an engine that has become slow, also where the others are alike", func() {
			s := newEngines(8)
			now := learnMixed(s, 0)
			s.Get("e05").ObserveSpeed(now, 0.33, 8, 0)
			s.Get("e05").ObservePace(0.33)
			useAllBut(s, "e05", now.Add(11*time.Second))
			Expect(pick(s, now.Add(5*time.Second), spare).ID).NotTo(Equal("e05"))
			Expect(pick(s, now.Add(11*time.Second), spare).ID).To(Equal("e05"))
		})
	})
})
