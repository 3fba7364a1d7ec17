package confstate

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/config"
)

// flushTimeout limits the time for writing refused changes during a planned
// stop.
const flushTimeout = time.Second

// RecordRefused adds a change that was not accepted, or whose outcome is
// unknown, to the audit trail. It doesn't wait for the key-value service.
func (st *State) RecordRefused(r config.RefusedChanges) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.refusedLog.Append(time.Now(), r)
}

// Refused returns the changes that were refused or whose outcome is unknown, as
// far as they have been written to the key-value service, and the number of
// further ones that are not listed.
func (st *State) Refused(ctx context.Context) ([]config.RefusedChanges, int64, error) {
	found, err := st.options.Store.List(ctx, kv.UseStatus, config.RefusedPrefix(st.options.Deployment))
	if err != nil {
		return nil, 0, err
	}
	var all []config.RefusedChanges
	dropped := int64(0)
	for _, record := range found {
		decoded, err := config.DecodeRefused(record.Value)
		if err != nil {
			return nil, 0, err
		}
		all = append(all, decoded.Groups...)
		dropped += decoded.Dropped
	}
	return all, dropped, nil
}

// writeRefused writes the refused changes that are due. Its calls have the
// lowest priority, so that a flood of refused changes delays nothing else.
func (st *State) writeRefused(ctx context.Context) {
	st.mu.Lock()
	step := st.refusedLog.Tick(time.Now())
	st.mu.Unlock()
	if step.Kind != config.StepDone {
		go st.runRefusedSteps(ctx, step)
	}
}

// flushRefused writes the pending refused changes before the process ends.
func (st *State) flushRefused(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	st.mu.Lock()
	step := st.refusedLog.Flush(time.Now())
	st.mu.Unlock()
	st.runRefusedSteps(ctx, step)
}

func (st *State) runRefusedSteps(ctx context.Context, step config.Step) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for step.Kind != config.StepDone {
		step = st.runRefusedStep(ctx, step)
	}
}

func (st *State) runRefusedStep(ctx context.Context, step config.Step) config.Step {
	if step.Kind == config.StepRead {
		found, err := st.options.Store.Get(ctx, kv.UseStatus, step.Key)
		var record config.RefusedRecord
		if err == nil {
			record, err = config.DecodeRefused(found.Value)
		}
		st.mu.Lock()
		defer st.mu.Unlock()
		return st.refusedLog.ReadDone(record, found.Revision, err == nil)
	}
	swapped, _, err := st.options.Store.CompareAndSwap(ctx, kv.UseStatus, kv.Write{Key: step.Key, ExpectedRevision: step.Expected, Value: step.Value})
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.refusedLog.WriteDone(time.Now(), writeOutcome(swapped, err), st.rnd)
}

func writeOutcome(swapped bool, err error) config.WriteOutcome {
	switch {
	case errors.Is(err, kv.ErrUnknown):
		return config.WriteIndeterminate
	case err != nil:
		return config.WriteNotApplied
	case swapped:
		return config.WriteSwapped
	default:
		return config.WriteConflict
	}
}
