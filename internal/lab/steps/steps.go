// Package steps replays trainers' steps in virtual time: batches of items that are
// submitted together, engines that slow down with the number of their runs, and
// inaccurate estimates of lengths. The decisions are made by the product's own code
// (policy/batch, policy/schedule and policy/endpoints).
//
// The replay leaves out prompts, scores, the store and its durable writes, faults,
// and loads of weights except that some engines cannot serve a new step at first.
package steps

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/schedule"
)

// Trainer is the load of one trainer.
type Trainer struct {
	Groups     int
	GroupSize  int
	WantGroups int           // number of complete groups that a step needs
	MeanEvents float64       // mean number of events of a text, leaving out the long texts
	MaxEvents  int64         // largest number of events of a text
	TrainTime  time.Duration // time to train on a step
}

// Load describes a deployment and its trainers.
type Load struct {
	Seed         uint64
	Engines      int
	Slots        int
	EventTime    time.Duration // time of an event at an engine with a single run
	Slowdown     float64       // share by which an event takes longer in a full batch
	StepInterval time.Duration // scheduled time between the steps of a trainer
	Trainers     []Trainer
	Steps        int
	// EngineLoadTime is how long half of the engines cannot serve a new step, because
	// they are loading its weights.
	EngineLoadTime time.Duration
	InitialDelay   time.Duration // delay of the second step of each trainer behind its schedule
}

// Options switches mechanisms off, to compare results without them.
type Options struct {
	PlaceByLoad     bool // choose engines by their load alone, not by the delay of steps
	DisableMoves    bool // never move a run to another engine
	MoveNonCritical bool // move runs even if no step waits for them
}

// Outcome holds the results of one trainer.
type Outcome struct {
	StepTimes []time.Duration // time of each step from its submission until enough groups were complete
	Delays    []time.Duration // delay of the submission of each step behind its schedule
	// MinStepTimes is a lower bound of each step's time: the time of the longest text
	// that the step needed, at an engine with a single run.
	MinStepTimes []time.Duration
	Moves        int // number of moved runs
}

const (
	tick = 5 * time.Millisecond
	// hintSigma is the standard deviation of the logarithm of the estimates' error.
	hintSigma = 0.5
	// longShare of the texts are longFactor times as long as the others.
	longShare, longFactor = 0.08, 5.0
	lengthSigma           = 0.84 // standard deviation of the logarithm of the lengths
	tokensPerEvent        = 49
	model                 = "m"
	// Every moveCheckEvents events, a run may move to an engine with a gain of at least
	// minMoveGain (see endpoints.Set.HasLessLoaded).
	moveCheckEvents, minMoveGain = 8, 8.0
)

// run is the generation of one text at an engine.
type run struct {
	job       *job
	item      int
	engine    *endpoints.State
	placement endpoints.Placement
	events    int64         // events generated so far
	untilNext time.Duration // time until the next event
	total     int64         // events of the complete text
}

// job is one step of a trainer.
type job struct {
	*batch.Job
	trainer     int
	step        int
	submitted   time.Time
	lengths     []int64
	resubmitted int // number of groups of earlier steps submitted again; they come first
	complete    bool
}

// world is the state of one replay.
type world struct {
	load      Load
	options   Options
	random    *rand.Rand
	start     time.Time
	now       time.Time
	set       *endpoints.Set
	runs      []*run
	open      []*job
	trainers  []*trainer
	lengths   *batch.LengthEstimator
	totalLoad schedule.Load // as of the last dispatch
}

// trainer is the state of one trainer.
type trainer struct {
	Trainer
	submitted  int         // number of steps submitted so far
	trainedAt  []time.Time // time when the training of each step ended
	incomplete [][]int64   // lengths of the texts of groups that were incomplete when their step ended
	Outcome
}

// Replay replays the load and returns the outcome of each trainer.
func Replay(load Load, options Options) []Outcome {
	w := &world{load: load, options: options, random: rand.New(rand.NewPCG(load.Seed, 11)), start: time.Unix(1000, 0), set: endpoints.NewSet("owner"), lengths: batch.NewLengthEstimator()}
	w.now = w.start
	for i := range load.Engines {
		w.set.Put(deployment.Endpoint{ID: fmt.Sprintf("e%03d", i), Slots: load.Slots, Versions: map[string]int64{model: 1}})
	}
	for _, t := range load.Trainers {
		w.trainers = append(w.trainers, &trainer{Trainer: t})
	}
	for !w.finished() {
		w.submit()
		w.dispatch()
		w.advance()
		w.now = w.now.Add(tick)
	}
	outcomes := make([]Outcome, len(w.trainers))
	for i, t := range w.trainers {
		outcomes[i] = t.Outcome
	}
	return outcomes
}

func (w *world) finished() bool {
	for _, t := range w.trainers {
		if len(t.StepTimes) < w.load.Steps {
			return false
		}
	}
	return true
}

