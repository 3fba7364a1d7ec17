package crashfeed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/changefeed"
)

const (
	// pollTimeout is the long-poll timeout of a call for reports.
	pollTimeout = 10 * time.Second
	// pollMargin is how much longer than its wait such a call may take.
	pollMargin = time.Second
	// sendTimeout bounds a call that sends reports. The other upstream process gets them meanwhile.
	sendTimeout = 2 * time.Second
	// idleInterval is the interval at which a process without an upstream process looks for one.
	idleInterval = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// link is the exchange with one of the upstream processes.
type link struct {
	feed  *Feed
	index int // of the upstream process

	mu     sync.Mutex
	sent   changefeed.Position // in the log of pending entries
	sentTo run                 // the run of the process that got them
}

// run is one run of an upstream process.
type run struct {
	name string
	boot int64
}

// source returns the upstream process of the link, if there is one.
func (l *link) source() (m cluster.Member, found bool) {
	if !l.feed.isOn() {
		return m, false
	}
	upstream := l.feed.Members.Tree().Upstream(l.feed.Self)
	if l.index >= len(upstream) {
		return m, false
	}
	return upstream[l.index], true
}

// follow receives the reports of the upstream process until ctx ends.
func (l *link) follow(ctx context.Context) {
	f := l.feed
	limiter := newLimiter()
	var position changefeed.Position
	retry := backoff{}
	for ctx.Err() == nil {
		source, found := l.source()
		if !found {
			sleep(ctx, idleInterval)
			continue
		}
		reply, err := l.poll(ctx, source, position)
		if err != nil {
			f.failed.Inc(1)
			if retry.first() && ctx.Err() == nil {
				events.CrashFeedLost.Log(f.Log, logrus.Fields{"from": source.Name, "error": err.Error()})
			}
			retry.wait(ctx)
			continue
		}
		retry = backoff{}
		l.reached(run{source.Name, reply.Position.Boot})
		for _, e := range reply.Entries {
			_ = f.learn(source.Name, true, false, e) // learn has logged the error
		}
		position = reply.Position
		sleep(ctx, delayAfter(limiter, time.Now(), len(reply.Entries)))
	}
}

// newLimiter returns the limiter of the reports that are taken from one process.
func newLimiter() *rate.Limiter { return rate.NewLimiter(reportsPerSecond, reportBurst) }

// delayAfter returns the time to wait after a message with this many reports.
func delayAfter(l *rate.Limiter, now time.Time, reports int) time.Duration {
	return l.ReserveN(now, min(reports, reportBurst)).DelayFrom(now)
}

// reached records the run of the upstream process that answered. A run that did not get the pending
// entries gets all of them.
func (l *link) reached(r run) {
	l.mu.Lock()
	changed := l.sentTo != r
	if changed {
		l.sentTo, l.sent = r, changefeed.Position{}
	}
	l.mu.Unlock()
	if !changed {
		return
	}
	l.feed.mu.Lock()
	defer l.feed.mu.Unlock()
	l.feed.wake()
}

// poll calls the upstream process for the reports after a position.
func (l *link) poll(ctx context.Context, source cluster.Member, p changefeed.Position) (*AfterReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout+pollMargin)
	defer cancel()
	reply := &AfterReply{} // a late answer may be written to it after an error
	err := l.feed.Peers.Call(ctx, source.Address, callAfter, AfterArgs{Position: p, Wait: pollTimeout}, reply)
	return reply, err
}

// send sends the pending entries to the upstream process until ctx ends.
func (l *link) send(ctx context.Context) {
	f := l.feed
	retry := backoff{}
	for ctx.Err() == nil {
		l.mu.Lock()
		sent, sentTo := l.sent, l.sentTo
		l.mu.Unlock()
		entries, next, changed := f.since(f.pending, sent)
		if len(entries) == 0 {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		source, found := l.source()
		if !found {
			sleep(ctx, idleInterval)
			continue
		}
		if err := l.report(ctx, source, ReportArgs{From: f.Self.Name, Entries: entries}); err != nil {
			f.failed.Inc(1)
			if retry.first() && ctx.Err() == nil {
				events.CrashReportNotSent.Log(f.Log, logrus.Fields{"to": source.Name, "reports": len(entries), "error": err.Error()})
			}
			retry.wait(ctx)
			continue
		}
		retry = backoff{}
		f.sent.Inc(int64(len(entries)))
		l.mu.Lock()
		if l.sentTo == sentTo { // otherwise all entries are to be sent once more
			l.sent = next
		}
		l.mu.Unlock()
	}
}

// report calls the upstream process with entries.
func (l *link) report(ctx context.Context, source cluster.Member, args ReportArgs) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	return l.feed.Peers.Call(ctx, source.Address, callReport, args, &ReportReply{})
}

// backoff is the delay after failed calls in a row. The zero value follows a call that succeeded.
type backoff struct{ delay time.Duration }

// first reports whether the call before the failed one succeeded.
func (b *backoff) first() bool { return b.delay == 0 }

// wait pauses after a failed call, each time about twice as long.
func (b *backoff) wait(ctx context.Context) {
	b.delay = min(max(2*b.delay, minRetryDelay), maxRetryDelay)
	sleep(ctx, b.delay/2+rand.N(b.delay))
}

// sleep pauses for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
