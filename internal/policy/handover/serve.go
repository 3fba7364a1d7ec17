package handover

import (
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// ledgerFor returns the ledger of an admitted pull's session, or nil if the session was
// superseded since.
func (o *Owner) ledgerFor(p pendingPull) *Ledger {
	switch {
	case p.token.Session == o.confirmed.Session:
		return o.confirmed
	case o.unconfirmed != nil && p.token.Session == o.unconfirmed.Session:
		return o.unconfirmed
	default:
		return nil
	}
}

// servePulls answers the pulls for which a lot is ready.
func (o *Owner) servePulls(now time.Time) []Action {
	var acts []Action
	kept := o.pulls[:0:0]
	for _, p := range o.pulls {
		act, done := o.servePull(now, p, o.cfg.LotSize)
		if !done {
			kept = append(kept, p)
			continue
		}
		acts = append(acts, act)
	}
	o.pulls = kept
	return acts
}

// servePull answers or refuses a pull. It returns false if fewer than minSamples samples are
// ready, unless those are all that the step still needs.
func (o *Owner) servePull(now time.Time, p pendingPull, minSamples int) (Action, bool) {
	ledger := o.ledgerFor(p)
	if ledger == nil {
		return Refuse{Call: p.call, Reason: Superseded}, true
	}
	if ledger.Cursor() != p.pull.Cursor {
		return Refuse{Call: p.call, Reason: Late}, true
	}
	lot := o.lotFor(now, ledger, minSamples)
	if len(lot) == 0 {
		return nil, false
	}
	o.counters.Handed += int64(len(lot))
	answer := Answer{
		Cursor:       p.pull.Cursor + 1,
		Token:        o.tokenFor(p).String(),
		Samples:      lot,
		Recorded:     o.recordedCursorFor(p),
		Step:         ledger.Step(),
		StepComplete: len(lot) == ledger.Remaining(),
	}
	return Reply{Call: p.call, Answer: answer}, true
}

// lotFor returns the lot that follows a ledger's cursor. If it was sent before, it returns
// the same lot, without the samples that have become too old since. The trainer may have
// accepted the earlier answer, and its next pull shows which one.
func (o *Owner) lotFor(now time.Time, ledger *Ledger, minSamples int) []sample.Sample {
	sent := o.lastSent.cursor == ledger.Cursor() && o.lastSent.step == ledger.Step()
	if sent && len(o.lastSent.ids) > 0 {
		o.dropStale(now)
		if lot := o.pick(ledger, o.lastSentSamples()); len(lot) > 0 {
			o.counters.Repeats++
			return lot
		}
	}
	minSamples = min(minSamples, ledger.Remaining())
	if o.pool.countByStep[ledger.Step()] < minSamples {
		return nil
	}
	o.dropStale(now)
	lot := o.pick(ledger, o.readySamples(ledger))
	if len(lot) < minSamples {
		return nil
	}
	o.lastSent = sentLot{
		cursor:   ledger.Cursor(),
		step:     ledger.Step(),
		ids:      idsOf(lot),
		complete: len(lot) == ledger.Remaining(),
	}
	return lot
}

// lastSentSamples returns the samples of the lot sent last that are still in the pool.
func (o *Owner) lastSentSamples() []sample.Sample {
	var lot []sample.Sample
	for _, id := range o.lastSent.ids {
		if o.pool.has(id) {
			lot = append(lot, o.pool.samples[id])
		}
	}
	return lot
}

// pick returns the first of the ready samples that the trainer of the ledger needs: at most
// LotSize, and of each group no more than are handed over.
func (o *Owner) pick(ledger *Ledger, ready []sample.Sample) []sample.Sample {
	countByGroup := map[int64]int{}
	shape := ledger.ShapeOf(ledger.Step())
	var lot []sample.Sample
	for _, s := range ready {
		if len(lot) == o.cfg.LotSize {
			break
		}
		free := shape.Size - ledger.GroupHeld(int(s.ID.Group)) - countByGroup[s.ID.Group]
		if !ledger.Needs(s.ID) || free <= 0 {
			continue
		}
		countByGroup[s.ID.Group]++
		lot = append(lot, s)
	}
	return lot
}

// readySamples returns the samples in the pool of the ledger's step. The oldest come first,
// as they become too old first.
func (o *Owner) readySamples(ledger *Ledger) []sample.Sample {
	shape := ledger.ShapeOf(ledger.Step())
	var ready []sample.Sample
	for id, s := range o.pool.samples {
		if id.Step == ledger.Step() && shape.Slot(id) >= 0 {
			ready = append(ready, s)
		}
	}
	sort.Slice(ready, func(i, j int) bool { return older(shape, ready[i], ready[j]) })
	return ready
}

// older reports whether a must be handed over before b.
func older(shape sample.Shape, a, b sample.Sample) bool {
	va, vb := a.OldestVersion(), b.OldestVersion()
	if va != vb {
		return va < vb
	}
	if !a.FirstTokenAt.Equal(b.FirstTokenAt) {
		return a.FirstTokenAt.Before(b.FirstTokenAt)
	}
	return shape.Slot(a.ID) < shape.Slot(b.ID)
}

func idsOf(lot []sample.Sample) []sample.ID {
	ids := make([]sample.ID, len(lot))
	for i, s := range lot {
		ids[i] = s.ID
	}
	return ids
}