// submit submits each step that is due according to its schedule, once the training
// on the step two before it has ended.
func (w *world) submit() {
	for i, t := range w.trainers {
		for t.submitted < w.load.Steps {
			due := w.start.Add(time.Duration(t.submitted) * w.load.StepInterval)
			ready := due.Add(w.load.InitialDelay * time.Duration(min(1, t.submitted)))
			if t.submitted >= 2 {
				if len(t.trainedAt) < t.submitted-1 {
					break
				}
				ready = due
				if trained := t.trainedAt[t.submitted-2]; trained.After(ready) {
					ready = trained
				}
			}
			if w.now.Before(ready) {
				break
			}
			t.Delays = append(t.Delays, w.now.Sub(due))
			w.open = append(w.open, w.draw(i, t))
			t.submitted++
		}
	}
}

// draw draws the texts of a step and their estimates.
func (w *world) draw(index int, t *trainer) *job {
	body := distuv.LogNormal{Mu: 0, Sigma: lengthSigma, Src: w.random}
	errs := distuv.LogNormal{Mu: 0, Sigma: hintSigma, Src: w.random}
	scale := t.MeanEvents / body.Mean()
	spec := &batch.Spec{ID: fmt.Sprintf("t%d-%d", index, t.submitted), Model: model, WantGroups: t.WantGroups, Submitted: w.now}
	j := &job{trainer: index, step: t.submitted, submitted: w.now}
	j.resubmitted = min(len(t.incomplete), t.WantGroups/2)
	earlier := t.incomplete[:j.resubmitted]
	t.incomplete = t.incomplete[j.resubmitted:]
	for g := range t.Groups {
		for k := range t.GroupSize {
			events := drawLength(scale*body.Rand(), w.random.Float64() < longShare, t.MaxEvents)
			if g < len(earlier) {
				events = earlier[g][k]
			}
			j.lengths = append(j.lengths, events)
			spec.Items = append(spec.Items, batch.Item{
				ID: fmt.Sprintf("%s-%d", spec.ID, len(spec.Items)), Group: fmt.Sprint(g),
				LengthHint: max(1, int(float64(events*tokensPerEvent)*errs.Rand())), MaxTokens: int(t.MaxEvents) * tokensPerEvent,
			})
		}
	}
	j.Job = batch.NewJob(spec, nil)
	j.SetEstimator(w.lengths)
	t.MinStepTimes = append(t.MinStepTimes, time.Duration(requiredEvents(j, t.Trainer))*w.load.EventTime)
	return j
}

func drawLength(length float64, long bool, maxEvents int64) int64 {
	if long {
		length *= longFactor
	}
	return min(maxEvents, max(1, int64(length)))
}

// requiredEvents returns the events of the longest text that a step needs: it leaves
// out the groups with the longest texts, as many as the step can do without.
func requiredEvents(j *job, t Trainer) int64 {
	longest := make([]int64, t.Groups)
	for i, events := range j.lengths {
		longest[i/t.GroupSize] = max(longest[i/t.GroupSize], events)
	}
	for range t.Groups - t.WantGroups {
		longestGroup := j.resubmitted
		for g := j.resubmitted; g < len(longest); g++ {
			if longest[g] > longest[longestGroup] {
				longestGroup = g
			}
		}
		longest[longestGroup] = 0
	}
	maxEvents := int64(0)
	for _, events := range longest {
		maxEvents = max(maxEvents, events)
	}
	return maxEvents
}

// dispatch starts runs while there is room, as an owner of all jobs does.
func (w *world) dispatch() {
	pace := w.set.TypicalPace()
	views := make([]schedule.Job, len(w.open))
	for i, j := range w.open {
		work, longest := j.TotalRemainingWork()
		views[i] = schedule.Job{Age: w.now.Sub(j.submitted).Seconds(), Work: work, Longest: longest, EventSeconds: pace}
	}
	load := schedule.TotalLoad(views)
	w.totalLoad = load
	blocked := make([]bool, len(w.open))
	for {
		var waiting []schedule.Candidate
		var from []int
		var items []batch.Candidate
		for i, j := range w.open {
			if item, found := j.Next(w.now); found && !blocked[i] {
				waiting = append(waiting, schedule.Candidate{Job: &views[i], RemainingWork: item.RemainingWork, Spare: item.Spare})
				from, items = append(from, i), append(items, item)
			}
		}
		chosen := schedule.Choose(waiting)
		if chosen < 0 {
			return
		}
		i := from[chosen]
		blocked[i] = !w.startRun(w.open[i], &views[i], items[chosen], &load)
	}
}

