package gate_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/gate"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/upstream"
	"siskinloom.example/siskinloom/internal/deployment"
)

// The replays run 17 entries in front of 3 endpoints with 6 slots each in virtual time, which
// ginkgo's specs can't do: synctest needs a *testing.T.

const (
	replayEntries   = 17
	replayCustomers = 71
	replayDuration  = 10 * time.Second
	networkLatency  = 900 * time.Microsecond
	lookupSeconds   = 0.025
	// noisySeconds is the mean duration of a lookup: 15 % take 2.5 times as long and 1 % five times.
	noisySeconds = lookupSeconds * (0.84 + 0.15*2.5 + 0.01*5)
)

// load is one load to replay.
type load struct {
	perSecond float64                       // all customers together
	share     func(customer int) float64    // of the requests, relative to other customers
	down      func(at time.Duration) int    // endpoints that do not answer; nil: none
	slowdown  func(endpoint string) float64 // nil: only noise
	off       []mechanism.Mechanism
	timeout   time.Duration
	duration  time.Duration // 0: replayDuration
}

// outcomes counts what became of the requests.
type outcomes struct {
	mu        sync.Mutex
	sent      map[int]int // by customer
	served    map[int]int
	latencies []time.Duration
	untrue    int // refused or cancelled as not run, but run
	waited    int // requests that were granted a slot only after they had waited
	lowest    int // lowest learned limit seen
}

// ratio returns the share of a customer's requests that was answered.
func (o *outcomes) ratio(customers ...int) float64 {
	sent, served := 0, 0
	for _, c := range customers {
		sent, served = sent+o.sent[c], served+o.served[c]
	}
	return float64(served) / float64(sent)
}

func (o *outcomes) percentile(p float64) time.Duration {
	slices.Sort(o.latencies)
	return o.latencies[int(p*float64(len(o.latencies)-1))]
}

// replayService is the endpoints as all entries see them.
type replayService struct {
	slotEndpoints
	load  load
	began time.Time
	rngMu sync.Mutex
	rng   *rand.Rand
	ran   map[string]bool
}

// Send implements dispatch.Sender.
func (s *replayService) Send(ctx context.Context, e *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	time.Sleep(networkLatency)
	if s.load.down != nil && int(e.ID[0]-'a') < s.load.down(time.Since(s.began)) {
		return nil, &upstream.SendError{Err: context.DeadlineExceeded}
	}
	answer, err := s.slotEndpoints.Send(ctx, e, r)
	time.Sleep(networkLatency)
	if err == nil && !answer.NotRun {
		s.rngMu.Lock()
		s.ran[r.ID] = true
		s.rngMu.Unlock()
	}
	return answer, err
}

// duration draws how long a lookup takes.
func (s *replayService) duration(endpoint string) time.Duration {
	s.rngMu.Lock()
	defer s.rngMu.Unlock()
	factor := 1.0
	if draw := s.rng.Float64(); draw < 0.01 {
		factor = 5
	} else if draw < 0.16 {
		factor = 2.5
	}
	if s.load.slowdown != nil {
		factor *= s.load.slowdown(endpoint)
	}
	return time.Duration(factor * lookupSeconds * float64(time.Second))
}

// replay sends a load through all entries.
func replay(t *testing.T, l load) *outcomes {
	metrics.NewMeter().Stop() // starts the package's goroutine outside of the bubble
	o := &outcomes{sent: map[int]int{}, served: map[int]int{}, lowest: math.MaxInt}
	synctest.Test(t, func(*testing.T) {
		s := &replayService{load: l, began: time.Now(), rng: rand.New(rand.NewPCG(1, 2)), ran: map[string]bool{}}
		s.slots, s.takes = 6, s.duration
		var group sync.WaitGroup
		for entry := range replayEntries {
			group.Add(1)
			go func() {
				defer group.Done()
				s.replayEntry(entry, o)
			}()
		}
		group.Wait()
		time.Sleep(time.Minute) // for attempts that lost to a hedge
	})
	return o
}

// replayEntry sends the requests of one entry.
func (s *replayService) replayEntry(entry int, o *outcomes) {
	d := directory.New(fmt.Sprint("entry", entry), "", nil)
	for _, id := range []string{"a", "b", "c"} {
		d.Put(deployment.Endpoint{ID: id, Service: "app", Address: "x:1", Slots: 6})
	}
	r := route(deployment.Idempotent)
	r.Objective, r.Timeout = 150*time.Millisecond, 30*time.Second
	d.Declare(&deployment.Declaration{Version: 1, RequireKeys: true, Routes: []deployment.Route{*r}})
	registry := metrics.NewRegistry()
	g := gate.New(d, s, quietLog(), registry)
	g.Switches = &mechanism.Switches{}
	g.Switches.SetDisabled(s.load.off)
	rng := rand.New(rand.NewPCG(uint64(entry), 3))
	total := 0.0
	for c := range replayCustomers {
		total += s.load.share(c)
	}
	var group sync.WaitGroup
	for n := 0; ; n++ {
		time.Sleep(time.Duration(rng.ExpFloat64() * replayEntries / s.load.perSecond * float64(time.Second)))
		if time.Since(s.began) > max(replayDuration, s.load.duration) {
			break
		}
		customer, draw := 0, rng.Float64()*total
		for draw -= s.load.share(0); draw > 0 && customer < replayCustomers-1; draw -= s.load.share(customer) {
			customer++
		}
		group.Add(1)
		go func() {
			defer group.Done()
			s.replayRequest(g, r, o, customer, fmt.Sprint(entry, "-", n))
		}()
	}
	group.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, status := range g.QueueStatus() {
		o.lowest = min(o.lowest, status.Learned)
		o.waited += int(metrics.GetOrRegisterTimer("admission.app.wait", registry).Count())
	}
}

