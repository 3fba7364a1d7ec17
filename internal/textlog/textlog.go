// Package textlog keeps the texts that engines are generating on the machine's
// own disk, so that an owner of batch jobs that is killed, or loses power, goes
// on with them when it is back. What a step's longest texts lose otherwise is up
// to six seconds, which its trainer rarely makes good.
//
// The log is never the truth of anything: who owns a job, and what is listed of
// it, stands in the platform's store. A disk that is slow, stalled, full or wiped
// costs the texts that were to be kept, and nothing waits for it.
package textlog

import (
	"context"
	"sync"
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
	// mostPending bounds the events that wait for the disk. At a megabyte of
	// events a second it bears a stall of some seconds.
	mostPending = 8 << 20
	// mostOnDisk bounds the files of all jobs; a step of 4,096 long texts is 60 MB.
	mostOnDisk = 256 << 20
	// loadLimit bounds how long the texts of a job are waited for when it is taken
	// on. Beginning them anew costs seconds, but a disk may hang for longer.
	loadLimit = 500 * time.Millisecond
	// keepUnclaimed is how long files are kept that were there at the start and
	// belong to no job that was taken on: an owner that is back takes its jobs on
	// within seconds, and their steps are over half a minute later.
	keepUnclaimed = time.Minute
)

// Log keeps the texts of open jobs. It is safe for concurrent use. A nil Log
// keeps nothing.
type Log struct {
	dir   directory
	log   *logrus.Logger
	stats stats

	mu      sync.Mutex
	jobs    map[string]*openLog
	dropped []string // jobs whose files are to be removed
	pending int      // bytes that wait for the disk
}

type stats struct {
	written metrics.Counter
	onDisk  metrics.Gauge
	sync    metrics.Timer
	lost    metrics.Counter
}

// openLog is what is kept of one open job.
type openLog struct {
	mark    int64
	parts   []batch.TextPart // not yet written
	last    map[string]int   // index in parts of the newest part, by item
	stopped bool             // the disk could not keep up; nothing more is kept
}

// New returns a log in a folder of the machine's disk; nil if dir is empty, as the
// machine has none.
func New(dir string, log *logrus.Logger, registry metrics.Registry) *Log {
	if dir == "" {
		return nil
	}
	return &Log{
		dir: directory{path: dir, create: createFile}, log: log, jobs: map[string]*openLog{},
		stats: stats{
			written: metrics.GetOrRegisterCounter("texts.bytes", registry),
			onDisk:  metrics.GetOrRegisterGauge("texts.disk", registry),
			sync:    metrics.GetOrRegisterTimer("texts.sync", registry),
			lost:    metrics.GetOrRegisterCounter("texts.stopped", registry),
		},
	}
}

// Begin opens the log of a job that was taken on under an owner's mark, with the
// texts that it starts from.
func (l *Log) Begin(job string, mark int64, texts *batch.Texts) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	o := &openLog{mark: mark, last: map[string]int{}}
	l.jobs[job] = o
	for _, part := range texts.Parts() {
		l.append(job, o, part)
	}
}

// Event keeps one event of an item's text.
func (l *Log) Event(job string, mark int64, item string, id int64, data []byte, version int64) {
	l.add(job, mark, batch.TextPart{Item: item, First: id, Events: [][]byte{data}, Versions: []int64{version}})
}

// Complete notes that an item's text ends after so many events.
func (l *Log) Complete(job string, mark int64, item string, events int64) {
	l.add(job, mark, batch.TextPart{Item: item, First: events + 1, Complete: true})
}

// Restart notes that an item's text is begun anew.
func (l *Log) Restart(job string, mark int64, item string) {
	l.add(job, mark, batch.TextPart{Item: item, First: 1})
}

// add takes in a part of a job that is open under the mark. A run that was begun
// under an earlier mark of the same job may end later: its events continue
// another text.
func (l *Log) add(job string, mark int64, part batch.TextPart) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.jobs[job]; o != nil && o.mark == mark && !o.stopped {
		l.append(job, o, part)
	}
}

// append joins a part to the one before it of the same item, if it follows it.
func (l *Log) append(job string, o *openLog, part batch.TextPart) {
	size := sizeOf(&part)
	if l.pending+size > mostPending {
		l.stop(job, o, "events wait for the disk")
		return
	}
	l.pending += size
	if at, found := o.last[part.Item]; found {
		before := &o.parts[at]
		if !before.Complete && part.First > 1 && part.First == before.First+int64(len(before.Events)) {
			before.Events = append(before.Events, part.Events...)
			before.Versions = append(before.Versions, part.Versions...)
			before.Complete = part.Complete
			return
		}
	}
	o.last[part.Item] = len(o.parts)
	o.parts = append(o.parts, part)
}

// stop keeps nothing more of a job; what is on disk of it stays of use.
func (l *Log) stop(job string, o *openLog, why string) {
	o.stopped = true
	for i := range o.parts {
		l.pending -= sizeOf(&o.parts[i])
	}
	o.parts, o.last = nil, map[string]int{}
	l.stats.lost.Inc(1)
	events.TextsStopped.Log(l.log, logrus.Fields{"job": job, "mark": o.mark, "why": why, "pending_bytes": l.pending})
}

func sizeOf(p *batch.TextPart) int {
	size := 64 // the part itself
	for _, e := range p.Events {
		size += len(e) + 16
	}
	return size
}

// Drop removes what is kept of a job that ended or went to another owner, unless
// it is open under a newer mark.
func (l *Log) Drop(job string, mark int64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.jobs[job]; o != nil {
		if o.mark > mark {
			return
		}
		for i := range o.parts {
			l.pending -= sizeOf(&o.parts[i])
		}
		delete(l.jobs, job)
	}
	l.dropped = append(l.dropped, job)
}

// Load returns the texts that are on disk of a job, none if the disk does not
// answer in time.
func (l *Log) Load(ctx context.Context, job string) *batch.Texts {
	if l == nil {
		return batch.NewTexts()
	}
	ctx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	loaded := make(chan *batch.Texts, 1)
	go func() { loaded <- l.dir.load(job, l.bad) }()
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
	w := &writer{log: l, files: map[string]*logFile{}}
	defer w.close()
	w.takeStock()
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.flush(time.Now())
		}
	}
}
