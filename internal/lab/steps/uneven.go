package steps

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/schedule"
)

// eventTime returns the time of the next event of a run at the engine.
func (w *world) eventTime(e *endpoints.State) time.Duration {
	event := float64(w.load.EventTime)
	if w.fast[e.ID] {
		event = float64(w.load.FastEventTime)
	}
	if w.load.NoiseShare > 0 && w.isNoisy(e.ID, int(w.now.Sub(w.start)/noiseInterval)) {
		event *= w.load.NoiseFactor
	}
	return time.Duration(event * (1 + w.load.Slowdown*float64(e.InFlight-1)/float64(w.load.Slots)))
}

// isNoisy reports whether an engine is slower in an interval.
func (w *world) isNoisy(id string, interval int) bool {
	for len(w.noise[id]) <= interval {
		w.noise[id] = append(w.noise[id], w.random.Float64() < w.load.NoiseShare)
	}
	return w.noise[id][interval]
}

// observe records the time of an event. Engines of equal speed are observed with each event,
// others as in the product, at the end of a run.
func (r *run) observe(seconds float64, uneven bool) {
	r.generated++
	if r.generated == 1 {
		r.pace = seconds
	}
	r.pace += (seconds - r.pace) * paceWeight
	if !uneven {
		r.engine.ObservePace(seconds)
	}
}

// move moves a run if it should move, and reports whether it did.
func (w *world) move(r *run) bool {
	if _, byTime := w.set.UnevenSpeeds(w.now); byTime {
		return r.generated > moveCheckEvents && r.generated%slowCheckEvents == 0 && w.moveByTime(r)
	}
	if r.events%moveCheckEvents == 0 && w.shouldMove(r) || w.load.uneven() && w.isTooSlow(r) {
		w.end(r, batch.RunCancelledToMove)
		return true
	}
	return false
}

// moveByTime moves a run to an engine where its text ends sooner.
func (w *world) moveByTime(r *run) bool {
	speeds, _ := w.set.UnevenSpeeds(w.now)
	request := endpoints.Request{Now: w.now, Model: model, MinVersion: 1, Tried: w.loadingEngines(r.job)}
	view := schedule.Job{Age: w.now.Sub(r.job.submitted).Seconds(), EventSeconds: speeds.Fast, TypicalSeconds: w.set.RunSeconds(r.engine, endpoints.Measured{})}
	remaining := r.job.RemainingWork(r.item)
	spare := r.job.Spare(r.item)
	request.Placement = endpoints.Placement{RemainingWork: remaining, Weight: w.totalLoad.Weight(&view, remaining, spare), Critical: w.totalLoad.WaitsFor(&view, remaining, spare)}
	move, found := w.set.PickFaster(request, r.engine, endpoints.Run{MoveSeconds: w.load.PromptTime.Seconds(), Promised: r.promised})
	if !found {
		return false
	}
	w.end(r, batch.RunCancelledToMove)
	w.begin(r.job, r.item, move.To, request.Placement, move.UnitSeconds)
	return true
}

// isTooSlow reports whether a run should move to a faster engine, by its own pace.
func (w *world) isTooSlow(r *run) bool {
	if r.generated < moveCheckEvents || r.generated%slowCheckEvents != 0 {
		return false
	}
	request := endpoints.Request{Now: w.now, Model: model, MinVersion: 1, Tried: w.loadingEngines(r.job)}
	return w.set.HasFaster(request, r.engine, r.pace)
}
