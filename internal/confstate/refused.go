package confstate

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/config"
)

// lastFlush bounds the write of refused changes at a planned stop.
const lastFlush = time.Second

// NoteRefused puts a change that was not accepted, or whose outcome is unknown,
// into the audit trail. It does not wait for the platform's service.
func (h *Holder) NoteRefused(r config.RefusedChanges) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.journal.Append(time.Now(), r)
}

// Refused returns the changes that were refused or whose outcome was unknown, as
// far as they have reached the platform's service, and how many more there were
// that are not listed.
func (h *Holder) Refused(ctx context.Context) ([]config.RefusedChanges, int64, error) {
	found, err := h.options.Store.List(ctx, kv.UseStatus, config.RefusedPrefix(h.options.Deployment))
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
// lowest priority of all, so that a flood of refused changes delays nothing.
func (h *Holder) writeRefused(ctx context.Context) {
	h.mu.Lock()
	step := h.journal.Tick(time.Now())
	h.mu.Unlock()
	if step.Kind != config.StepDone {
		go h.carryOutRefused(ctx, step)
	}
}

// stopRefused writes what waits before the process ends.
func (h *Holder) stopRefused(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastFlush)
	defer cancel()
	h.mu.Lock()
	step := h.journal.Flush(time.Now())
	h.mu.Unlock()
	h.carryOutRefused(ctx, step)
}

func (h *Holder) carryOutRefused(ctx context.Context, step config.Step) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for step.Kind != config.StepDone {
		step = h.refusedStep(ctx, step)
	}
}

func (h *Holder) refusedStep(ctx context.Context, step config.Step) config.Step {
	if step.Kind == config.StepRead {
		found, err := h.options.Store.Get(ctx, kv.UseStatus, step.Key)
		var record config.RefusedRecord
		if err == nil {
			record, err = config.DecodeRefused(found.Value)
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.journal.ReadDone(record, found.Revision, err == nil)
	}
	swapped, _, err := h.options.Store.CompareAndSwap(ctx, kv.UseStatus, kv.Write{Key: step.Key, ExpectedRevision: step.Expected, Value: step.Value})
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.journal.WriteDone(time.Now(), writeOutcome(swapped, err), h.rnd)
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
