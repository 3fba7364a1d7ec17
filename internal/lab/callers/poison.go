package callers

import (
	"fmt"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	poisonScheduleCount    = 2000
	poisonEntries          = 3
	poisonEndpoints        = 8
	slotsPerPoisonEndpoint = 4
	poisonPeriod           = 4 * time.Second // a schedule ends one second later
	innocentRate           = 250             // innocent requests per second
	popularFingerprints    = 20              // number of fingerprints of half of the innocent requests
	submissionsPerPoison   = 6               // submissions of each poison request by its caller
	poisonService          = "tone"
)

// poisonScenario holds the parameters of schedules.
type poisonScenario struct {
	minInterval, maxInterval time.Duration // between two submissions of a poison request
	unrelatedCrashShare      float64       // share of schedules in which an endpoint crashes by itself
	disabled                 poisonSafeguard
}

// poisonSafeguard is a safeguard that a schedule can run without, to show that the
// checks detect the violations that follow.
type poisonSafeguard int

const (
	noPoisonSafeguard      poisonSafeguard = iota // every safeguard is enabled
	suspicionAndQuarantine                        // suspects run alone, and quarantined requests do not run
	copyPlacement                                 // copies of a request that was never answered follow its first copy
	allPlacement                                  // copyPlacement, and a suspect that crashed two endpoints runs only on these
)

// In slowResends the caller sends a poison request again after the crash is known, in
// quickResends also before. In unrelatedCrashes an endpoint crashes by itself in every
// schedule.
var (
	slowResends      = poisonScenario{minInterval: 100 * time.Millisecond, maxInterval: 600 * time.Millisecond, unrelatedCrashShare: 0.2}
	quickResends     = poisonScenario{minInterval: 20 * time.Millisecond, maxInterval: 400 * time.Millisecond, unrelatedCrashShare: 0.2}
	unrelatedCrashes = poisonScenario{minInterval: 100 * time.Millisecond, maxInterval: 600 * time.Millisecond, unrelatedCrashShare: 1}
)

func (s poisonScenario) without(safeguard poisonSafeguard) poisonScenario {
	s.disabled = safeguard
	return s
}

// poisonWorld simulates one schedule: entries with a registry each, and endpoints that
// crash when they run a poison request and in some schedules by themselves.
type poisonWorld struct {
	clock               *clock
	entries             []*poisonEntry
	endpoints           []*poisonEndpoint
	scenario            poisonScenario
	lastInnocent        uint64
	crashedEndpoints    map[uint64]map[int]bool // endpoints that a request crashed, by poison fingerprint
	quarantinedInnocent map[uint64]bool         // innocent fingerprints in quarantine at the end
	quarantinedPoison   map[uint64]bool         // poison fingerprints in quarantine at the end
	crashes             int                     // crashes of endpoints by poison requests
	innocentDelays      []float64               // seconds until an innocent request was answered
	givenUp             int                     // innocent requests that were not answered
}

// firstPoisonFingerprint is the lowest fingerprint of a poison request.
const firstPoisonFingerprint = 1 << 40

// runPoisonSchedule simulates the schedule of a seed.
func runPoisonSchedule(seed uint64, scenario poisonScenario) *poisonWorld {
	w := &poisonWorld{
		clock:               newClock(seed),
		scenario:            scenario,
		crashedEndpoints:    map[uint64]map[int]bool{},
		quarantinedInnocent: map[uint64]bool{},
		quarantinedPoison:   map[uint64]bool{},
	}
	for i := range poisonEntries {
		name := fmt.Sprintf("entry-%d", i)
		w.entries = append(w.entries, &poisonEntry{world: w, name: name, registry: poison.New(poison.DefaultConfig(), name), lastArrival: map[string]time.Time{}})
	}
	for i := range poisonEndpoints {
		w.endpoints = append(w.endpoints, &poisonEndpoint{world: w, number: i, up: true})
	}
	w.clock.after(0, w.arrive)
	if w.clock.chance(scenario.unrelatedCrashShare) {
		w.clock.after(w.clock.between(0, poisonPeriod), func() { w.randomEndpoint().crash() })
	}
	for i := range 1 + w.clock.random.IntN(2) {
		w.schedulePoisonCaller(firstPoisonFingerprint + uint64(i))
	}
	w.clock.runUntil(w.clock.now.Add(poisonPeriod + time.Second))
	w.collectQuarantined()
	return w
}

