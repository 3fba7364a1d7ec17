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

// marked takes in a mark that names this process. One that stood before this
// process started may belong to its predecessor, whose last write may still
// take effect; writing the mark anew makes that write's condition fail.
func (o *Owner) assignmentChanged(ctx context.Context, assignment kv.Record, afterStart bool) {
	if afterStart {
		o.adopt(ctx, assignment)
		return
	}
	o.rewriteAssignment(ctx, assignedJob(assignment.Key), assignment.Revision)
}

// told takes on a job that was just accepted for this process or moved to it, ahead of the
// watch of its marks. The watch repeats the same revision, which changes nothing.
func (o *Owner) handleAssigned(args MarkArgs) {
	raw, err := encode(assignmentRecord{Fresh: !args.Begun})
	if err != nil {
		return
	}
	select {
	case <-o.running:
	default:
		return // the marks are listed once it runs
	}
	assignment := kv.Record{Key: assignmentKey(o.Name, args.Job), Value: raw, Revision: args.Revision}
	go o.adopt(o.lifetime, assignment)
}

// remark writes the mark anew if it still has the revision, and takes the job on
// under the new one, with all results that are durable. When all processes have been
// killed nobody follows the marks for this one yet, and to wait for news of the mark
// costs its step half a second. If the write's answer is lost the news will tell it.
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
			return // written by a try whose answer was lost, or not ours any more
		}
		pause(ctx, writeRetryDelay)
	}
}

// adopt takes a job on. It tries until the store has answered, as nobody else
// may run the job meanwhile.
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

// claim tells whether a mark is still to be taken in, and keeps a second word of
// it from loading the job twice.
func (o *Owner) beginLoad(id string, mark int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if j := o.jobs[id]; j != nil && j.mark >= mark || o.loadingMarks[id] >= mark {
		return false
	}
	o.loadingMarks[id] = mark
	return true
}

func (o *Owner) endLoad(id string, mark int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.loadingMarks[id] == mark {
		delete(o.loadingMarks, id)
	}
}

// loadedJob is a job as the store has it.
type loadedJob struct {
	job   *batch.Job
	parts int          // values that hold the spec
	texts *batch.Texts // that an earlier run of this process kept
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

// configure has a job run as the switches say, and estimate its texts by those
// of its model; the owner's lock is held.
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

// resume has a job that is taken on go on from the texts that there are of its
// items; the owner's lock is held.
func (o *Owner) resumeTexts(owned *ownedJob, texts *batch.Texts) (items int) {
	items, made := owned.job.ResumeTexts(texts)
	if items > 0 {
		o.stats.resumedItems.Inc(int64(items))
		o.stats.resumedEvents.Inc(int64(made))
		events.TextsRecovered.Log(o.Log, logrus.Fields{"job": owned.id, "mark": owned.mark, "items": items, "events": made})
	}
	o.sinksOf(owned).begin(owned)
	return items
}

// inherit takes over what this process made of a job while it stood by; the owner's lock
// is held.
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

func (o *Owner) takeOwnership(ctx context.Context, id string, mark int64, loaded loadedJob) {
	job := loaded.job
	o.mu.Lock()
	if o.ended.removedSince(id, mark) {
		o.mu.Unlock()
		return
	}
	if old := o.jobs[id]; old != nil {
		if old.mark >= mark {
			o.mu.Unlock()
			return
		}
		old.cancel()
	}
	owned := &ownedJob{id: id, mark: mark, parts: loaded.parts, job: job, resultsChanged: make(chan struct{})}
	owned.ctx, owned.cancel = context.WithCancel(ctx)
	o.jobs[id] = owned
	o.ended.forget(id)
	o.configure(job)
	resumed := o.mergeStandby(owned) + o.resumeTexts(owned, loaded.texts)
	_, _, _, done := job.Counts()
	o.mu.Unlock() // from here on the job is run
	o.Copier.announce()
	if o.OnAdopt != nil {
		o.OnAdopt(job.Spec)
	}
	events.JobOwned.Log(o.Log, logrus.Fields{"job": id, "mark": mark, "resumed": resumed, "items": job.Total(), "done": done, "model": job.Spec.Model, "min_version": job.Spec.MinVersion, "step": job.Spec.Step})
	o.wakeDispatch()
}
