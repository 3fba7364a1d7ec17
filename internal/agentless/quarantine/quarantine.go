// Package quarantine keeps requests under which endpoints end from reaching ever more of them.
// A process that loses an endpoint while that runs a request reports it to the store, and every
// process follows the reports, so that a caller's retry is recognized whichever process it
// reaches. Package policy/poison decides which requests are refused.
package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/poison"
)

// Prober finds out whether an endpoint still runs.
type Prober interface {
	// RefusesConnections reports whether nothing listens at the address, which only a connection
	// that was refused proves.
	RefusesConnections(ctx context.Context, address string) bool
}

// Quarantine holds the reports of endpoints that ended while they ran a request. It is safe for
// concurrent use. A nil Quarantine admits every request.
//
// One lock guards the whole registry, since each crash may decide about several requests.
type Quarantine struct {
	Switches *mechanism.Switches // set before first use; may be nil
	// Directory lists the endpoints of services; set before first use. If it is nil, the number of
	// ended endpoints alone decides.
	Directory *directory.Directory
	// Feed passes reports on without the store; set before first use. If it is nil, they travel by
	// the store alone.
	Feed Feed

	self   string
	store  kv.TransactionalStore
	prober Prober
	log    *logrus.Logger

	reported metrics.Counter
	blocked  metrics.Gauge
	suspects metrics.Gauge
	held     metrics.Counter

	learnedLines *rate.Limiter // of log lines about reports of other processes

	// minRetryDelay and maxRetryDelay bound the delay after a failed write.
	minRetryDelay, maxRetryDelay time.Duration

	writeFailed  atomic.Bool   // the last write failed
	storeAnswers chan struct{} // interrupts the delay after a failed write

	mu       sync.Mutex
	registry *poison.Registry
	reports  map[uint64]reportSet // by fingerprint
	lost     map[incarnation][]lostRequest
	copies   poison.Copies        // that this process runs
	heldLogs map[uint64]time.Time // when a held-back request was last logged, by fingerprint
	fleet    *fleet
	wake     chan struct{} // notifies Run of what is to be written
}

// reportSet holds the reports about one request by their keys.
type reportSet map[string]*knownReport

// knownReport is a report and its state.
type knownReport struct {
	Report
	state reportState
}

// reportState says where a report is on its way to the store and back.
type reportState int

const (
	unsent    reportState = iota // the store may not have it yet
	learned                      // another process writes it to the store
	stored                       // the store has it
	withdrawn                    // it no longer counts and is to be removed from the store
	removed                      // it was removed; the topic's change follows
)

// New returns an empty Quarantine of the process self.
func New(self string, store kv.TransactionalStore, prober Prober, log *logrus.Logger, registry metrics.Registry) *Quarantine {
	return &Quarantine{
		self: self, store: store, prober: prober, log: log,
		reported: metrics.GetOrRegisterCounter("quarantine.reports", registry),
		blocked:  metrics.GetOrRegisterGauge("quarantine.requests", registry),
		suspects: metrics.GetOrRegisterGauge("quarantine.suspects", registry),
		held:     metrics.GetOrRegisterCounter("quarantine.held", registry),

		learnedLines: rate.NewLimiter(rate.Every(learnedLineInterval), learnedLineBurst),

		minRetryDelay: writeInterval, maxRetryDelay: maxRetryDelay,
		storeAnswers: make(chan struct{}, 1),

		registry: poison.New(poison.SharedConfig(), self),
		reports:  map[uint64]reportSet{},
		copies:   poison.Copies{},
		heldLogs: map[uint64]time.Time{},
		fleet:    newFleet(),
		lost:     map[incarnation][]lostRequest{},
		wake:     make(chan struct{}, 1),
	}
}

// requestID returns the key of a request in the registry. It has no service: a route may be split
// over services or move to another one, and the request with it.
func requestID(fingerprint uint64) poison.ID { return poison.ID{Fingerprint: fingerprint} }

