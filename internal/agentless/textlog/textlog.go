// Package textlog keeps the texts that engines are generating on the machine's
// own disk, so that an owner of batch jobs that is killed, or loses power, goes
// on with them when it is back, and so that another process can go on with them
// when the owner is gone. What a step's longest texts lose otherwise is up to six
// seconds, which its trainer rarely makes good.
//
// The log is never the truth of anything: who owns a job, and what is listed of
// it, stands in the platform's store. A disk that is slow, stalled, full or wiped
// costs the texts that were to be kept, and nothing waits for it.
package textlog

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/batch"
)

const (
	// flushEvery is how often new events are written and synced: a loss of power
	// costs the events of a tenth of a second, and a sync of 2 ms for each of a few
	// open jobs takes a twentieth of the disk's time.
	flushEvery = 100 * time.Millisecond
	// mostOnDisk bounds the files of all jobs; a step of 4,096 long texts is 60 MB.
	mostOnDisk = 256 << 20
	// loadLimit bounds how long the texts of a job are waited for when it is taken
	// on. Beginning them anew costs seconds, but a disk may hang for longer.
	loadLimit = 500 * time.Millisecond
	// keepIdle is how long a file is kept to which nothing was added: an owner that
	// is back, or the next one, takes a job on within seconds, and its step is over
	// half a minute later.
	keepIdle = time.Minute
	// keepDropped is how long it is kept once this process no longer has the job:
	// the next owner asks for its texts at once.
	keepDropped = 10 * time.Second
)

// Log keeps the texts of open jobs. It is safe for concurrent use. A nil Log
// keeps nothing.
type Log struct {
	*Buffer
	dir   directory
	log   *logrus.Logger
	stats stats
	drops chan string // jobs of which this process is no longer the owner
}

type stats struct {
	written metrics.Counter
	onDisk  metrics.Gauge
	sync    metrics.Timer
	stopped metrics.Counter
}

// New returns a log in a folder of the machine's disk; nil if dir is empty, as the
// machine has none.
func New(dir string, log *logrus.Logger, registry metrics.Registry) *Log {
	if dir == "" {
		return nil
	}
	l := &Log{
		dir: directory{path: dir, create: createFile}, log: log, drops: make(chan string, mostDrops),
		stats: stats{
			written: metrics.GetOrRegisterCounter("texts.bytes", registry),
			onDisk:  metrics.GetOrRegisterGauge("texts.disk", registry),
			sync:    metrics.GetOrRegisterTimer("texts.sync", registry),
			stopped: metrics.GetOrRegisterCounter("texts.stopped", registry),
		},
	}
	l.Buffer = NewBuffer(l.noteStopped)
	return l
}

// mostDrops bounds the jobs that wait to be removed; the files of any beyond go
// when they have been idle for long enough.
const mostDrops = 256

// noteStopped says that nothing more is kept of a job. What is on disk of it stays
// of use.
func (l *Log) noteStopped(job string, mark int64, why string) {
	l.stats.stopped.Inc(1)
	events.TextsStopped.Log(l.log, logrus.Fields{"job": job, "mark": mark, "why": why})
}

// Begin opens the log of a job that was taken on under an owner's mark, with the
// texts that it starts from.
func (l *Log) Begin(job string, mark int64, texts *batch.Texts) {
	if l != nil {
		l.Buffer.Begin(job, mark, texts)
	}
}

// Add takes in a part of a job that is open under the mark.
func (l *Log) Add(job string, mark int64, part batch.TextPart) {
	if l != nil {
		l.Buffer.Add(job, mark, part)
	}
}

// Put takes in parts of another owner's job; whole tells that they are all that
// there is. It returns false if they follow on what is not here, as this process
// started after it was sent: then nothing is taken in, and what an earlier run of
// this process kept stays of use until the whole comes.
func (l *Log) Put(g JobParts, whole bool) (follows bool) {
	if l == nil {
		return true
	}
	if mark, open := l.Mark(g.Job); !open || mark < g.Mark {
		if !whole {
			return false
		}
		l.Begin(g.Job, g.Mark, batch.NewTexts())
	}
	for _, part := range g.Parts {
		l.Add(g.Job, g.Mark, part)
	}
	return true
}

// Drop removes, some time later, what is kept of a job that ended or went to
// another owner, unless it is open under a newer mark.
func (l *Log) Drop(job string, mark int64) {
	if l == nil || !l.Buffer.Drop(job, mark) {
		return
	}
	select {
	case l.drops <- job:
	default:
	}
}

// Load returns the texts that are kept of a job, none if the disk does not answer
// in time.
func (l *Log) Load(ctx context.Context, job string) *batch.Texts {
	if l == nil {
		return batch.NewTexts()
	}
	ctx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	loaded := make(chan *batch.Texts, 1)
	go func() {
		texts := l.dir.load(job, l.bad)
		for _, part := range l.waiting(job) {
			texts.Add(part)
		}
		loaded <- texts
	}()
	select {
	case texts := <-loaded:
		return texts
	case <-ctx.Done():
		events.TextsStopped.Log(l.log, logrus.Fields{"job": job, "why": "the disk did not answer in time"})
		return batch.NewTexts()
	}
}

// bad notes a part of a file that is of no use.
func (l *Log) bad(place string, err error) {
	events.TextRecordBad.Log(l.log, logrus.Fields{"place": place, "error": err.Error()})
}

// Run writes until ctx ends.
func (l *Log) Run(ctx context.Context) error {
	if l == nil {
		return nil
	}
	w := &writer{log: l, files: map[string]*logFile{}, removals: map[string]time.Time{}}
	defer w.close()
	w.takeStock(time.Now())
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case job := <-l.drops:
			w.drop(job, time.Now())
		case <-ticker.C:
			w.flush(time.Now())
		}
	}
}
