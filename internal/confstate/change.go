package confstate

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/config"
)

// readRetryDelay is the delay between reads that determine the outcome of an
// indeterminate write.
const readRetryDelay = 200 * time.Millisecond

// Change applies an operator's change to the stored record within the lifetime
// of ctx. The verdict Failed means that the change was certainly not accepted.
func (st *State) Change(ctx context.Context, request config.Request) (config.Result, error) {
	if !st.MayAccept() {
		return config.Result{Verdict: config.Failed}, errors.New("this entry hears too few failure domains to accept a change")
	}
	runner := &attemptRunner{store: st.options.Store, startedAt: time.Now()}
	attempt, step := config.NewAttempt(request)
	for step.Kind != config.StepDone {
		step = runner.runStep(ctx, attempt, step)
	}
	result := step.Result
	if result.Record.Revision > 0 {
		st.ApplyRecord(result.Record, runner.startedAt)
	}
	if runner.archived && result.Verdict == config.Accepted {
		st.trimArchives(ctx)
	}
	return result, runner.err
}

// Latest reads the declarations and their revision from the key-value service.
func (st *State) Latest(ctx context.Context) (decl.Deployment, int64, error) {
	sentAt := time.Now()
	found, err := st.options.Store.Get(ctx, kv.UseConfig, config.Key(st.options.Deployment))
	if err != nil {
		return decl.Deployment{}, 0, err
	}
	record, err := config.DecodeRecord(found.Value)
	if err != nil {
		return decl.Deployment{}, 0, err
	}
	st.ApplyRecord(record, sentAt)
	return record.Deployment, record.Revision, nil
}

// attemptRunner executes the steps of a change attempt.
type attemptRunner struct {
	store         kv.Store
	startedAt     time.Time
	indeterminate bool
	archived      bool
	err           error // of the last call
}

func (r *attemptRunner) runStep(ctx context.Context, a *config.Attempt, step config.Step) config.Step {
	switch step.Kind {
	case config.StepRead:
		record, revision, ok := r.read(ctx, step.Key)
		return a.ReadDone(record, revision, ok)
	case config.StepArchive:
		existing, ok := r.archive(ctx, step)
		return a.ArchiveDone(existing, ok)
	default:
		return a.WriteDone(r.write(ctx, step))
	}
}

// read reads the record. If a write was indeterminate, it retries until ctx is
// done, as the read determines that write's outcome. Before any write, a single
// failure ends the attempt.
func (r *attemptRunner) read(ctx context.Context, key string) (config.Record, int64, bool) {
	for {
		found, err := r.store.Get(ctx, kv.UseConfig, key)
		if err == nil {
			record, err := config.DecodeRecord(found.Value)
			r.err = err
			return record, found.Revision, err == nil
		}
		r.err = err
		if !r.indeterminate || !sleep(ctx, readRetryDelay) {
			return config.Record{}, 0, false
		}
	}
}

func (r *attemptRunner) write(ctx context.Context, step config.Step) config.WriteOutcome {
	swapped, _, err := r.store.CompareAndSwap(ctx, kv.UseConfig, kv.Write{Key: step.Key, ExpectedRevision: step.Expected, Value: step.Value})
	r.err = err
	outcome := writeOutcome(swapped, err)
	r.indeterminate = r.indeterminate || outcome == config.WriteIndeterminate
	return outcome
}

// archive writes audit entries under their own key unless that key exists, and
// returns the entries stored there.
func (r *attemptRunner) archive(ctx context.Context, step config.Step) ([]config.Audit, bool) {
	_, current, err := r.store.CompareAndSwap(ctx, kv.UseConfig, kv.Write{Key: step.Key, Value: step.Value})
	if err != nil {
		r.err = err
		return nil, false
	}
	existing, err := config.DecodeArchive(current.Value)
	r.err, r.archived = err, true
	return existing, err == nil
}

// trimArchives limits the size of the audit trail. If a delete fails, the next
// change that archives entries retries it.
func (st *State) trimArchives(ctx context.Context) {
	keys, err := st.options.Store.List(ctx, kv.UseStatus, config.ArchivePrefix(st.options.Deployment))
	if err != nil {
		return
	}
	for len(keys) > config.MaxArchives {
		oldest := keys[0]
		keys = keys[1:]
		_, _, _ = st.options.Store.CompareAndSwap(ctx, kv.UseStatus, kv.Write{Key: oldest.Key, ExpectedRevision: oldest.Revision, Delete: true})
	}
}

// Audit returns the accepted changes after a revision, oldest first. If limit
// is not 0, it returns at most the newest limit changes.
func (st *State) Audit(ctx context.Context, since int64, limit int) ([]config.Audit, error) {
	found, err := st.options.Store.Get(ctx, kv.UseStatus, config.Key(st.options.Deployment))
	if err != nil {
		return nil, err
	}
	record, err := config.DecodeRecord(found.Value)
	if err != nil {
		return nil, err
	}
	entries := record.Trail
	if len(entries) > 0 && entries[0].Revision > since+1 && (limit == 0 || len(entries) < limit) {
		older, err := st.archivedEntries(ctx, entries[0].Revision)
		if err != nil {
			return nil, err
		}
		entries = append(older, entries...)
	}
	return newest(entries, since, limit), nil
}

// archivedEntries returns the archived audit entries before a revision. The
// archive of a change that was not accepted contains entries that are still in
// the record.
func (st *State) archivedEntries(ctx context.Context, before int64) ([]config.Audit, error) {
	keys, err := st.options.Store.List(ctx, kv.UseStatus, config.ArchivePrefix(st.options.Deployment))
	if err != nil {
		return nil, err
	}
	var all []config.Audit
	for _, key := range keys {
		entries, err := config.DecodeArchive(key.Value)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if e.Revision < before {
				all = append(all, e)
			}
		}
	}
	return all, nil
}

// newest returns the last limit entries after a revision, or all of them if
// limit is 0.
func newest(entries []config.Audit, since int64, limit int) []config.Audit {
	var kept []config.Audit
	for _, e := range entries {
		if e.Revision > since {
			kept = append(kept, e)
		}
	}
	if limit > 0 && len(kept) > limit {
		kept = kept[len(kept)-limit:]
	}
	return kept
}

// sleep blocks for d and returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
