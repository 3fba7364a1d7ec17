// Package quarantine measures, in virtual time, how many endpoints end under a request that
// crashes each of them, and how many other requests are refused for it. Many processes share the
// endpoints, and none knows what else runs at one. The decisions are those of package
// policy/poison; reports reach other processes with a delay.
package quarantine

import (
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/lab/timeline"
	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// contactTime is the time after which every process in contact with the store must know of
	// an end.
	contactTime = 3 * time.Second
	// callerRetries is how often a caller sends a request again that was not answered.
	callerRetries = 1
	// maxAttempts is the number of endpoints to which a process sends one request.
	maxAttempts = 4
	// hedgeDelay is the delay after which a second endpoint is asked as well.
	hedgeDelay = 60 * time.Millisecond
	// restartMin and restartSpread are the time that an endpoint takes to be back.
	restartMin    = 2 * time.Second
	restartSpread = 3 * time.Second
	// poisonRequest is the fingerprint of the request that crashes endpoints.
	poisonRequest = 1
)

// scenario is the load of a schedule and its faults.
type scenario struct {
	entries, endpoints int
	duration           time.Duration
	requestsPerSecond  float64       // of innocent requests, by all entries together
	popularShare       float64       // share of them with one of popularRequests contents
	meanLife           time.Duration // of an endpoint until it ends for another reason; 0: it doesn't
	massEndAt          time.Duration // when half of the endpoints end at once; 0: never
	poison             bool          // whether the poison request is sent
	unlimited          bool          // every request is admitted
}

// popularRequests is the number of contents that many callers send.
const popularRequests = 5

// endpoint is one endpoint with the attempts that run there.
type endpoint struct {
	id       int
	run      int64 // incarnation
	up       bool
	attempts map[*attempt]bool
}

// entry is one process.
type entry struct {
	registry *poison.Registry
	reports  map[uint64][]wire.Suspicion // that count, by fingerprint
}

// attempt is a request at one endpoint.
type attempt struct {
	try *try
	at  *endpoint
}

// try is one request of a caller at one entry.
type try struct {
	number      int
	entry       *entry
	fingerprint uint64
	retries     int // that its caller has left
	tried       int
	inFlight    int
	done        bool
}

// model is one schedule.
type model struct {
	scenario
	t         *timeline.Timeline
	random    *rand.Rand
	list      []*endpoint
	processes []*entry

	innocent     int       // innocent requests of callers
	refused      int       // tries of theirs that were refused as quarantined
	poisonEnds   int       // endpoints that ended under the poison request
	third        time.Time // when the third one did
	lateRuns     int       // runs of the poison request later than contactTime after that
	nextInnocent uint64
	tries        int
}

func newModel(s scenario, seed uint64) *model {
	m := &model{scenario: s, t: timeline.New(), random: rand.New(rand.NewPCG(seed, 11)), nextInnocent: 100}
	for i := range s.endpoints {
		e := &endpoint{id: i, run: 1, up: true, attempts: map[*attempt]bool{}}
		m.list = append(m.list, e)
		m.scheduleEnd(e)
	}
	for range s.entries {
		m.processes = append(m.processes, &entry{registry: poison.New(poison.SharedConfig(), ""), reports: map[uint64][]wire.Suspicion{}})
	}
	return m
}

// run plays the schedule.
func (m *model) run() {
	m.sendInnocent()
	if m.poison {
		m.t.After(m.between(time.Second, 3*time.Second), m.sendPoison)
	}
	if m.massEndAt > 0 {
		m.t.After(m.massEndAt, m.endHalf)
	}
	m.t.Run(m.duration, func() bool { return false })
}

func (m *model) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.random.Int64N(int64(high-low)))
}

func (m *model) sendInnocent() {
	m.innocent++
	fingerprint := m.nextInnocent
	if m.random.Float64() < m.popularShare {
		fingerprint = 10 + m.random.Uint64N(popularRequests)
	} else {
		m.nextInnocent++
	}
	m.send(fingerprint, callerRetries)
	m.t.After(time.Duration(m.random.ExpFloat64()*float64(time.Second)/m.requestsPerSecond), m.sendInnocent)
}

// sendPoison sends the poison request, at times twice at once, and again some time later.
func (m *model) sendPoison() {
	m.send(poisonRequest, callerRetries)
	if m.random.IntN(5) == 0 {
		m.send(poisonRequest, callerRetries)
	}
	m.t.After(m.between(200*time.Millisecond, time.Second), m.sendPoison)
}

// send sends a caller's request to a random entry.
func (m *model) send(fingerprint uint64, retries int) {
	m.tries++
	t := &try{number: m.tries, entry: m.processes[m.random.IntN(len(m.processes))], fingerprint: fingerprint, retries: retries}
	if !m.admits(t) {
		m.refuse(t)
		return
	}
	m.start(t)
	m.hedge(t)
}

// admits reports whether the entry may send one more copy of the request.
func (m *model) admits(t *try) bool {
	return m.unlimited || t.entry.registry.Admits(m.t.Now(), poison.ID{Fingerprint: t.fingerprint}, t.inFlight)
}

// refuse ends a try that the quarantine doesn't admit.
func (m *model) refuse(t *try) {
	if t.fingerprint != poisonRequest {
		m.refused++
	}
	m.end(t)
}

// end ends a try without an answer. The caller may try again.
func (m *model) end(t *try) {
	if t.done {
		return
	}
	t.done = true
	if t.retries > 0 {
		m.t.After(m.between(10*time.Millisecond, 100*time.Millisecond), func() { m.send(t.fingerprint, t.retries-1) })
	}
}

// start sends the request to one endpoint that is up, if the entry may and there is one.
func (m *model) start(t *try) {
	at := m.pick()
	if t.done || t.tried >= maxAttempts || at == nil || !m.admits(t) {
		if t.inFlight == 0 {
			m.end(t)
		}
		return
	}
	t.tried++
	t.inFlight++
	a := &attempt{try: t, at: at}
	at.attempts[a] = true
	if t.fingerprint == poisonRequest {
		m.runPoison(at)
		return
	}
	const meanWork = 25 * time.Millisecond
	m.t.After(time.Duration(m.random.ExpFloat64()*float64(meanWork)), func() { m.answer(a) })
}

// hedge sends the request to a second endpoint if the first one takes long.
func (m *model) hedge(t *try) {
	m.t.After(hedgeDelay, func() {
		if !t.done && t.inFlight > 0 {
			m.start(t)
		}
	})
}

func (m *model) pick() *endpoint {
	var up []*endpoint
	for _, e := range m.list {
		if e.up {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[m.random.IntN(len(up))]
}

// runPoison ends an endpoint some time after the poison request began to run there.
func (m *model) runPoison(at *endpoint) {
	if !m.third.IsZero() && m.t.Now().Sub(m.third) > contactTime {
		m.lateRuns++
	}
	run := at.run
	m.t.After(m.between(20*time.Millisecond, 120*time.Millisecond), func() {
		if at.up && at.run == run {
			m.poisonEnds++
			if m.poisonEnds == 3 {
				m.third = m.t.Now()
			}
			m.endEndpoint(at)
		}
	})
}

// answer ends an attempt with an answer.
func (m *model) answer(a *attempt) {
	if !a.at.attempts[a] {
		return
	}
	delete(a.at.attempts, a)
	t := a.try
	t.inFlight--
	t.done = true
	t.entry.registry.RecordAnswer(m.t.Now(), poison.ID{Fingerprint: t.fingerprint})
	m.withdraw(t.entry, t.fingerprint)
}
