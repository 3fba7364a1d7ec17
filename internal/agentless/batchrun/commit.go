package batchrun

import (
	"bytes"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/batch"
)

// maxChunkBytes bounds the results written by one transaction, well under what
// the store takes as one value.
const maxChunkBytes = 512 << 10

// startWriting writes decided results if there are any and no write is under
// way. Positions are given out by one writer at a time.
func (o *Owner) startWriting(j *ownedJob) {
	if j.mark == 0 {
		return // only its owner lists results
	}
	j.mu.Lock()
	begin := !j.writing && !j.job.Closed() && j.job.WriteDue(time.Now())
	j.writing = j.writing || begin
	j.mu.Unlock()
	if begin {
		o.runs.Go(func() error { o.write(j); return nil })
	}
}

func (o *Owner) write(j *ownedJob) {
	defer func() {
		j.mu.Lock()
		j.writing = false
		j.mu.Unlock()
		o.kick()
	}()
	for j.ctx.Err() == nil {
		pause(j.ctx, time.Until(j.written.Add(gatherResults)))
		c, due := j.nextChunk(time.Now())
		if !due {
			return
		}
		j.written = time.Now()
		written, err := o.writeChunk(j, c.position, c.results)
		o.noteWrite(j, c, err)
		if err == nil {
			o.durable(j, c.position, c.results[:written])
			continue
		}
		if errors.Is(err, kv.ErrUnavailable) && !c.unsettled {
			j.settle()
		}
		if errors.Is(err, errNotOwner) {
			o.drop(j.id, j.mark)
			o.runs.Go(func() error { o.remark(o.lifetime, j.id, j.mark); return nil })
			return
		}
		o.pauseForStore(j.ctx)
	}
}

// failedWrites are a job's writes that failed in a row.
type failedWrites struct {
	n     int
	since time.Time
	why   string // of the last line
}

// noteWrite writes a line when writes of a job begin to fail, fail for another
// reason, and succeed again; an outage of the store would otherwise give four lines
// a second for each job.
func (o *Owner) noteWrite(j *ownedJob, c chunk, err error) {
	f := &j.failing
	if err == nil {
		if f.n > 0 {
			events.ResultsBack.Log(o.Log, logrus.Fields{"job": j.id, "position": c.position, "failed": f.n, "ms": time.Since(f.since).Milliseconds()})
		}
		*f = failedWrites{}
		return
	}
	if f.n == 0 {
		f.since = time.Now()
	}
	f.n++
	if why := err.Error(); why != f.why {
		f.why = why
		events.ResultsDelayed.Log(o.Log, logrus.Fields{"job": j.id, "position": c.position, "results": len(c.results), "error": why})
	}
}

// chunk is what one write holds.
type chunk struct {
	position  int
	results   []batch.Result
	unsettled bool // the outcome of an earlier write is not known
}

// nextChunk returns the results to write now, and counts them as sent.
func (j *ownedJob) nextChunk(now time.Time) (c chunk, due bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.job.Closed() || !j.job.WriteDue(now) {
		return chunk{}, false
	}
	c.position, c.results = j.job.PendingResults()
	c.results = firstChunk(c.results)
	c.unsettled, j.sent = j.sent, true
	return c, true
}

// settle notes that a write certainly had no effect, and that none is out whose
// outcome is unknown: such a one may yet become durable, and the job is then read
// from the store if it ends.
func (j *ownedJob) settle() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.job.Closed() {
		j.sent = false
	}
}

func firstChunk(results []batch.Result) []batch.Result {
	size := 0
	for i := range results {
		size += len(results[i].Output) + len(results[i].Score) + 64
		if size > maxChunkBytes && i > 0 {
			return results[:i]
		}
	}
	return results
}

// errNotOwner is returned when another process owns the job, or nobody does.
var errNotOwner = errors.New("batchrun: the job's mark has changed")

// writeChunk makes results durable from a position on and returns how many
// are. A write whose answer was lost is repeated: if it took effect, the chunk
// stands there and is compared.
func (o *Owner) writeChunk(j *ownedJob, position int, results []batch.Result) (int, error) {
	raw, err := encode(results)
	if err != nil {
		return 0, err
	}
	mark, key := todoKey(o.Name, j.id), doneKey(j.id, position)
	committed, err := o.Store.Commit(j.ctx, kv.Transaction{
		Expect: []kv.Expectation{{Key: mark, Revision: j.mark}, {Key: key}},
		Puts:   []kv.Put{{Key: key, Value: raw}},
	})
	if err != nil {
		return 0, err
	}
	if committed.Done {
		return len(results), nil
	}
	return o.compareChunk(j, key, results)
}

func (o *Owner) compareChunk(j *ownedJob, key string, results []batch.Result) (int, error) {
	standing, err := o.Store.Read(j.ctx, key)
	if err != nil {
		return 0, err
	}
	if standing.Revision == 0 {
		return 0, errNotOwner // the other condition failed: the mark
	}
	var there []batch.Result
	if err := decode(standing.Value, &there); err != nil {
		return 0, err
	}
	if len(there) == 0 || len(there) > len(results) {
		return 0, errNotOwner
	}
	for i := range there {
		if there[i].Item != results[i].Item || !bytes.Equal(there[i].Output, results[i].Output) || there[i].Score != results[i].Score {
			return 0, errNotOwner
		}
	}
	return len(there), nil
}

func (o *Owner) durable(j *ownedJob, position int, results []batch.Result) {
	j.mu.Lock()
	now := time.Now()
	j.job.MarkDurable(now, position+len(results))
	step, whole := j.job.StepCompleted(now)
	close(j.readers)
	j.readers = make(chan struct{})
	finished := j.job.Finished()
	j.sent = false
	var kept *keptResults
	if j.job.Closed() { // it ended while they were written
		kept = j.kept()
	}
	j.mu.Unlock()
	if kept != nil {
		o.keep(kept)
	}
	for i := range results {
		o.noteListed(j, position+i, &results[i])
	}
	if whole {
		o.noteStep(j, &step)
	}
	if finished {
		events.JobFinished.Log(o.Log, logrus.Fields{"job": j.id, "items": j.job.Total(), "ms": time.Since(j.job.Spec.Submitted).Milliseconds()})
	}
}

// noteStep says what a whole step's time consisted of.
func (o *Owner) noteStep(j *ownedJob, t *batch.Timeline) {
	o.stats.step.Update(t.Elapsed)
	spec := j.job.Spec
	events.StepWhole.Log(o.Log, logrus.Fields{
		"job": j.id, "model": spec.Model, "step": spec.Step, "ms": t.Elapsed.Milliseconds(), "half_begun_ms": t.HalfStarted.Milliseconds(),
		"last_begun_ms": t.AllStarted.Milliseconds(), "request": t.LastItem, "events": t.LastItemEvents, "began_ms": t.LastItemStarted.Milliseconds(),
		"runs": t.LastItemRuns, "endpoint": t.LastItemEngine,
	})
}

func (o *Owner) noteListed(j *ownedJob, position int, r *batch.Result) {
	o.stats.listed.Inc(1)
	o.stats.sample.UpdateSince(j.job.Spec.Submitted)
	state := "completed"
	if r.State == batch.Aborted {
		o.stats.aborted.Inc(1)
		state = "aborted"
	}
	events.ItemListed.Log(o.Log, logrus.Fields{"job": j.id, "request": r.Item, "position": position, "state": state, "versions": r.Versions, "ms": time.Since(j.job.Spec.Submitted).Milliseconds()})
}