// collectQuarantined records which fingerprints are in quarantine at any entry.
func (w *poisonWorld) collectQuarantined() {
	for _, e := range w.entries {
		for _, q := range e.registry.List(w.clock.now) {
			if q.Fingerprint < firstPoisonFingerprint {
				w.quarantinedInnocent[q.Fingerprint] = true
			} else {
				w.quarantinedPoison[q.Fingerprint] = true
			}
		}
	}
}

func (w *poisonWorld) randomEntry() *poisonEntry {
	return w.entries[w.clock.random.IntN(len(w.entries))]
}

func (w *poisonWorld) randomEndpoint() *poisonEndpoint {
	return w.endpoints[w.clock.random.IntN(len(w.endpoints))]
}

// arrive submits an innocent request and schedules the next one. Half of them share a
// few popular fingerprints.
func (w *poisonWorld) arrive() {
	w.lastInnocent++
	fingerprint := w.lastInnocent + 1000
	if w.clock.chance(0.5) {
		fingerprint = 1 + w.clock.random.Uint64N(popularFingerprints)
	}
	w.randomEntry().tryRun(&poisonCall{fingerprint: fingerprint, arrivedAt: w.clock.now})
	gap := time.Duration(w.clock.random.ExpFloat64() / innocentRate * float64(time.Second))
	w.clock.after(gap, w.arrive)
}

// schedulePoisonCaller adds a caller that submits a poison request repeatedly under new
// request IDs, through random entries and sometimes twice at once.
func (w *poisonWorld) schedulePoisonCaller(fingerprint uint64) {
	at := w.clock.between(0, poisonPeriod/2)
	for range submissionsPerPoison {
		copies := 1
		if w.clock.chance(0.2) {
			copies = 2
		}
		w.clock.after(at, func() {
			for range copies {
				w.randomEntry().tryRun(&poisonCall{fingerprint: fingerprint})
			}
		})
		at += w.clock.between(w.scenario.minInterval, w.scenario.maxInterval)
	}
}

// maxCrashedEndpoints returns the largest number of endpoints that one poison request
// crashed.
func (w *poisonWorld) maxCrashedEndpoints() int {
	most := 0
	for _, endpoints := range w.crashedEndpoints {
		most = max(most, len(endpoints))
	}
	return most
}

// poisonTotals adds up the results of schedules.
type poisonTotals struct {
	mu                  sync.Mutex
	maxCrashedEndpoints int // largest number of endpoints that one poison request crashed
	quarantinedInnocent int // innocent requests in quarantine at the end
	poisonRequests      int // poison requests that crashed an endpoint
	quarantinedPoison   int // poison requests in quarantine at the end
	crashes             int // crashes of endpoints by poison requests
	givenUp             int // innocent requests that were not answered
	innocentDelays      []float64
}

func (t *poisonTotals) add(w *poisonWorld) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxCrashedEndpoints = max(t.maxCrashedEndpoints, w.maxCrashedEndpoints())
	t.quarantinedInnocent += len(w.quarantinedInnocent)
	t.poisonRequests += len(w.crashedEndpoints)
	t.quarantinedPoison += len(w.quarantinedPoison)
	t.crashes += w.crashes
	t.givenUp += w.givenUp
	t.innocentDelays = append(t.innocentDelays, w.innocentDelays...)
}