// BlockedUntil returns the time until which no endpoint may run the request, or the zero time if
// one may.
func (q *Quarantine) BlockedUntil(fingerprint uint64) time.Time {
	if q == nil {
		return time.Time{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.registry.BlockedUntil(time.Now(), requestID(fingerprint))
}

// Admits reports whether one more copy of the request may be sent while this process runs others
// of it.
func (q *Quarantine) Admits(fingerprint uint64, running int) bool {
	if q == nil {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.registry.Admits(time.Now(), requestID(fingerprint), running)
}

// Answered records that an endpoint answered the request. Reports about it are withdrawn: the
// endpoints ended for another reason.
func (q *Quarantine) Answered(fingerprint uint64) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.registry.RecordAnswer(time.Now(), requestID(fingerprint))
	for key, r := range q.reports[fingerprint] {
		if r.state < withdrawn {
			q.withdraw(r, "answered")
			q.announce(Entry{Key: key, At: r.UnixMilli, Withdrawn: true})
			q.notify()
		}
	}
}

// withdraw drops a report, and logs if that ends a quarantine. mu must be held.
func (q *Quarantine) withdraw(r *knownReport, why string) {
	r.state = withdrawn
	if q.registry.Withdraw(time.Now(), r.suspicion()) {
		events.QuarantineEnded.Log(q.log, logrus.Fields{"fingerprint": poison.FormatFingerprint(r.Fingerprint), "why": why})
		q.countBlocked()
	}
}

// count adds a report to the registry and logs the start of a quarantine. mu must be held.
func (q *Quarantine) count(r *Report) {
	q.applySwitch()
	q.fleet.ended(r.at(), &deployment.Endpoint{ID: r.Endpoint, Service: r.Service, StartedAtMillis: r.StartedAtMillis})
	q.registry.RecordCrash(r.at(), r.suspicion())
	q.logReleased()
	if len(q.registry.TakeQuarantined()) == 0 {
		return
	}
	q.countBlocked()
	events.RequestQuarantined.Log(q.log, logrus.Fields{
		"fingerprint": poison.FormatFingerprint(r.Fingerprint), "method": r.Method, "host": r.Host, "path": r.Path, "endpoints": q.endpointsOf(r.Fingerprint),
	})
}

// logReleased logs the requests whose quarantine ended because others ran at the same ends. mu must
// be held.
func (q *Quarantine) logReleased() {
	for _, id := range q.registry.TakeReleased() {
		events.QuarantineContested.Log(q.log, logrus.Fields{"fingerprint": poison.FormatFingerprint(id.Fingerprint), "endpoints": q.endpointsOf(id.Fingerprint)})
		q.countBlocked()
	}
}

// add adds a report that isn't known yet. mu must be held.
func (q *Quarantine) add(key string, r *knownReport) {
	set := q.reports[r.Fingerprint]
	if set == nil {
		set = reportSet{}
		q.reports[r.Fingerprint] = set
	}
	set[key] = r
	q.suspects.Update(int64(len(q.reports)))
	q.count(&r.Report)
}

// remove forgets a report. mu must be held.
func (q *Quarantine) remove(fingerprint uint64, key string) {
	set := q.reports[fingerprint]
	delete(set, key)
	if len(set) == 0 {
		delete(q.reports, fingerprint)
		q.suspects.Update(int64(len(q.reports)))
	}
}

// countBlocked updates the number of quarantined requests. mu must be held.
func (q *Quarantine) countBlocked() {
	q.blocked.Update(int64(len(q.registry.List(time.Now()))))
}

// endpointsOf returns the endpoints that ended under a request, with the process that reported
// each. mu must be held.
func (q *Quarantine) endpointsOf(fingerprint uint64) map[string]string {
	reporters := map[string]string{}
	for _, r := range q.reports[fingerprint] {
		reporters[r.Endpoint] = r.Reporter
	}
	return reporters
}

// notify wakes Run.
func (q *Quarantine) notify() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}
