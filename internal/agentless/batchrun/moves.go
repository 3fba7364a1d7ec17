package batchrun

import (
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/schedule"
)

// nextRun is where a text continues after its run was cancelled to move it. Its slot is held
// from the decision on, so that no other run takes it meanwhile.
type nextRun struct {
	pick *directory.Pick
	move endpoints.Move
}

// reasonToMove returns why the run should be cancelled to move the text, or nil. Where the
// speeds of engines are uneven, one decision by time replaces those about slow and crowded
// engines.
func (r *itemRun) reasonToMove() error {
	if r.generated%slowCheckEvents != 0 && !r.pace.sectionEnded() {
		return nil
	}
	now := time.Now()
	if seconds, speeds, byTime := r.pick.RunSeconds(now, r.pace.recent()); byTime {
		if r.endsSoonerElsewhere(now, seconds, speeds) {
			return errEndsSooner
		}
		return nil
	}
	if r.tooSlow() {
		return errTooSlow
	}
	if r.crowded() {
		return errCrowded
	}
	return nil
}

// endsSoonerElsewhere reports whether a step waits for the text and another engine would complete
// it sooner by more than the price of the move. It then holds a slot of that engine. seconds is
// the expected time per event at the current engine.
func (r *itemRun) endsSoonerElsewhere(now time.Time, seconds float64, speeds endpoints.SpeedLevels) bool {
	load := r.owner.lastLoad.Load()
	if load == nil || !r.mayMove() || !r.owner.Switches.On(mechanism.MoveSlow) && !r.owner.Switches.On(mechanism.MoveCrowded) {
		return false
	}
	request := engineRequest(r.job.job.Spec, r.start, now)
	request.Placement, request.Version = r.placementHere(now, load, seconds, speeds)
	if !request.Critical {
		return false
	}
	pick, move := r.pick.PickFaster(request, endpoints.Run{Measured: r.pace.recent(), MoveSeconds: r.owner.moveTimes.typical().Seconds(), Promised: r.promised})
	if pick == nil {
		return false
	}
	r.next = &nextRun{pick, move}
	return true
}

// mayMove reports whether the run has enough events for a decision. The first run of a text may
// move after one section, which has few events if the engine has become much slower.
func (r *itemRun) mayMove() bool {
	_, measured := r.pace.measured()
	return measured || r.promised == 0 && r.pace.sections > 0
}

// placementHere returns the data by which the text is placed, as it would end at its current
// engine, and the only version that may continue it, 0 if any may. A run that began without a
// version may have one by now.
func (r *itemRun) placementHere(now time.Time, load *schedule.Load, seconds float64, speeds endpoints.SpeedLevels) (p endpoints.Placement, version int64) {
	spec := r.job.job.Spec
	view := schedule.Job{Age: now.Sub(spec.Submitted).Seconds(), Due: dueSeconds(spec), EventSeconds: speeds.Fast, TypicalSeconds: seconds}
	r.job.mu.Lock()
	remaining, spare := r.job.job.RemainingWork(r.start.Index), r.job.job.Spare(r.start.Index)
	version = r.job.job.RequiredVersion(r.start.Index)
	r.job.mu.Unlock()
	return endpoints.Placement{RemainingWork: remaining, Weight: load.Weight(&view, remaining, spare), Critical: load.WaitsFor(&view, remaining, spare)}, version
}

// continueElsewhere starts the run at the engine that was picked for a text, and returns nil if
// the text cannot continue. The job's lock must be held.
func (r *itemRun) continueElsewhere(now time.Time, outcome batch.RunOutcome) *itemRun {
	if r.next == nil {
		return nil
	}
	i := r.start.Index
	job := r.job.job
	if outcome != batch.RunCancelledToMove || job.Closed() || job.RemainingWork(i) == 0 {
		r.next.pick.End(now, endpoints.Cancelled, 0, 0)
		return nil
	}
	start := job.StartRun(i)
	job.RunPlaced(now, i)
	return &itemRun{owner: r.owner, job: r.job, start: start, pick: r.next.pick, began: now, promised: r.next.move.UnitSeconds}
}

// logMove logs the decision to move the text.
func (r *itemRun) logMove() {
	r.owner.stats.movedByTime.Inc(1)
	events.ItemMoved.Log(r.owner.Log, logrus.Fields{
		"job": r.job.id, "request": r.job.job.Spec.Items[r.start.Index].ID, "from": r.pick.ID, "to": r.next.pick.ID, "events": r.generated,
		"gain_ms": int64(1000 * r.next.move.Gain), "event_ms": int64(1000 * r.next.move.UnitSeconds), "price_ms": r.owner.moveTimes.typical().Milliseconds(),
	})
}

const (
	// defaultMoveTime is the price of a move until runs have been measured.
	defaultMoveTime = 100 * time.Millisecond
	// moveTimeWeight is the weight of a new run in the running mean.
	moveTimeWeight = 0.05
	// maxMoveTime bounds one observation. A run that waits for its engine's weights takes
	// seconds to its first event, which says nothing about the price of a move.
	maxMoveTime = 500 * time.Millisecond
)

// moveTimes tracks the time from the start of a run to its first event: the connection, and the
// processing of the prompt and the text so far.
type moveTimes struct{ mean meanTime }

func (t *moveTimes) observe(took time.Duration) { t.mean.add(min(took, maxMoveTime), moveTimeWeight) }

// typical returns the expected price of a move.
func (t *moveTimes) typical() time.Duration {
	if mean := t.mean.value(); mean > 0 {
		return mean
	}
	return defaultMoveTime
}
