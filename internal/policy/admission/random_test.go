package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/admission"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	simulations     = 400
	simulationSteps = 150
)

// simulation drives a queue through random events and records violations of its
// guarantees.
type simulation struct {
	rng        *rand.Rand
	queue      *admission.Queue
	now        time.Time
	slots      int
	items      map[string]admission.Item
	waiting    map[string]bool
	running    map[string]bool
	stopping   map[string]bool
	ran        map[string]bool
	ended      map[string]int
	violations []string
}

func newSimulation(seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 5))
	slots := 1 + rng.IntN(4)
	return &simulation{
		rng:      rng,
		queue:    admission.New(admission.Config{Slots: slots, QueueLimit: 5 + rng.IntN(20)}),
		now:      start,
		slots:    slots,
		items:    map[string]admission.Item{},
		waiting:  map[string]bool{},
		running:  map[string]bool{},
		stopping: map[string]bool{},
		ran:      map[string]bool{},
		ended:    map[string]int{},
	}
}

func (s *simulation) fail(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *simulation) apply(actions []admission.Action) {
	for _, a := range append([]admission.Action(nil), actions...) {
		switch a.Kind {
		case admission.Start:
			s.start(a.ID)
		case admission.Preempt:
			if !s.running[a.ID] || !s.items[a.ID].Rollout || s.stopping[a.ID] {
				s.fail("preempted %s, which is not a running rollout", a.ID)
			}
			s.stopping[a.ID] = true
		case admission.Refuse:
			if s.running[a.ID] {
				s.fail("refused %s while it was running", a.ID)
			}
			if a.Started != s.ran[a.ID] {
				s.fail("refusal of %s reports started %t, want %t", a.ID, a.Started, s.ran[a.ID])
			}
			s.end(a.ID)
		}
	}
}

func (s *simulation) start(id string) {
	if !s.waiting[id] {
		s.fail("started %s, which was not waiting", id)
	}
	for other := range s.running {
		if s.items[other].Suspect || s.items[id].Suspect {
			s.fail("%s runs beside %s, one of them a suspect", id, other)
		}
	}
	if len(s.running) >= s.slots {
		s.fail("%s started without a free slot", id)
	}
	delete(s.waiting, id)
	s.running[id] = true
	s.ran[id] = true
}

func (s *simulation) end(id string) {
	delete(s.waiting, id)
	delete(s.running, id)
	delete(s.stopping, id)
	s.ended[id]++
	if s.ended[id] > 1 {
		s.fail("%s ended twice", id)
	}
}

// pick returns a random member of the set, which depends on the seed only.
func (s *simulation) pick(set map[string]bool) (string, bool) {
	best, found := "", false
	for i := range len(s.items) {
		if id := fmt.Sprint(i); set[id] && (!found || s.rng.IntN(3) == 0) {
			best, found = id, true
		}
	}
	return best, found
}

func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.rng.IntN(60)) * time.Millisecond)
	switch event := s.rng.IntN(20); {
	case event < 9:
		s.offer()
	case event < 14:
		if id, found := s.pick(s.running); found {
			s.finish(id)
		}
	case event < 16:
		if id, found := s.pick(s.stopping); found {
			delete(s.running, id)
			delete(s.stopping, id)
			s.waiting[id] = true
			s.apply(s.queue.Preempted(s.now, id))
		}
	case event == 16:
		s.cancel()
	case event == 17:
		s.slots = 1 + s.rng.IntN(4)
		actions := s.queue.Configure(s.now, admission.Config{Slots: s.slots, QueueLimit: 20})
		s.apply(actions)
	default:
		s.apply(s.queue.Tick(s.now))
	}
}

// checkPreemption checks that no deadline request waits for a rollout that has not been
// asked to stop.
func (s *simulation) checkPreemption() {
	deadlineRequests, rollouts := 0, 0
	for id := range s.waiting {
		if !s.items[id].Rollout {
			deadlineRequests++
		}
	}
	for id := range s.running {
		if s.items[id].Rollout && !s.stopping[id] {
			rollouts++
		}
	}
	if rollouts > 0 && deadlineRequests > len(s.stopping) {
		s.fail("%d deadline requests wait, %d rollouts are stopping and %d are still running", deadlineRequests, len(s.stopping), rollouts)
	}
}

func (s *simulation) offer() {
	id := fmt.Sprint(len(s.items))
	it := admission.Item{
		ID:        id,
		Principal: wire.Principal{Business: fmt.Sprint(s.rng.IntN(3)), Agency: fmt.Sprint(s.rng.IntN(2)), Caller: fmt.Sprint(s.rng.IntN(2))},
		Priority:  s.rng.IntN(3),
		Cost:      s.rng.Float64() / 5,
		Rollout:   s.rng.IntN(3) == 0,
		Suspect:   s.rng.IntN(12) == 0,
	}
	if s.rng.IntN(3) > 0 {
		it.Deadline = s.now.Add(time.Duration(s.rng.IntN(1000)) * time.Millisecond)
	}
	s.items[id] = it
	s.waiting[id] = true
	s.apply(s.queue.Offer(s.now, it))
}

func (s *simulation) finish(id string) {
	s.end(id)
	s.apply(s.queue.Done(s.now, id))
}

func (s *simulation) cancel() {
	id, found := s.pick(s.waiting)
	if !found {
		return
	}
	removed, started, actions := s.queue.Cancel(s.now, id)
	if !removed || started != s.ran[id] {
		s.fail("cancelled waiting request %s: removed %t, started %t", id, removed, started)
	}
	s.end(id)
	s.apply(actions)
}

// finishAll ends all requests and checks that the queue is idle afterwards.
func (s *simulation) finishAll() {
	if s.rng.IntN(2) == 0 {
		s.apply(s.queue.Drain(s.now))
	}
	for range 10 * len(s.items) {
		s.now = s.now.Add(20 * time.Millisecond)
		s.apply(s.queue.Tick(s.now))
		if id, found := s.pick(s.running); found {
			s.finish(id)
		}
	}
	if !s.queue.Idle() || len(s.waiting)+len(s.running) > 0 {
		s.fail("not idle at the end: waiting %v, running %v, load %+v", s.waiting, s.running, s.queue.Load())
	}
	for id := range s.items {
		if s.ended[id] != 1 {
			s.fail("%s ended %d times", id, s.ended[id])
		}
	}
}

var _ = Describe("random events", func() {
	It("end every request once, run suspects alone and never report a started request as not run", func() {
		for seed := range uint64(simulations) {
			s := newSimulation(seed)
			for range simulationSteps {
				s.step()
				s.checkPreemption()
			}
			s.finishAll()
			Expect(s.violations).To(BeEmpty(), "seed %d", seed)
		}
	})
})
