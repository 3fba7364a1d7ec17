// Package textlog logs the texts that engines are generating to the machine's local
// disk. An owner of batch jobs that was killed or lost power resumes them after its
// restart, and another process that holds a copy resumes them when the owner is gone.
// Without the log, such a loss delays a step's longest texts by up to six seconds, which
// the step's trainer rarely makes up.
//
// The log is never authoritative: the platform's store records who owns a job and which
// of its results are durable. If the disk is slow, stalled, full or wiped, the texts that
// it should hold are lost, but nothing waits for it.
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
	// flushInterval is the interval at which new events are written and synced. A power
	// failure loses the events of 100 ms, and a sync of 2 ms for each of a few open jobs
	// takes 5% of the disk's time.
	flushInterval = 100 * time.Millisecond
	// maxDiskBytes bounds the total size of the files of all jobs. A step of 4,096 long
	// texts takes 60 MB.
	maxDiskBytes = 256 << 20
	// defaultLoadTimeout bounds the time that taking over a job waits for its texts. Generating
	// them again costs seconds, but a disk may hang for longer.
	defaultLoadTimeout = 500 * time.Millisecond
	// idleFileTTL is how long a file is kept after its last record. A restarted owner or
	// the next one takes over a job within seconds, and its step ends half a minute
	// later.
	idleFileTTL = time.Minute
	// droppedFileTTL is how long a job's files are kept after this process dropped the
	// job. The next owner asks for its texts immediately.
	droppedFileTTL = 10 * time.Second
)

// Log writes the texts of open jobs to disk. It is safe for concurrent use. A nil Log
// stores nothing.
type Log struct {
	// LoadTimeout bounds the wait for a job's texts; set before first use.
	LoadTimeout time.Duration

	*Buffer
	dir   directory
	log   *logrus.Logger
	stats stats
	drops chan string // jobs whose files are to be removed
}

// stats holds the metrics of a Log.
type stats struct {
	written metrics.Counter
	onDisk  metrics.Gauge
	sync    metrics.Timer
	stopped metrics.Counter
}

// New returns a log that stores its files in dir. It returns nil if dir is empty, which
// means that the machine has no disk.
func New(dir string, log *logrus.Logger, registry metrics.Registry) *Log {
	if dir == "" {
		return nil
	}
	l := &Log{LoadTimeout: defaultLoadTimeout,
		dir: directory{path: dir, create: createFile}, log: log, drops: make(chan string, maxQueuedDrops),
		stats: stats{
			written: metrics.GetOrRegisterCounter("texts.bytes", registry),
			onDisk:  metrics.GetOrRegisterGauge("texts.disk", registry),
			sync:    metrics.GetOrRegisterTimer("texts.sync", registry),
			stopped: metrics.GetOrRegisterCounter("texts.stopped", registry),
		},
	}
	l.Buffer = NewBuffer(l.logStopped)
	return l
}

// maxQueuedDrops bounds the queue of jobs whose files are to be removed. Files of jobs
// beyond it are removed once they have been idle for idleFileTTL.
const maxQueuedDrops = 256

// logStopped logs and counts that the log stopped storing a job's texts. Those on disk
// remain usable.
func (l *Log) logStopped(job string, token int64, why string) {
	l.stats.stopped.Inc(1)
	events.TextsStopped.Log(l.log, logrus.Fields{"job": job, "mark": token, "why": why})
}

// Begin opens the log of a job that its owner adopted under a fencing token, with the
// texts that the job starts from.
func (l *Log) Begin(job string, token int64, texts *batch.Texts) {
	if l != nil {
		l.Buffer.Begin(job, token, texts)
	}
}

// Add adds a part of a job. It ignores the part unless the job is open under this token.
func (l *Log) Add(job string, token int64, part batch.TextPart) {
	if l != nil {
		l.Buffer.Add(job, token, part)
	}
}

// Put stores parts of another owner's job; full means that they are all of the job's
// texts so far. Put returns false if they continue parts that this process lacks because
// it started after those were sent. It then stores nothing, so that the files of an
// earlier run of this process remain usable until the owner sends a full copy.
func (l *Log) Put(p JobParts, full bool) (stored bool) {
	if l == nil {
		return true
	}
	if token, open := l.Token(p.Job); !open || token < p.Mark {
		if !full {
			return false
		}
		l.Begin(p.Job, p.Mark, batch.NewTexts())
	}
	for _, part := range p.Parts {
		l.Add(p.Job, p.Mark, part)
	}
	return true
}

// Drop schedules the removal of the files of a job that ended or moved to another owner,
// unless the job is open under a newer token.
func (l *Log) Drop(job string, token int64) {
	if l == nil || !l.Buffer.Drop(job, token) {
		return
	}
	select {
	case l.drops <- job:
	default:
	}
}

// Load returns the texts stored for a job. It returns none if the disk does not answer
// within LoadTimeout.
func (l *Log) Load(ctx context.Context, job string) *batch.Texts {
	if l == nil {
		return batch.NewTexts()
	}
	ctx, cancel := context.WithTimeout(ctx, l.LoadTimeout)
	defer cancel()
	loaded := make(chan *batch.Texts, 1)
	go func() {
		texts := l.dir.load(job, l.logUnreadable)
		for _, part := range l.pendingParts(job) {
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

// logUnreadable logs that a part of a file cannot be used.
func (l *Log) logUnreadable(place string, err error) {
	events.TextsUnreadable.Log(l.log, logrus.Fields{"place": place, "error": err.Error()})
}

// Run writes buffered events to disk until ctx is done.
func (l *Log) Run(ctx context.Context) error {
	if l == nil {
		return nil
	}
	w := &writer{log: l, files: map[string]*logFile{}, removeAt: map[string]time.Time{}}
	defer w.close()
	w.scheduleLeftovers(time.Now())
	ticker := time.NewTicker(flushInterval)
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
