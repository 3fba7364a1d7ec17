package confstate

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/config"
)

// readPause is between reads that settle an unclear write.
const readPause = 200 * time.Millisecond

// Change carries an operator's change into the record, within ctx. A verdict of
// Failed means that it certainly was not accepted.
func (h *Holder) Change(ctx context.Context, request config.Request) (config.Result, error) {
	if !h.MayAccept() {
		return config.Result{Verdict: config.Failed}, errors.New("this entry hears too few failure domains to accept a change")
	}
	runner := &attemptRunner{store: h.options.Store, began: time.Now()}
	attempt, step := config.NewAttempt(request)
	for step.Kind != config.StepDone {
		step = runner.carryOut(ctx, attempt, step)
	}
	result := step.Result
	if result.Record.Revision > 0 {
		h.Stored(result.Record, runner.began)
	}
	if runner.archived && result.Verdict == config.Accepted {
		h.trimArchives(ctx)
	}
	return result, runner.err
}

// Latest returns the declarations and the revision that the service holds.
func (h *Holder) Latest(ctx context.Context) (decl.Deployment, int64, error) {
	sent := time.Now()
	found, err := h.options.Store.Get(ctx, kv.UseConfig, config.Key(h.options.Deployment))
	if err != nil {
		return decl.Deployment{}, 0, err
	}
	record, err := config.DecodeRecord(found.Value)
	if err != nil {
		return decl.Deployment{}, 0, err
	}
	h.Stored(record, sent)
	return record.Deployment, record.Revision, nil
}

// attemptRunner carries out an attempt's steps. err is the last call's error.
type attemptRunner struct {
	store    kv.Store
	began    time.Time
	unclear  bool
	archived bool
	err      error
}

func (r *attemptRunner) carryOut(ctx context.Context, a *config.Attempt, step config.Step) config.Step {
	switch step.Kind {
	case config.StepRead:
		record, revision, ok := r.read(ctx, step.Key)
		return a.ReadDone(record, revision, ok)
	case config.StepArchive:
		standing, ok := r.archive(ctx, step)
		return a.ArchiveDone(standing, ok)
	default:
		return a.WriteDone(r.write(ctx, step))
	}
}

// read repeats a read that is to settle an unclear write until ctx ends; before
// any write, one failure is answer enough.
func (r *attemptRunner) read(ctx context.Context, key string) (config.Record, int64, bool) {
	for {
		found, err := r.store.Get(ctx, kv.UseConfig, key)
		if err == nil {
			record, err := config.DecodeRecord(found.Value)
			r.err = err
			return record, found.Revision, err == nil
		}
		r.err = err
		if !r.unclear || !sleep(ctx, readPause) {
			return config.Record{}, 0, false
		}
	}
}

func (r *attemptRunner) write(ctx context.Context, step config.Step) config.WriteOutcome {
	swapped, _, err := r.store.CompareAndSwap(ctx, kv.UseConfig, kv.Write{Key: step.Key, ExpectedRevision: step.Expected, Value: step.Value})
	r.err = err
	outcome := writeOutcome(swapped, err)
	r.unclear = r.unclear || outcome == config.WriteIndeterminate
	return outcome
}

// archive writes entries under a key of their own unless one stands there, and
// returns those that stand.
func (r *attemptRunner) archive(ctx context.Context, step config.Step) ([]config.Audit, bool) {
	_, current, err := r.store.CompareAndSwap(ctx, kv.UseConfig, kv.Write{Key: step.Key, Value: step.Value})
	if err != nil {
		r.err = err
		return nil, false
	}
	standing, err := config.DecodeArchive(current.Value)
	r.err, r.archived = err, true
	return standing, err == nil
}

// trimArchives keeps the audit trail bounded. What it fails to delete, the next
// change that archives deletes.
func (h *Holder) trimArchives(ctx context.Context) {
	keys, err := h.options.Store.List(ctx, kv.UseStatus, config.ArchivePrefix(h.options.Deployment))
	if err != nil {
		return
	}
	for len(keys) > config.MaxArchives {
		oldest := keys[0]
		keys = keys[1:]
		_, _, _ = h.options.Store.CompareAndSwap(ctx, kv.UseStatus, kv.Write{Key: oldest.Key, ExpectedRevision: oldest.Revision, Delete: true})
	}
}

// Audit returns accepted changes after a revision, oldest first, at most limit
// of the newest (0: all that are kept).
func (h *Holder) Audit(ctx context.Context, since int64, limit int) ([]config.Audit, error) {
	found, err := h.options.Store.Get(ctx, kv.UseStatus, config.Key(h.options.Deployment))
	if err != nil {
		return nil, err
	}
	record, err := config.DecodeRecord(found.Value)
	if err != nil {
		return nil, err
	}
	entries := record.Trail
	if len(entries) > 0 && entries[0].Revision > since+1 && (limit == 0 || len(entries) < limit) {
		older, err := h.archived(ctx, entries[0].Revision)
		if err != nil {
			return nil, err
		}
		entries = append(older, entries...)
	}
	return newest(entries, since, limit), nil
}

// archived returns the archived entries before a revision. An archive whose
// change was not accepted holds entries that the record still has.
func (h *Holder) archived(ctx context.Context, before int64) ([]config.Audit, error) {
	keys, err := h.options.Store.List(ctx, kv.UseStatus, config.ArchivePrefix(h.options.Deployment))
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
