package batchrun

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/batch"
)

// assignmentChanged handles an assignment of a job to this process. An assignment that existed
// before this process started may belong to its predecessor, whose last write may still take
// effect; writing the assignment anew makes that write's condition fail.
func (o *Owner) assignmentChanged(ctx context.Context, assignment kv.Record, afterStart bool) {
	if afterStart {
		o.adopt(ctx, assignment)
		return
	}
	o.rewriteAssignment(ctx, assignedJob(assignment.Key), assignment.Revision)
}

// handleAssigned adopts a job that was just accepted for this process or moved to it, before
// the watch of the assignments reports it. The watch reports the same revision later, which
// changes nothing.
func (o *Owner) handleAssigned(args AssignmentArgs) {
	raw, err := encode(assignmentRecord{Fresh: !args.Begun})
	if err != nil {
		return
	}
	select {
	case <-o.running:
	default:
		return // once it runs, the assignments are read from the store
	}
	assignment := kv.Record{Key: assignmentKey(o.Name, args.Job), Value: raw, Revision: args.Revision}
	go o.adopt(o.lifetime, assignment)
}

// rewriteAssignment writes the assignment anew if it still has the given revision, and adopts
// the job under the new one, with all durable results. It does not wait for the watch: after
// all processes have been killed, nobody follows the assignments for this process yet, and
// waiting for the change would delay the job's step by half a second. If the answer to the
// write is lost, the watch reports the new revision.
func (o *Owner) rewriteAssignment(ctx context.Context, id string, revision int64) {
	raw, err := encode(assignmentRecord{})
	if err != nil {
		events.JobUnreadable.Log(o.Log, logrus.Fields{"job": id, "error": err.Error()})
		return
	}
	key := assignmentKey(o.Name, id)
	for ctx.Err() == nil {
		committed, err := o.Store.Commit(ctx, kv.Transaction{Expect: []kv.Expectation{{Key: key, Revision: revision}}, Puts: []kv.Put{{Key: key, Value: raw}}})
		switch {
		case err == nil && committed.Done:
			o.adopt(ctx, kv.Record{Key: key, Value: raw, Revision: committed.Revision})
			return
		case err == nil:
			return // written by a try whose answer was lost, or no longer assigned to this process
		}
		pause(ctx, writeRetryDelay)
	}
}

// adopt loads a job and takes ownership of it. It retries until the store has answered, because
// no other process may run the job meanwhile.
func (o *Owner) adopt(ctx context.Context, assignment kv.Record) {
	id := assignedJob(assignment.Key)
	if !o.beginLoad(id, assignment.Revision) {
		return
	}
	defer o.endLoad(id, assignment.Revision)
	for ctx.Err() == nil {
		loaded, err := o.load(ctx, id, assignment)
		switch {
		case err == nil:
			o.takeOwnership(ctx, id, assignment.Revision, loaded)
			return
		case errors.Is(err, ErrNoJob):
			return
		case !errors.Is(err, kv.ErrUnavailable):
			events.JobUnreadable.Log(o.Log, logrus.Fields{"job": id, "error": err.Error()})
			return
		}
		pause(ctx, writeRetryDelay)
	}
}

// beginLoad reports whether the job must be loaded under the given token, and keeps a second
// notification of the same token from loading it twice.
func (o *Owner) beginLoad(id string, token int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if j := o.jobs[id]; j != nil && j.token >= token || o.loadingTokens[id] >= token {
		return false
	}
	o.loadingTokens[id] = token
	return true
}

func (o *Owner) endLoad(id string, token int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.loadingTokens[id] == token {
		delete(o.loadingTokens, id)
	}
}

// loadedJob is a job as read from the store.
type loadedJob struct {
	job   *batch.Job
	parts int          // number of values that hold the spec
	texts *batch.Texts // partial texts that this or another process kept
}

