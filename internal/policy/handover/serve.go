package handover

import (
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// ledgerFor returns what the trainer of an admitted pull holds; nil if its
// session was given up since.
func (o *Owner) ledgerFor(w waiting) *Ledger {
	switch {
	case w.token.Session == o.truth.Session:
		return o.truth
	case o.opened != nil && w.token.Session == o.opened.Session:
		return o.opened
	default:
		return nil
	}
}

// serve answers the pulls for which a lot is ready.
func (o *Owner) serve(now time.Time) []Action {
	var acts []Action
	kept := o.waits[:0:0]
	for _, w := range o.waits {
		act, done := o.serveOne(now, w, o.cfg.LotSize)
		if !done {
			kept = append(kept, w)
			continue
		}
		acts = append(acts, act)
	}
	o.waits = kept
	return acts
}

// serveOne answers a pull once at least samples are ready for it, or all that
// its step still needs.
func (o *Owner) serveOne(now time.Time, w waiting, least int) (Action, bool) {
	ledger := o.ledgerFor(w)
	if ledger == nil {
		return Refuse{Call: w.call, Reason: Superseded}, true
	}
	if ledger.Cursor() != w.pull.Cursor {
		return Refuse{Call: w.call, Reason: Late}, true
	}
	lot := o.lotFor(now, ledger, least)
	if len(lot) == 0 {
		return nil, false
	}
	o.counters.Handed += int64(len(lot))
	answer := Answer{
		Cursor:       w.pull.Cursor + 1,
		Token:        o.tokenFor(w).String(),
		Samples:      lot,
		Recorded:     o.recordedFor(w),
		Step:         ledger.Step(),
		StepComplete: len(lot) == ledger.Remaining(),
	}
	return Reply{Call: w.call, Answer: answer}, true
}

// lotFor returns the lot that follows a ledger's cursor: the same as before if
// it was given already, without the samples that have become too old meanwhile.
// The trainer may still hold the earlier answer; its next pull tells which.
func (o *Owner) lotFor(now time.Time, ledger *Ledger, least int) []sample.Sample {
	given := o.last.cursor == ledger.Cursor() && o.last.step == ledger.Step()
	if given && len(o.last.ids) > 0 {
		o.dropStale(now)
		if lot := o.pick(ledger, o.given()); len(lot) > 0 {
			o.counters.Repeats++
			return lot
		}
	}
	least = min(least, ledger.Remaining())
	if o.pool.perStep[ledger.Step()] < least {
		return nil
	}
	o.dropStale(now)
	lot := o.pick(ledger, o.ready(ledger))
	if len(lot) < least {
		return nil
	}
	o.last = offer{
		cursor:   ledger.Cursor(),
		step:     ledger.Step(),
		ids:      idsOf(lot),
		complete: len(lot) == ledger.Remaining(),
	}
	return lot
}

func (o *Owner) given() []sample.Sample {
	var lot []sample.Sample
	for _, id := range o.last.ids {
		if o.pool.has(id) {
			lot = append(lot, o.pool.samples[id])
		}
	}
	return lot
}

// pick chooses from ready, in its order, what the ledger's trainer does not
// hold: at most a lot, and of each group no more than are handed over.
func (o *Owner) pick(ledger *Ledger, ready []sample.Sample) []sample.Sample {
	taken := map[int64]int{}
	shape := ledger.ShapeOf(ledger.Step())
	var lot []sample.Sample
	for _, s := range ready {
		if len(lot) == o.cfg.LotSize {
			break
		}
		room := shape.Size - ledger.GroupHeld(int(s.ID.Group)) - taken[s.ID.Group]
		if !ledger.Needs(s.ID) || room <= 0 {
			continue
		}
		taken[s.ID.Group]++
		lot = append(lot, s)
	}
	return lot
}

// ready returns the complete samples of the ledger's step. The oldest go first,
// as they age out first.
func (o *Owner) ready(ledger *Ledger) []sample.Sample {
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
