package textlog

import (
	"sync"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

// mostPending bounds the events that wait for a disk or another process. At a
// megabyte of events a second it bears a stall of some seconds.
const mostPending = 8 << 20

// Buffer joins the events of open jobs' texts until they are taken away together,
// to be written or sent. Nobody who adds to it waits. It is safe for concurrent
// use; a nil Buffer takes nothing in.
type Buffer struct {
	stopped func(job string, mark int64, why string) // called with the lock held

	mu      sync.Mutex
	jobs    map[string]*gathered
	pending int // bytes that wait
}

// gathered is what waits of one open job.
type gathered struct {
	mark  int64
	parts []batch.TextPart
	last  map[string]int // index in parts of the newest part, by item
	full  bool           // more came than could be taken away; nothing more is gathered
}

// JobParts is what was taken away of one job.
type JobParts struct {
	Job   string
	Mark  int64
	Parts []batch.TextPart
}

// NewBuffer returns an empty Gather. stopped is called for a job of which nothing
// more is gathered, with the Gather locked; it may be nil.
func NewBuffer(stopped func(job string, mark int64, why string)) *Buffer {
	return &Buffer{stopped: stopped, jobs: map[string]*gathered{}}
}

// Begin opens a job that was taken on under an owner's mark, with the texts that
// it starts from.
func (g *Buffer) Begin(job string, mark int64, texts *batch.Texts) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if old := g.jobs[job]; old != nil {
		g.forget(old)
	}
	fresh := &gathered{mark: mark, last: map[string]int{}}
	g.jobs[job] = fresh
	for _, part := range texts.Parts() {
		g.append(job, fresh, part)
	}
}

// Event adds one event of an item's text.
func (g *Buffer) Event(job string, mark int64, item string, id int64, data []byte, version int64) {
	g.Add(job, mark, batch.TextPart{Item: item, First: id, Events: [][]byte{data}, Versions: []int64{version}})
}

// Complete notes that an item's text ends after so many events.
func (g *Buffer) Complete(job string, mark int64, item string, events int64) {
	g.Add(job, mark, batch.TextPart{Item: item, First: events + 1, Complete: true})
}

// Restart notes that an item's text is begun anew.
func (g *Buffer) Restart(job string, mark int64, item string) {
	g.Add(job, mark, batch.TextPart{Item: item, First: 1})
}

// Add takes in a part of a job that is open under the mark. A run that was begun
// under an earlier mark of the same job may end later: its events continue
// another text.
func (g *Buffer) Add(job string, mark int64, part batch.TextPart) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if open := g.jobs[job]; open != nil && open.mark == mark && !open.full {
		g.append(job, open, part)
	}
}

// append joins a part to the one before it of the same item, if it follows it.
func (g *Buffer) append(job string, open *gathered, part batch.TextPart) {
	size := sizeOf(&part)
	if g.pending+size > mostPending {
		g.stop(job, open, "more events wait than are taken away")
		return
	}
	g.pending += size
	if at, found := open.last[part.Item]; found {
		before := &open.parts[at]
		if (!before.Complete || len(part.Events) == 0) && part.First > 1 && part.First == before.First+int64(len(before.Events)) {
			before.Events = append(before.Events, part.Events...)
			before.Versions = append(before.Versions, part.Versions...)
			before.Complete = part.Complete
			if part.Score != "" {
				before.Score = part.Score
			}
			return
		}
	}
	open.last[part.Item] = len(open.parts)
	open.parts = append(open.parts, part)
}

// stop gathers nothing more of a job.
func (g *Buffer) stop(job string, open *gathered, why string) {
	g.forget(open)
	open.full = true
	if g.stopped != nil {
		g.stopped(job, open.mark, why)
	}
}

// Stop has nothing more of a job gathered, as what took it away failed.
func (g *Buffer) Stop(job string, why string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if open := g.jobs[job]; open != nil && !open.full {
		g.stop(job, open, why)
	}
}

func (g *Buffer) forget(open *gathered) {
	for i := range open.parts {
		g.pending -= sizeOf(&open.parts[i])
	}
	open.parts, open.last = nil, map[string]int{}
}

func sizeOf(p *batch.TextPart) int {
	size := 64 // the part itself
	for _, e := range p.Events {
		size += len(e) + 16
	}
	return size
}

// Drop forgets a job unless it is open under a newer mark, and tells whether it
// did.
func (g *Buffer) Drop(job string, mark int64) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	open := g.jobs[job]
	if open != nil && open.mark > mark {
		return false
	}
	if open != nil {
		g.forget(open)
		delete(g.jobs, job)
	}
	return true
}

// Mark returns the mark under which a job is open.
func (g *Buffer) Mark(job string) (mark int64, open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o := g.jobs[job]; o != nil {
		return o.mark, true
	}
	return 0, false
}

// Drain takes away what waits. Texts that were begun anew and have fewer than least
// events so far wait on, unless more is known to have gone before.
func (g *Buffer) Drain(least int) []JobParts {
	g.mu.Lock()
	defer g.mu.Unlock()
	var taken []JobParts
	for job, open := range g.jobs {
		parts := g.takeOf(open, least)
		if len(parts) > 0 {
			taken = append(taken, JobParts{job, open.mark, parts})
		}
	}
	return taken
}

func (g *Buffer) takeOf(open *gathered, least int) []batch.TextPart {
	var parts, kept []batch.TextPart
	for _, part := range open.parts {
		if part.First == 1 && len(part.Events) < least {
			kept = append(kept, part)
			continue
		}
		parts = append(parts, part)
		g.pending -= sizeOf(&part)
	}
	open.parts, open.last = kept, map[string]int{}
	for i := range kept {
		open.last[kept[i].Item] = i
	}
	return parts
}

// waiting returns a copy of what waits of a job.
func (g *Buffer) waiting(job string) []batch.TextPart {
	g.mu.Lock()
	defer g.mu.Unlock()
	open := g.jobs[job]
	if open == nil {
		return nil
	}
	parts := make([]batch.TextPart, len(open.parts))
	for i, p := range open.parts {
		p.Events = append([][]byte(nil), p.Events...)
		p.Versions = append([]int64(nil), p.Versions...)
		parts[i] = p
	}
	return parts
}