func (o *Owner) load(ctx context.Context, id string, assignment kv.Record) (loadedJob, error) {
	var state assignmentRecord
	if err := decode(assignment.Value, &state); err != nil {
		return loadedJob{}, err
	}
	page, err := kv.ReadAll(ctx, o.Store, specPrefix(id))
	if err != nil {
		return loadedJob{}, err
	}
	parts := len(page.Records)
	if parts == 0 {
		return loadedJob{}, ErrNoJob
	}
	spec, err := joinSpec(page.Records, parts)
	if err != nil {
		return loadedJob{}, err
	}
	if state.Fresh {
		return loadedJob{batch.NewJob(spec, nil), parts, batch.NewTexts()}, nil
	}
	done, err := kv.ReadAll(ctx, o.Store, donePrefix(id))
	if err != nil {
		return loadedJob{}, err
	}
	durable, err := joinDone(done.Records)
	if err != nil {
		return loadedJob{}, err
	}
	return loadedJob{batch.NewJob(spec, durable), parts, o.recoverTexts(ctx, id)}, nil
}

// configure sets a job's options by the mechanism switches, and has it estimate its texts by
// those of its model's jobs. The owner's lock must be held.
func (o *Owner) configure(job *batch.Job) {
	job.Configure(batch.Options{
		SubmissionOrder: !o.Switches.On(mechanism.LongestFirst),
		NoSpare:         !o.Switches.On(mechanism.SpareLast),
		WriteByGroup:    !o.Switches.On(mechanism.WholeSteps),
	})
	if !o.Switches.On(mechanism.LearnLengths) {
		return
	}
	lengths := o.lengths[job.Spec.Model]
	if lengths == nil {
		lengths = newSharedLengths()
		o.lengths[job.Spec.Model] = lengths
	}
	job.SetEstimator(lengths)
}

// resumeTexts lets an adopted job continue the partial texts that are known of its items. The
// owner's lock must be held.
func (o *Owner) resumeTexts(owned *ownedJob, texts *batch.Texts) (items int) {
	items, eventCount := owned.job.ResumeTexts(texts)
	if items > 0 {
		o.stats.resumedItems.Inc(int64(items))
		o.stats.resumedEvents.Inc(int64(eventCount))
		events.TextsRecovered.Log(o.Log, logrus.Fields{"job": owned.id, "mark": owned.token, "items": items, "events": eventCount})
	}
	o.sinksOf(owned).begin(owned)
	return items
}

// mergeStandby adds to a job what this process generated for it as its standby. The owner's
// lock must be held.
func (o *Owner) mergeStandby(owned *ownedJob) (items int) {
	run := o.Standby.release(owned.id)
	if run == nil {
		return 0
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.job.Close()
	return owned.job.MergeStandby(run.job)
}

// takeOwnership starts to run a loaded job, unless its assignment was deleted or the job was
// adopted under a newer token meanwhile.
func (o *Owner) takeOwnership(ctx context.Context, id string, token int64, loaded loadedJob) {
	job := loaded.job
	o.mu.Lock()
	if o.former.removedSince(id, token) {
		o.mu.Unlock()
		return
	}
	if old := o.jobs[id]; old != nil {
		if old.token >= token {
			o.mu.Unlock()
			return
		}
		old.cancel()
	}
	owned := &ownedJob{id: id, token: token, parts: loaded.parts, size: job.Spec.Size(), job: job, resultsChanged: make(chan struct{})}
	owned.ctx, owned.cancel = context.WithCancel(ctx)
	o.jobs[id] = owned
	o.admission.Adopted(id)
	o.former.forget(id)
	o.configure(job)
	resumed := o.mergeStandby(owned) + o.resumeTexts(owned, loaded.texts)
	_, _, _, done := job.Counts()
	o.mu.Unlock() // from here on the job is run
	o.Copier.announce()
	if o.OnAdopt != nil {
		o.OnAdopt(job.Spec)
	}
	events.JobOwned.Log(o.Log, logrus.Fields{"job": id, "mark": token, "resumed": resumed, "items": job.Total(), "done": done, "model": job.Spec.Model, "min_version": job.Spec.MinVersion, "step": job.Spec.Step})
	o.wakeDispatch()
}