func (s *replayService) replayRequest(g *gate.Gate, route *deployment.Route, o *outcomes, customer int, id string) {
	r := from(fmt.Sprint("customer", customer), id)
	r.Timeout = s.load.timeout
	outcome := g.Serve(context.Background(), route, r)
	s.rngMu.Lock()
	ran := s.ran[id]
	s.rngMu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent[customer]++
	switch outcome.End {
	case gate.Answered:
		o.served[customer]++
		o.latencies = append(o.latencies, time.Since(r.Arrived))
	case gate.Refused:
		if ran {
			o.untrue++
		}
	}
}

func equalShares(int) float64 { return 1 }

// oneDown has one of three endpoints down from 1 s on.
func oneDown(at time.Duration) int {
	if at > time.Second {
		return 1
	}
	return 0
}

// greedy is a load that fills .4 of the slots, of which customer 0 sends .15, and then
// sends twelve times as much while one of three endpoints is down.
func greedy(off ...mechanism.Mechanism) load {
	const normal = 0.4 * 18 / noisySeconds
	const large = 0.15
	return load{
		perSecond: normal * (1 - large + 12*large), timeout: 800 * time.Millisecond, down: oneDown, off: off,
		share: func(c int) float64 {
			if c == 0 {
				return 12 * large
			}
			return (1 - large) / (replayCustomers - 1)
		},
	}
}

// worst returns the lowest ratio of a customer but the first to that of all but the first.
func (o *outcomes) worst() (lowest, all float64) {
	var others []int
	for c := 1; c < replayCustomers; c++ {
		others = append(others, c)
	}
	all, lowest = o.ratio(others...), math.Inf(1)
	for _, c := range others {
		lowest = min(lowest, o.ratio(c)/all)
	}
	return lowest, all
}

func TestReplayOfAGreedyCustomer(t *testing.T) {
	// Without queues, all customers fare alike: each loses what the greedy one sends too much.
	g := NewWithT(t)
	before := replay(t, greedy(mechanism.Admission))
	l := greedy()
	l.duration = 30 * time.Second // some 80 requests of each customer, so that chance does not decide
	after := replay(t, l)
	_, all := before.worst()
	g.Expect(all).To(BeNumerically("<", 0.7))
	lowest, all := after.worst()
	g.Expect(all).To(BeNumerically(">", 0.95))
	g.Expect(lowest).To(BeNumerically(">", 0.9))
	g.Expect(after.ratio(0)).To(BeNumerically(">", 0.4), "the greedy customer gets what the others leave")
	g.Expect(after.untrue).To(BeZero())
	t.Logf("others served %.3f, of them lowest %.3f, greedy %.3f, p99 %v", all, lowest, after.ratio(0), after.percentile(0.99))
}

func TestReplayOfOrdinaryLoad(t *testing.T) {
	// The limit must not shrink on noise: then requests would wait that are served at once today.
	g := NewWithT(t)
	o := replay(t, load{perSecond: 12, share: equalShares, timeout: 800 * time.Millisecond, duration: 30 * time.Minute})
	g.Expect(o.ratio(everyone()...)).To(Equal(1.0))
	g.Expect(o.waited).To(BeZero())
	g.Expect(o.lowest).To(Equal(18))
}

func TestReplayOfTwelveTimesTheLookupsWithOneEndpointDown(t *testing.T) {
	g := NewWithT(t)
	l := load{perSecond: 144, share: equalShares, timeout: 800 * time.Millisecond, down: oneDown}
	after := replay(t, l)
	l.off = []mechanism.Mechanism{mechanism.Admission}
	before := replay(t, l)
	g.Expect(after.ratio(everyone()...)).To(And(Equal(1.0), BeNumerically(">=", before.ratio(everyone()...))))
	g.Expect(after.percentile(0.99)).To(BeNumerically("<", 150*time.Millisecond))
	t.Logf("served %.4f instead of %.4f, p99 %v instead of %v", after.ratio(everyone()...), before.ratio(everyone()...), after.percentile(0.99), before.percentile(0.99))
}

func TestReplayOfTwoSlowEndpoints(t *testing.T) {
	// Slow requests say nothing about the concurrency of a process that sends two per second.
	g := NewWithT(t)
	l := load{perSecond: 24, share: equalShares, timeout: 800 * time.Millisecond, slowdown: func(endpoint string) float64 {
		if endpoint < "c" {
			return 8
		}
		return 1
	}}
	after := replay(t, l)
	l.off = []mechanism.Mechanism{mechanism.Admission}
	before := replay(t, l)
	g.Expect(after.ratio(everyone()...)).To(Equal(1.0))
	g.Expect(after.waited).To(BeZero())
	g.Expect(after.percentile(0.99)).To(BeNumerically("<", before.percentile(0.99)), "a customer's retries are its own")
	t.Logf("p99 %v instead of %v", after.percentile(0.99), before.percentile(0.99))
}

func everyone() []int {
	list := make([]int, replayCustomers)
	for i := range list {
		list[i] = i
	}
	return list
}
