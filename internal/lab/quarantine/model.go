// Package quarantine measures, in virtual time, how many endpoints end under a request that
// crashes each of them, and how many other requests are refused for it. Many processes share the
// endpoints, and none knows what else runs at one. The decisions are those of package
// policy/poison; reports reach other processes with a delay.
package quarantine

import (
	"math/rand/v2"
	"slices"
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
	// settleInterval is how often an entry looks at a decision again that may change.
	settleInterval = 10 * time.Millisecond
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
	spare              bool          // suspects are kept off the last healthy endpoints
	scoresPerSecond    float64       // scoring calls, each repeated until it is answered
	away               bool          // the store is away from awayFrom to awayUntil
	feed               bool          // reports also pass from process to process
}

// popularRequests is the number of contents that many callers send.
const popularRequests = 5

// endpoint is one endpoint with the attempts that run there.
type endpoint struct {
	id       int
	run      int64 // incarnation
	up       bool
	poisoned bool // it is down because of the poison request
	attempts map[*attempt]bool
}

// entry is one process.
type entry struct {
	registry *poison.Registry
	reports  map[uint64][]wire.Suspicion // that count, by fingerprint
	listed   map[int]int64               // incarnations that it knows, by endpoint
	ended    map[int]int64               // the newest incarnation that it knows to have ended, by endpoint
	copies   poison.Copies               // that it runs
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
	scoring     bool      // repeated until it is answered
	refused     bool      // a scoring call that was refused before
	settled     time.Time // until then, its entry waits for the decision to change
	done        bool
}

// model is one schedule.
type model struct {
	scenario
	t         *timeline.Timeline
	began     time.Time
	random    *rand.Rand
	list      []*endpoint
	processes []*entry

	innocent       int          // innocent requests of callers
	refused        int          // tries of theirs that were refused as quarantined, or held back while an endpoint was up; of a scoring call, the first
	unserved       int          // innocent requests whose last try brought no answer
	blocked        int          // refusals of innocent requests for the duration of a quarantine
	down, mostDown int          // endpoints that are down because of the poison request, now and at most
	poisonEnds     int          // endpoints that ended under the poison request
	lost           map[int]bool // of these, which did at least once
	third          time.Time    // when the third one did
	lateRuns       int          // runs of the poison request later than contactTime after that
	nextInnocent   uint64
	tries          int
}

func newModel(s scenario, seed uint64) *model {
	m := &model{scenario: s, t: timeline.New(), random: rand.New(rand.NewPCG(seed, 11)), nextInnocent: 100, lost: map[int]bool{}}
	m.began = m.t.Now()
	for i := range s.endpoints {
		e := &endpoint{id: i, run: 1, up: true, attempts: map[*attempt]bool{}}
		m.list = append(m.list, e)
		m.scheduleEnd(e)
	}
	for range s.entries {
		m.processes = append(m.processes, m.newEntry())
	}
	return m
}

// run plays the schedule.
func (m *model) run() {
	m.sendInnocent()
	if m.scoresPerSecond > 0 {
		m.sendScore()
	}
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
	m.try(&try{number: m.tries, entry: m.processes[m.random.IntN(len(m.processes))], fingerprint: fingerprint, retries: retries})
}

// try has the entry serve a request, unless the quarantine doesn't admit it.
func (m *model) try(t *try) {
	d := m.decide(t)
	switch {
	case d.Admitted:
		t.settled = time.Time{}
		m.start(t)
		m.hedge(t)
	case m.mayChange(t, d):
		m.t.After(settleInterval, func() { m.try(t) })
	default:
		m.refuse(t, d)
	}
}

// refuse ends a try that the quarantine doesn't admit.
func (m *model) refuse(t *try, d poison.Decision) {
	if t.fingerprint != poisonRequest && !t.refused && (d.Quarantined || m.pick(t.entry, nil) != nil) {
		m.refused++
		t.refused = t.scoring
	}
	if t.fingerprint != poisonRequest && d.Quarantined {
		m.blocked++
	}
	m.end(t)
}

// end ends a try without an answer. The caller may try again.
func (m *model) end(t *try) {
	if t.done {
		return
	}
	t.done = true
	switch {
	case t.scoring:
		m.t.After(scoreBackoff, func() { m.score(t.entry, t.fingerprint, t.refused) })
	case t.retries > 0:
		m.t.After(m.between(10*time.Millisecond, 100*time.Millisecond), func() { m.send(t.fingerprint, t.retries-1) })
	case t.fingerprint != poisonRequest:
		m.unserved++
	}
}

// start sends the request to one endpoint that is up, if the entry may and there is one.
func (m *model) start(t *try) {
	at, wait := m.choose(t)
	if at == nil {
		switch {
		case wait:
			m.t.After(settleInterval, func() { m.start(t) })
		case t.inFlight == 0:
			m.end(t)
		}
		return
	}
	t.settled = time.Time{}
	t.tried++
	t.inFlight++
	a := &attempt{try: t, at: at}
	at.attempts[a] = true
	t.entry.copyStarted(a)
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

// choose returns the endpoint for the next attempt, or nil if there is none. wait is true if the
// entry waits for the decision to change.
func (m *model) choose(t *try) (at *endpoint, wait bool) {
	if t.done || t.tried >= maxAttempts {
		return nil, false
	}
	d := m.decide(t)
	if !d.Admitted {
		return nil, m.mayChange(t, d)
	}
	return m.pick(t.entry, d.Only), false
}

// pick returns an endpoint that is up; only restricts the choice unless it is empty. In an outage of
// the store an entry does not know endpoints that were started anew.
func (m *model) pick(p *entry, only []string) *endpoint {
	var up []*endpoint
	for _, e := range m.list {
		if e.up && !(m.away && p.listed[e.id] != e.run) && (len(only) == 0 || slices.Contains(only, e.name())) {
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
			m.down++
			m.mostDown = max(m.mostDown, m.down)
			at.poisoned = true
			if m.poisonEnds == 3 {
				m.third = m.t.Now()
			}
			m.lost[at.id] = true
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
	t.entry.copyEnded(a)
	t.inFlight--
	t.done = true
	t.entry.registry.RecordAnswer(m.t.Now(), poison.ID{Fingerprint: t.fingerprint})
	m.withdraw(t.entry, t.fingerprint)
}
