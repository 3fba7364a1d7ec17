package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/policy/admission"
	"siskinloom.example/siskinloom/internal/policy/choose"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
	"siskinloom.example/siskinloom/internal/settings"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	seed              = 20261202
	engines           = 6
	slots             = 4
	entries           = 3
	queueLimit        = 400
	meanService       = 0.05 // seconds
	serviceSpread     = 0.4  // sigma of the logarithm of service times
	heartbeatInterval = settings.DefaultHeartbeatInterval
)

// capacity is the number of requests per second that the fleet can serve.
const capacity = engines * slots / meanService

func admissionDefaults() admission.Config {
	return admission.Config{Slots: slots, QueueLimit: queueLimit}
}

// fleet is a small fleet of entries and engines.
type fleet struct {
	clock   *clock
	rng     *rand.Rand
	engines []engine
	entries []*entry
	serial  int
	onSent  func(engine int)
}

// entry selects engines by the choose package, or round robin for the baseline.
type entry struct {
	fleet      *fleet
	chooser    *choose.Chooser
	candidates []*choose.Candidate
	nextTurn   int
	baseline   bool
}

// newFleet returns a fleet with the real policies or, for the baseline, with round
// robin and FIFO queues.
func newFleet(baseline bool, cfg admission.Config, salt uint64) *fleet {
	f := &fleet{clock: newClock(), rng: rand.New(rand.NewPCG(seed, salt)), onSent: func(int) {}}
	for range engines {
		if baseline {
			f.engines = append(f.engines, newFIFOEngine(f.clock, cfg.Slots))
		} else {
			f.engines = append(f.engines, newFairEngine(f.clock, cfg))
		}
	}
	for i := range entries {
		f.entries = append(f.entries, f.newEntry(i, baseline))
	}
	return f
}

func (f *fleet) newEntry(i int, baseline bool) *entry {
	e := &entry{fleet: f, baseline: baseline, chooser: choose.New(rand.New(rand.NewPCG(seed, uint64(100+i))))}
	for j := range f.engines {
		id := fmt.Sprint("agent-", j)
		e.candidates = append(e.candidates, &choose.Candidate{ID: id, Key: rendezvous.Key(id), Ready: true})
	}
	// The entries send their heartbeats at different times.
	first := heartbeatInterval * time.Duration(i) / entries
	f.clock.after(first, func() {
		e.sendHeartbeats()
		f.clock.every(heartbeatInterval, e.sendHeartbeats)
	})
	return e
}

func (e *entry) sendHeartbeats() {
	for j, c := range e.candidates {
		f := e.fleet
		f.clock.after(networkDelay, func() {
			load := f.engines[j].load()
			f.clock.after(networkDelay, func() { c.SetLoad(f.clock.now, load) })
		})
	}
}

// send sends the request to an engine and calls done with its outcome when the entry
// receives it.
func (e *entry) send(r *request, done func(wire.Outcome)) {
	business := r.item.Principal.Business
	j := e.pick(business)
	if j < 0 {
		done(wire.NotRun)
		return
	}
	f, c := e.fleet, e.candidates[j]
	f.onSent(j)
	c.InFlight++
	c.InFlightCounts.Add(business, 1)
	r.end = func(outcome wire.Outcome) {
		load := f.engines[j].load()
		f.clock.after(networkDelay, func() {
			c.InFlight--
			c.InFlightCounts.Add(business, -1)
			c.SetLoad(f.clock.now, load)
			done(outcome)
		})
	}
	f.clock.after(networkDelay, func() { f.engines[j].offer(r) })
}

func (e *entry) pick(business string) int {
	if e.baseline {
		e.nextTurn++
		return e.nextTurn % len(e.candidates)
	}
	c := e.chooser.Choose(choose.Request{Now: e.fleet.clock.now, Business: business}, e.candidates)
	for j, other := range e.candidates {
		if other == c {
			return j
		}
	}
	return -1
}

// stream describes an open-loop stream of requests.
type stream struct {
	principal wire.Principal
	class     string
	perSecond float64
	deadline  time.Duration
	claim     float64 // claimed cost over the true mean; 0: 1
	priority  int
}

// tally counts the outcomes of a stream's requests.
type tally struct {
	sent   int
	onTime int
	late   int
	notRun int
}

// share returns the share of the sent requests that were answered on time.
func (t *tally) share() float64 { return float64(t.onTime) / float64(max(t.sent, 1)) }

// startStream sends the requests of a stream at random times until the end.
func (f *fleet) startStream(s stream, end time.Duration) *tally {
	t := &tally{}
	var next func()
	next = func() {
		if f.clock.elapsed() >= end {
			return
		}
		f.sendOne(s, t)
		f.clock.after(f.randomInterval(s.perSecond), next)
	}
	f.clock.after(f.randomInterval(s.perSecond), next)
	return t
}

// randomInterval returns a random interval between two requests.
func (f *fleet) randomInterval(perSecond float64) time.Duration {
	return time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second))
}

func (f *fleet) sendOne(s stream, t *tally) {
	f.serial++
	claim := s.claim
	if claim == 0 {
		claim = 1
	}
	deadline := f.clock.now.Add(s.deadline)
	r := &request{
		class:   s.class,
		service: f.serviceTime(),
		item: admission.Item{
			ID:        fmt.Sprint(f.serial),
			Principal: s.principal,
			Priority:  s.priority,
			Deadline:  deadline,
			Cost:      meanService * claim,
		},
	}
	t.sent++
	f.entries[f.rng.IntN(len(f.entries))].send(r, func(outcome wire.Outcome) {
		switch {
		case outcome != wire.Answered:
			t.notRun++
		case f.clock.now.After(deadline):
			t.late++
		default:
			t.onTime++
		}
	})
}

// serviceTime returns a random service time in seconds, log-normal with mean
// meanService.
func (f *fleet) serviceTime() float64 {
	mu := math.Log(meanService) - serviceSpread*serviceSpread/2
	return math.Exp(mu + serviceSpread*f.rng.NormFloat64())
}

// fillWithRollouts keeps n rollouts running or queued, each of 5 to 20 s.
func (f *fleet) fillWithRollouts(n int) {
	for range n {
		f.clock.after(time.Duration(f.rng.Float64()*float64(time.Second)), f.rollout)
	}
}

func (f *fleet) rollout() {
	f.serial++
	duration := 5 + 15*f.rng.Float64()
	r := &request{
		class:   "rollout",
		service: duration,
		item: admission.Item{
			ID:        fmt.Sprint("rollout-", f.serial),
			Principal: wire.Principal{Business: "trainer"},
			Cost:      duration,
			Rollout:   true,
		},
	}
	f.entries[f.rng.IntN(len(f.entries))].send(r, func(wire.Outcome) {
		f.clock.after(networkDelay, f.rollout)
	})
}