func (w *world) startRun(j *job, view *schedule.Job, item batch.Candidate, load *schedule.Load) bool {
	request := endpoints.Request{Now: w.now, Model: model, MinVersion: 1, RequireFreeSlot: true, Tried: w.loadingEngines(j)}
	if !w.options.PlaceByLoad {
		weight := load.Weight(view, item.RemainingWork, item.Spare)
		request.Placement = endpoints.Placement{RemainingWork: item.RemainingWork, Weight: weight, Critical: weight >= schedule.CriticalWeight, CriticalBatchLimit: load.CriticalBatchLimit(view, w.load.Engines)}
	}
	engine := w.set.Pick(request)
	if engine == nil {
		return false
	}
	start := j.StartRun(item.Index)
	w.runs = append(w.runs, &run{job: j, item: item.Index, engine: engine, placement: request.Placement, total: j.lengths[item.Index], events: start.ResumeAfter})
	return true
}

// loadingEngines returns the engines that are still loading the weights of the step.
func (w *world) loadingEngines(j *job) []string {
	if w.now.Sub(j.submitted) >= w.load.EngineLoadTime {
		return nil
	}
	var loading []string
	for i, e := range w.set.All() {
		if i%2 == j.step%2 {
			loading = append(loading, e.ID)
		}
	}
	return loading
}

// advance advances all runs by one tick.
func (w *world) advance() {
	active := w.runs[:0]
	for _, r := range w.runs {
		if !w.advanceRun(r) {
			active = append(active, r)
		}
	}
	w.runs = active
	unfinished := w.open[:0]
	for _, j := range w.open {
		if w.completeStep(j); !j.complete {
			unfinished = append(unfinished, j)
		}
	}
	w.open = unfinished
}

// advanceRun generates the events of a run within one tick and reports whether the
// run ended.
func (w *world) advanceRun(r *run) bool {
	if r.job.complete {
		w.end(r, batch.RunInterrupted)
		return true
	}
	r.untilNext -= tick
	for r.untilNext <= 0 {
		fullness := float64(r.engine.InFlight-1) / float64(w.load.Slots)
		event := time.Duration(float64(w.load.EventTime) * (1 + w.load.Slowdown*fullness))
		r.untilNext += event
		r.events++
		r.engine.ObservePace(event.Seconds())
		r.job.AddEvent(r.item, r.events, nil, 1)
		if r.events >= r.total {
			w.end(r, batch.RunComplete)
			return true
		}
		if !w.options.DisableMoves && r.events%moveCheckEvents == 0 && w.shouldMove(r) {
			w.end(r, batch.RunCancelledToMove)
			return true
		}
	}
	return false
}

// shouldMove reports whether a run should move to an engine with less load.
func (w *world) shouldMove(r *run) bool {
	request := endpoints.Request{Now: w.now, Model: model, MinVersion: 1, Tried: w.loadingEngines(r.job)}
	request.RemainingWork = r.job.RemainingWork(r.item)
	view := schedule.Job{Age: w.now.Sub(r.job.submitted).Seconds(), EventSeconds: w.set.TypicalPace()}
	if !w.options.MoveNonCritical && !w.totalLoad.IsCritical(&view, request.RemainingWork, r.job.Spare(r.item)) {
		return false
	}
	return w.set.HasLessLoaded(request, r.engine, minMoveGain)
}

func (w *world) end(r *run, outcome batch.RunOutcome) {
	if outcome == batch.RunCancelledToMove {
		w.trainers[r.job.trainer].Moves++
	}
	r.engine.ReleasePlacement(&r.placement)
	r.engine.End(w.now, endpoints.Answered, time.Second, 0)
	r.job.RunEnded(w.now, r.item, outcome, "")
}

// completeStep records the end of a step if its groups are complete.
func (w *world) completeStep(j *job) {
	t := w.trainers[j.trainer]
	if j.CompleteGroups() < t.WantGroups {
		return
	}
	complete := completeGroups(j, t.Trainer)
	if slices.Contains(complete[:j.resubmitted], false) {
		return
	}
	j.complete = true
	j.Close()
	for g, isComplete := range complete {
		if !isComplete {
			t.incomplete = append(t.incomplete, j.lengths[g*t.GroupSize:(g+1)*t.GroupSize])
		}
	}
	t.StepTimes = append(t.StepTimes, w.now.Sub(j.submitted))
	trained := w.now
	if n := len(t.trainedAt); n > 0 && t.trainedAt[n-1].After(trained) {
		trained = t.trainedAt[n-1]
	}
	t.trainedAt = append(t.trainedAt, trained.Add(t.TrainTime))
}

// completeGroups returns for each group whether all its texts are complete.
func completeGroups(j *job, t Trainer) []bool {
	complete := make([]bool, t.Groups)
	for g := range complete {
		complete[g] = true
	}
	for i := range j.lengths {
		if j.RemainingWork(i) > 0 {
			complete[i/t.GroupSize] = false
		}
	}
	return complete
}
