package textlog

import (
	"sync"

	"siskinloom.example/siskinloom/internal/policy/batch"
)

// maxPendingBytes bounds the events that wait for a disk or another process. At 1 MB of
// events per second it absorbs a stall of several seconds.
const maxPendingBytes = 8 << 20

// Buffer collects the events of open jobs' texts until they are drained together, to be
// written to disk or sent to another process. Adding never blocks on either. It is safe
// for concurrent use. Begin, Add and Drop do nothing on a nil Buffer.
type Buffer struct {
	onStopped func(job string, token int64, why string) // called with the lock held

	mu      sync.Mutex
	jobs    map[string]*openJob
	pending int // buffered bytes
}

// openJob holds the buffered parts of one open job.
type openJob struct {
	token   int64 // fencing token of the job's owner
	parts   []batch.TextPart
	newest  map[string]int // index in parts of the newest part, by item
	stopped bool           // the buffer was full or its consumer failed; further parts are discarded
}

// JobParts holds the parts of one job that were drained from a Buffer.
type JobParts struct {
	Job   string
	Mark  int64 // fencing token of the job's owner
	Parts []batch.TextPart
}

// NewBuffer returns an empty Buffer. onStopped is called when the Buffer stops
// collecting a job's parts, while the Buffer is locked; it may be nil.
func NewBuffer(onStopped func(job string, token int64, why string)) *Buffer {
	return &Buffer{onStopped: onStopped, jobs: map[string]*openJob{}}
}

// Begin opens a job that its owner adopted under a fencing token, with the texts that the
// job starts from. It replaces the job if it is open already.
func (b *Buffer) Begin(job string, token int64, texts *batch.Texts) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.jobs[job]; old != nil {
		b.discardParts(old)
	}
	b.jobs[job] = &openJob{token: token, newest: map[string]int{}}
	b.appendTexts(job, texts)
}

// appendTexts adds the texts that a job starts from. mu must be held.
func (b *Buffer) appendTexts(job string, texts *batch.Texts) {
	for _, part := range texts.Parts() {
		b.append(job, b.jobs[job], part)
	}
}

// DrainTexts replaces a job's buffered parts by its texts so far, and drains these as Drain does.
// The caller must hold the lock under which it adds the job's events: an event that came between
// would be in the texts and in the buffer, and whoever gets both can't tell the second one from
// an event of another run. DrainTexts returns nil unless the job is open under this token.
func (b *Buffer) DrainTexts(job string, token int64, texts *batch.Texts, minEvents int) []batch.TextPart {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := b.jobs[job]
	if open == nil || open.token != token {
		return nil
	}
	b.discardParts(open)
	b.appendTexts(job, texts)
	return b.drainJob(open, minEvents)
}

// Event adds one event of an item's text.
func (b *Buffer) Event(job string, token int64, item string, id int64, data []byte, version int64) {
	b.Add(job, token, batch.TextPart{Item: item, First: id, Events: [][]byte{data}, Versions: []int64{version}})
}

// Complete records that an item's text is complete and has the given number of events.
func (b *Buffer) Complete(job string, token int64, item string, events int64) {
	b.Add(job, token, batch.TextPart{Item: item, First: events + 1, Complete: true})
}

// Restart records that an item's text starts from its beginning again.
func (b *Buffer) Restart(job string, token int64, item string) {
	b.Add(job, token, batch.TextPart{Item: item, First: 1})
}

// Add adds a part of a job. It ignores the part unless the job is open under this token: a
// run that was started under an earlier token may still deliver events, and they continue a
// different text.
func (b *Buffer) Add(job string, token int64, part batch.TextPart) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if open := b.jobs[job]; open != nil && open.token == token && !open.stopped {
		b.append(job, open, part)
	}
}

// append merges a part into the newest part of the same item if it directly continues
// that, and adds it as a new part otherwise. mu must be held.
func (b *Buffer) append(job string, open *openJob, part batch.TextPart) {
	size := sizeOf(&part)
	if b.pending+size > maxPendingBytes {
		b.stop(job, open, "too many events are waiting to be written or sent")
		return
	}
	b.pending += size
	if at, found := open.newest[part.Item]; found {
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
	open.newest[part.Item] = len(open.parts)
	open.parts = append(open.parts, part)
}

// stop discards a job's parts and makes the buffer ignore further ones. mu must be held.
func (b *Buffer) stop(job string, open *openJob, why string) {
	b.discardParts(open)
	open.stopped = true
	if b.onStopped != nil {
		b.onStopped(job, open.token, why)
	}
}

// Stop stops collecting a job's parts because writing or sending them failed.
func (b *Buffer) Stop(job string, why string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if open := b.jobs[job]; open != nil && !open.stopped {
		b.stop(job, open, why)
	}
}

// discardParts discards the buffered parts of a job. mu must be held.
func (b *Buffer) discardParts(open *openJob) {
	for i := range open.parts {
		b.pending -= sizeOf(&open.parts[i])
	}
	open.parts, open.newest = nil, map[string]int{}
}

// sizeOf returns the approximate memory of a part in bytes.
func sizeOf(p *batch.TextPart) int {
	size := 64 // the part itself
	for _, e := range p.Events {
		size += len(e) + 16
	}
	return size
}

// Drop removes a job and returns true, unless the job is open under a newer token.
func (b *Buffer) Drop(job string, token int64) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	open := b.jobs[job]
	if open != nil && open.token > token {
		return false
	}
	if open != nil {
		b.discardParts(open)
		delete(b.jobs, job)
	}
	return true
}

// Token returns the fencing token under which a job is open, and whether it is open.
func (b *Buffer) Token(job string) (token int64, open bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o := b.jobs[job]; o != nil {
		return o.token, true
	}
	return 0, false
}

// Drain removes and returns the buffered parts. Parts that start a text and have fewer
// than minEvents events stay buffered.
func (b *Buffer) Drain(minEvents int) []JobParts {
	b.mu.Lock()
	defer b.mu.Unlock()
	var taken []JobParts
	for job, open := range b.jobs {
		parts := b.drainJob(open, minEvents)
		if len(parts) > 0 {
			taken = append(taken, JobParts{job, open.token, parts})
		}
	}
	return taken
}

// drainJob removes and returns the parts of one job, as Drain does. mu must be held.
func (b *Buffer) drainJob(open *openJob, minEvents int) []batch.TextPart {
	var parts, kept []batch.TextPart
	for _, part := range open.parts {
		if part.First == 1 && len(part.Events) < minEvents {
			kept = append(kept, part)
			continue
		}
		parts = append(parts, part)
		b.pending -= sizeOf(&part)
	}
	open.parts, open.newest = kept, map[string]int{}
	for i := range kept {
		open.newest[kept[i].Item] = i
	}
	return parts
}

// pendingParts returns a copy of a job's buffered parts.
func (b *Buffer) pendingParts(job string) []batch.TextPart {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := b.jobs[job]
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
