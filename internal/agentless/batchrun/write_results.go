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

// maxChunkBytes limits the results written by one transaction. It lies well below the largest
// value that the store accepts.
const maxChunkBytes = 512 << 10

// startWriting starts to write a job's results if any are due and no writer is active. Only one
// writer at a time assigns positions.
func (o *Owner) startWriting(j *ownedJob) {
	if j.token == 0 {
		return // only the owner writes results
	}
	j.mu.Lock()
	begin := !j.writerActive && !j.job.Closed() && j.job.WriteDue(time.Now())
	j.writerActive = j.writerActive || begin
	j.mu.Unlock()
	if begin {
		o.runs.Go(func() error { o.writeResults(j); return nil })
	}
}

func (o *Owner) writeResults(j *ownedJob) {
	defer func() {
		j.mu.Lock()
		j.writerActive = false
		j.mu.Unlock()
		o.wakeDispatch()
	}()
	for j.ctx.Err() == nil {
		pause(j.ctx, time.Until(j.lastWrite.Add(minWriteInterval)))
		c, due := j.nextChunk(time.Now())
		if !due {
			return
		}
		j.lastWrite = time.Now()
		written, err := o.writeChunk(j, c.position, c.results)
		o.recordWrite(j, c, err)
		if err == nil {
			o.markDurable(j, c.position, c.results[:written])
			continue
		}
		if errors.Is(err, kv.ErrUnavailable) && !c.earlierUnknown {
			j.clearWritePending()
		}
		if errors.Is(err, errNotOwner) {
			o.drop(j.id, j.token)
			o.runs.Go(func() error { o.rewriteAssignment(o.lifetime, j.id, j.token); return nil })
			return
		}
		o.waitForStore(j.ctx)
	}
}

// failedWrites counts a job's consecutive failed writes.
type failedWrites struct {
	count  int
	since  time.Time
	reason string // of the last failure that was logged
}

// recordWrite logs when writes of a job begin to fail, fail for another reason, and succeed
// again. Logging each failure would give four lines a second for each job during an outage of
// the store.
func (o *Owner) recordWrite(j *ownedJob, c chunk, err error) {
	f := &j.failedWrites
	if err == nil {
		if f.count > 0 {
			events.ResultsResumed.Log(o.Log, logrus.Fields{"job": j.id, "position": c.position, "failed": f.count, "ms": time.Since(f.since).Milliseconds()})
		}
		*f = failedWrites{}
		return
	}
	if f.count == 0 {
		f.since = time.Now()
	}
	f.count++
	if reason := err.Error(); reason != f.reason {
		f.reason = reason
		events.ResultsDelayed.Log(o.Log, logrus.Fields{"job": j.id, "position": c.position, "results": len(c.results), "error": reason})
	}
}

// chunk holds the results of one write.
type chunk struct {
	position       int
	results        []batch.Result
	earlierUnknown bool // the outcome of an earlier write is unknown
}

// nextChunk returns the results to write now, and marks a write as pending.
func (j *ownedJob) nextChunk(now time.Time) (c chunk, due bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.job.Closed() || !j.job.WriteDue(now) {
		return chunk{}, false
	}
	c.position, c.results = j.job.PendingResults()
	c.results = firstChunk(c.results)
	c.earlierUnknown, j.writePending = j.writePending, true
	return c, true
}

// clearWritePending notes that a write certainly had no effect. It must only be called if no
// earlier write has an unknown outcome: that one may still become durable, and if the job ends,
// its results are then read from the store.
func (j *ownedJob) clearWritePending() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.job.Closed() {
		j.writePending = false
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

// errNotOwner is returned if the job belongs to another process or to none.
var errNotOwner = errors.New("batchrun: the job's assignment has changed")

// writeChunk writes results from a position on and returns how many are durable. A write whose
// answer was lost is retried: if it took effect, the key exists and its results are compared.
func (o *Owner) writeChunk(j *ownedJob, position int, results []batch.Result) (int, error) {
	raw, err := encode(results)
	if err != nil {
		return 0, err
	}
	assignment, key := assignmentKey(o.Name, j.id), doneKey(j.id, position)
	committed, err := o.Store.Commit(j.ctx, kv.Transaction{
		Expect: []kv.Expectation{{Key: assignment, Revision: j.token}, {Key: key}},
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
	existing, err := o.Store.Read(j.ctx, key)
	if err != nil {
		return 0, err
	}
	if existing.Revision == 0 {
		return 0, errNotOwner // the other expectation failed: the assignment changed
	}
	var stored []batch.Result
	if err := decode(existing.Value, &stored); err != nil {
		return 0, err
	}
	if len(stored) == 0 || len(stored) > len(results) {
		return 0, errNotOwner
	}
	for i := range stored {
		if stored[i].Item != results[i].Item || !bytes.Equal(stored[i].Output, results[i].Output) || stored[i].Score != results[i].Score {
			return 0, errNotOwner
		}
	}
	return len(stored), nil
}

// markDurable marks results as durable and wakes the readers that wait for them.
func (o *Owner) markDurable(j *ownedJob, position int, results []batch.Result) {
	j.mu.Lock()
	now := time.Now()
	j.job.MarkDurable(now, position+len(results))
	step, complete := j.job.StepCompleted(now)
	close(j.resultsChanged)
	j.resultsChanged = make(chan struct{})
	finished := j.job.Finished()
	j.writePending = false
	var retained *retainedResults
	if j.job.Closed() { // it ended during the write
		retained = j.retained()
	}
	j.mu.Unlock()
	if retained != nil {
		o.retain(retained)
	}
	for i := range results {
		o.recordListed(j, position+i, &results[i])
	}
	if complete {
		o.recordStep(j, &step)
	}
	if finished {
		events.JobFinished.Log(o.Log, logrus.Fields{"job": j.id, "items": j.job.Total(), "ms": time.Since(j.job.Spec.Submitted).Milliseconds()})
	}
}

// recordStep logs the timeline of a complete step and updates the step's metric.
func (o *Owner) recordStep(j *ownedJob, t *batch.Timeline) {
	o.stats.step.Update(t.Elapsed)
	spec := j.job.Spec
	events.StepComplete.Log(o.Log, logrus.Fields{
		"job": j.id, "model": spec.Model, "step": spec.Step, "ms": t.Elapsed.Milliseconds(), "half_begun_ms": t.HalfStarted.Milliseconds(),
		"last_begun_ms": t.AllStarted.Milliseconds(), "request": t.LastItem, "events": t.LastItemEvents, "began_ms": t.LastItemStarted.Milliseconds(),
		"runs": t.LastItemRuns, "endpoint": t.LastItemEngine,
	})
}

func (o *Owner) recordListed(j *ownedJob, position int, r *batch.Result) {
	o.stats.listed.Inc(1)
	o.stats.sample.UpdateSince(j.job.Spec.Submitted)
	state := "completed"
	if r.State == batch.Aborted {
		o.stats.aborted.Inc(1)
		state = "aborted"
	}
	events.ItemListed.Log(o.Log, logrus.Fields{"job": j.id, "request": r.Item, "position": position, "state": state, "versions": r.Versions, "ms": time.Since(j.job.Spec.Submitted).Milliseconds()})
}