// runPoisonSchedules simulates the schedules with the seeds 1 to count and returns
// their totals.
func runPoisonSchedules(count int, scenario poisonScenario) (*poisonTotals, error) {
	totals := &poisonTotals{}
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for seed := range uint64(count) {
		group.Go(func() error {
			totals.add(runPoisonSchedule(seed+1, scenario))
			return nil
		})
	}
	return totals, group.Wait()
}

// poisonEndpoint simulates an engine with its agent, which runs suspects alone.
type poisonEndpoint struct {
	world       *poisonWorld
	number      int
	up          bool
	incarnation int
	running     []*poisonRun
	alone       bool         // a suspect runs
	queue       []*poisonRun // in the order of arrival
}

// poisonRun is one copy of a request at one endpoint.
type poisonRun struct {
	call  *poisonCall
	alone bool
	onEnd func(crashed bool, batch int)
}

// enqueue adds a copy to the queue. It returns false if the endpoint is down or its
// queue is full.
func (p *poisonEndpoint) enqueue(r *poisonRun) bool {
	if !p.up || len(p.queue) > 2*slotsPerPoisonEndpoint {
		return false
	}
	p.queue = append(p.queue, r)
	p.startQueued()
	return true
}

// startQueued starts as many queued copies as the slots allow. A suspect starts only
// if no other copy runs, and none starts beside it.
func (p *poisonEndpoint) startQueued() {
	for len(p.queue) > 0 && !p.alone && len(p.running) < slotsPerPoisonEndpoint {
		next := p.queue[0]
		if next.alone && len(p.running) > 0 {
			return
		}
		p.queue = p.queue[1:]
		p.alone = next.alone
		p.run(next)
	}
}

func (p *poisonEndpoint) run(r *poisonRun) {
	p.running = append(p.running, r)
	incarnation := p.incarnation
	runTime := p.world.clock.between(5*time.Millisecond, 30*time.Millisecond)
	p.world.clock.after(runTime, func() {
		if p.incarnation != incarnation {
			return
		}
		if r.call.fingerprint >= firstPoisonFingerprint {
			p.world.recordCrash(r.call.fingerprint, p.number)
			p.crash()
			return
		}
		p.finish(r)
	})
}

func (p *poisonEndpoint) finish(r *poisonRun) {
	for i, other := range p.running {
		if other == r {
			p.running = append(p.running[:i], p.running[i+1:]...)
			break
		}
	}
	p.alone = false
	r.onEnd(false, 0)
	p.startQueued()
}

// crash ends the copies that run or are queued. Only those that ran get a batch size,
// the number of different requests among them.
func (p *poisonEndpoint) crash() {
	if !p.up {
		return
	}
	running, queued := p.running, p.queue
	p.running, p.queue = nil, nil
	p.up, p.alone = false, false
	p.incarnation++
	fingerprints := map[uint64]bool{}
	for _, r := range running {
		fingerprints[r.call.fingerprint] = true
	}
	for _, r := range running {
		r.onEnd(true, len(fingerprints))
	}
	for _, r := range queued {
		r.onEnd(true, 0)
	}
	p.world.clock.after(p.world.clock.between(200*time.Millisecond, time.Second), func() { p.up = true })
}

func (w *poisonWorld) recordCrash(fingerprint uint64, endpoint int) {
	w.crashes++
	if w.crashedEndpoints[fingerprint] == nil {
		w.crashedEndpoints[fingerprint] = map[int]bool{}
	}
	w.crashedEndpoints[fingerprint][endpoint] = true
}

func endpointName(number int) string {
	return fmt.Sprintf("endpoint-%d", number)
}

func suspicionOf(c *poisonCall, p *poisonEndpoint, batch int, now time.Time) wire.Suspicion {
	return wire.Suspicion{
		Fingerprint: c.fingerprint,
		Service:     poisonService,
		Endpoint:    endpointName(p.number),
		Batch:       batch,
		UnixMilli:   now.UnixMilli(),
		Crash:       int64(p.incarnation),
	}
}
