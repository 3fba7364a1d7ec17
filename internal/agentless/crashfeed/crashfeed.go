// Package crashfeed passes reports about endpoints that ended under requests from process to process,
// so that they arrive within milliseconds also while the store is down, slow or cut off.
//
// A process sends a report to two processes upstream in the tree that distributes the store's changes
// (cluster.Tree), and these send it on to theirs. Every process follows the reports of the same two
// by long polls, as processes of a large fleet don't know each other. Package policy/crashfeed holds
// what is passed on, package quarantine decides by it.
package crashfeed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/changefeed"
	policy "siskinloom.example/siskinloom/internal/policy/crashfeed"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

const (
	// maxEntries is the number of reports that a process passes on; the store holds as many.
	maxEntries = 512
	// maxMessage is the number of reports in a message, some 250 bytes each.
	maxMessage = 32
	// reportsPerSecond and reportBurst limit the reports that a process takes from one other, 10 kB
	// per second after the first ones, when hundreds of endpoints end at once. Messages don't count:
	// news of a few ends comes in as many of them, and must not wait.
	reportsPerSecond = 32
	reportBurst      = 4 * maxMessage
	// unusedLineInterval and unusedLineBurst limit the log lines about reports that are not used.
	unusedLineInterval = time.Second
	unusedLineBurst    = 5
)

// Receiver applies reports of other processes.
type Receiver interface {
	// Learn applies an entry of the process from. listed says whether that is registered. The error
	// says why the entry is not used.
	Learn(from string, listed bool, e quarantine.Entry) error
}

// Config holds the components that a Feed uses.
type Config struct {
	Self     cluster.Member
	Members  *cluster.Members
	Peers    *rpcpool.Pool
	Receiver Receiver
	Switches *mechanism.Switches // may be nil
	Log      *logrus.Logger
	Registry metrics.Registry
}

// Feed passes reports on. It implements quarantine.Feed and is safe for concurrent use.
type Feed struct {
	Config
	unusedLines *rate.Limiter
	sent        metrics.Counter
	received    metrics.Counter
	unused      metrics.Counter
	failed      metrics.Counter

	mu      sync.Mutex
	known   *policy.Log[quarantine.Report] // served to the processes that follow this one
	pending *policy.Log[quarantine.Report] // sent upstream: own reports, and those that were sent to this process
	changed chan struct{}                  // closed and replaced when a log grows
	polls   int                            // calls of others that wait for reports
}

var _ quarantine.Feed = (*Feed)(nil)

// New returns a Feed without reports.
func New(c Config) *Feed {
	run := rand.Int64() // processes may start in the same instant
	return &Feed{
		Config:      c,
		unusedLines: rate.NewLimiter(rate.Every(unusedLineInterval), unusedLineBurst),
		sent:        metrics.GetOrRegisterCounter("crashfeed.sent", c.Registry),
		received:    metrics.GetOrRegisterCounter("crashfeed.received", c.Registry),
		unused:      metrics.GetOrRegisterCounter("crashfeed.unused", c.Registry),
		failed:      metrics.GetOrRegisterCounter("crashfeed.failed", c.Registry),
		known:       policy.NewLog[quarantine.Report](run, maxEntries),
		pending:     policy.NewLog[quarantine.Report](run, maxEntries),
		changed:     make(chan struct{}),
	}
}

// Announce implements quarantine.Feed.
func (f *Feed) Announce(e quarantine.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(e, true)
}

// Forget implements quarantine.Feed.
func (f *Feed) Forget(now time.Time, key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(quarantine.Entry{Key: key, At: now.UnixMilli(), Withdrawn: true}, false)
}

// put adds an entry and wakes whoever waits for one. upstream says whether it is sent upstream. mu
// must be held.
func (f *Feed) put(e quarantine.Entry, upstream bool) {
	if !f.known.Put(e) {
		return
	}
	if upstream {
		f.pending.Put(e)
	}
	f.wake()
}

// wake wakes whoever waits for entries. mu must be held.
func (f *Feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// learn applies an entry that another process sent, unless it is known. The error says why it is not
// used.
func (f *Feed) learn(from string, listed, upstream bool, e quarantine.Entry) error {
	f.mu.Lock()
	supersedes := f.known.Supersedes(e)
	f.mu.Unlock()
	if !supersedes {
		return nil
	}
	f.received.Inc(1)
	if err := f.Receiver.Learn(from, listed, e); err != nil {
		f.unused.Inc(1)
		if f.unusedLines.Allow() {
			events.CrashReportUnused.Log(f.Log, logrus.Fields{"from": from, "key": e.Key, "error": err.Error()})
		}
		return err
	}
	f.mu.Lock()
	f.put(e, upstream)
	withdrawn := f.known.IsWithdrawn(e.Key)
	f.mu.Unlock()
	if withdrawn && !e.Withdrawn { // while the report was applied
		return f.Receiver.Learn(from, true, quarantine.Entry{Key: e.Key, At: e.At, Withdrawn: true})
	}
	return nil
}

// since returns the entries of a log after a position, the position after them, and a channel that
// is closed when there are more.
func (f *Feed) since(log *policy.Log[quarantine.Report], p changefeed.Position) ([]quarantine.Entry, changefeed.Position, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries, next := log.Since(p, maxMessage)
	return entries, next, f.changed
}

// isListed reports whether a process is registered. A process that was started during an outage of
// the store knows no others, and cannot tell; it must not hold up the reports of those it serves.
func (f *Feed) isListed(name string) bool {
	if _, listed := f.Members.Get(name); listed {
		return true
	}
	others := f.Members.Count()
	if _, listed := f.Members.Get(f.Self.Name); listed {
		others--
	}
	return others == 0
}

// isOn reports whether the mechanism is in force.
func (f *Feed) isOn() bool { return f.Switches.On(mechanism.TellEnds) }

// Run exchanges reports with the processes upstream until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	var group errgroup.Group
	for index := range cluster.MaxUpstream {
		l := &link{feed: f, index: index}
		group.Go(func() error { l.follow(ctx); return nil })
		group.Go(func() error { l.send(ctx); return nil })
	}
	return group.Wait()
}
