// Package steps replays trainers' steps in virtual time: batches of items that
// arrive at once, at engines that are slower the more they run, with estimates of
// lengths that err. Between them stand the decisions of the product's batch jobs
// themselves (policy/batch, schedule and endpoints).
//
// What it leaves out: loads of weights but for the engines that cannot serve a
// step at first, prompts, scores, the store and its durable writes, and faults.
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

// Trainer is one trainer's load.
type Trainer struct {
	Groups    int
	GroupSize int
	Want      int     // groups that a step needs
	Mean      float64 // events of a text that is none of the long ones
	Longest   int64   // most events of a text
	Train     time.Duration
}

// Load is a deployment with its trainers.
type Load struct {
	Seed     uint64
	Engines  int
	Slots    int
	Event    time.Duration // an event's time at an engine without others
	Slowdown float64       // share by which a full batch is slower
	Period   time.Duration // between a trainer's steps on schedule
	Trainers []Trainer
	Steps    int
	// LateEngines is how long half of the engines cannot serve a new step, as they
	// load its weights.
	LateEngines time.Duration
	Behind      time.Duration // that the trainers are behind their schedules at first
}

// Decisions are the mechanisms that may be left out.
type Decisions struct {
	ByLoad  bool // engines are chosen by their load alone, not by delay
	NoMoves bool // runs stay where they began
	MoveAny bool // runs move though no step waits for them
}

// Outcome is what became of one trainer's steps.
type Outcome struct {
	Took []time.Duration // from a step's submission until enough groups were whole
	Slip []time.Duration // of each step's submission behind its schedule
	// Bound is the least time that each step could have taken: the longest of the
	// texts that it needed at an engine without others.
	Bound []time.Duration
	Moves int // of its runs
}

const (
	tick = 5 * time.Millisecond
	// hintSpread is how far estimates are off, in units of the logarithm.
	hintSpread = 0.5
	// tailShare of the texts are tailTimes as long as the others.
	tailShare, tailTimes = 0.08, 5.0
	bodySpread           = 0.84
	tokensAnEvent        = 49
	model                = "m"
	moveEvery, moveGain  = 8, 8.0
)

type run struct {
	job    *job
	item   int
	engine *endpoints.State
	placed endpoints.Placement
	made   int64
	left   time.Duration // until the next event
	total  int64
}

type job struct {
	*batch.Job
	trainer int
	step    int
	asked   time.Time
	lengths []int64
	carried int // groups that came again, the first ones
	whole   bool
}

// world is one replay.
type world struct {
	load      Load
	decisions Decisions
	random    *rand.Rand
	start     time.Time
	now       time.Time
	set       *endpoints.Set
	runs      []*run
	open      []*job
	trainers  []*trainer
	lengths   *batch.LengthEstimator
	survey    schedule.Load // as of the last dispatch
}

type trainer struct {
	Trainer
	asked int         // steps submitted so far
	named []time.Time // when each step's training ended
	again [][]int64   // lengths of the texts of groups that were not whole
	Outcome
}

// Replay plays the load.
func Replay(load Load, decisions Decisions) []Outcome {
	w := &world{load: load, decisions: decisions, random: rand.New(rand.NewPCG(load.Seed, 11)), start: time.Unix(1000, 0), set: endpoints.NewSet("owner"), lengths: batch.NewLengthEstimator()}
	w.now = w.start
	for i := range load.Engines {
		w.set.Put(deployment.Endpoint{ID: fmt.Sprintf("e%03d", i), Slots: load.Slots, Versions: map[string]int64{model: 1}})
	}
	for _, t := range load.Trainers {
		w.trainers = append(w.trainers, &trainer{Trainer: t})
	}
	for !w.over() {
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

func (w *world) over() bool {
	for _, t := range w.trainers {
		if len(t.Took) < w.load.Steps {
			return false
		}
	}
	return true
}

// submit submits each step that is due: on its schedule, once the step two before
// it was trained on.
func (w *world) submit() {
	for i, t := range w.trainers {
		for t.asked < w.load.Steps {
			due := w.start.Add(time.Duration(t.asked) * w.load.Period)
			ready := due.Add(w.load.Behind * time.Duration(min(1, t.asked)))
			if t.asked >= 2 {
				if len(t.named) < t.asked-1 {
					break
				}
				ready = due
				if named := t.named[t.asked-2]; named.After(ready) {
					ready = named
				}
			}
			if w.now.Before(ready) {
				break
			}
			t.Slip = append(t.Slip, w.now.Sub(due))
			w.open = append(w.open, w.draw(i, t))
			t.asked++
		}
	}
}

// draw draws a step's texts and their estimates.
func (w *world) draw(index int, t *trainer) *job {
	body := distuv.LogNormal{Mu: 0, Sigma: bodySpread, Src: w.random}
	errs := distuv.LogNormal{Mu: 0, Sigma: hintSpread, Src: w.random}
	scale := t.Mean / body.Mean()
	spec := &batch.Spec{ID: fmt.Sprintf("t%d-%d", index, t.asked), Model: model, WantGroups: t.Want, Submitted: w.now}
	j := &job{trainer: index, step: t.asked, asked: w.now}
	j.carried = min(len(t.again), t.Want/2)
	again := t.again[:j.carried]
	t.again = t.again[j.carried:]
	for g := range t.Groups {
		for k := range t.GroupSize {
			events := drawLength(scale*body.Rand(), w.random.Float64() < tailShare, t.Longest)
			if g < len(again) {
				events = again[g][k]
			}
			j.lengths = append(j.lengths, events)
			spec.Items = append(spec.Items, batch.Item{
				ID: fmt.Sprintf("%s-%d", spec.ID, len(spec.Items)), Group: fmt.Sprint(g),
				LengthHint: max(1, int(float64(events*tokensAnEvent)*errs.Rand())), MaxTokens: int(t.Longest) * tokensAnEvent,
			})
		}
	}
	j.Job = batch.NewJob(spec, nil)
	j.SetEstimator(w.lengths)
	t.Bound = append(t.Bound, time.Duration(needed(j, t.Trainer))*w.load.Event)
	return j
}

func drawLength(length float64, long bool, most int64) int64 {
	if long {
		length *= tailTimes
	}
	return min(most, max(1, int64(length)))
}

// needed returns the events of the longest text without which a step has too few
// groups, whichever groups are left out.
func needed(j *job, t Trainer) int64 {
	longest := make([]int64, t.Groups)
	for i, events := range j.lengths {
		longest[i/t.GroupSize] = max(longest[i/t.GroupSize], events)
	}
	for range t.Groups - t.Want {
		worst := j.carried
		for g := j.carried; g < len(longest); g++ {
			if longest[g] > longest[worst] {
				worst = g
			}
		}
		longest[worst] = 0
	}
	most := int64(0)
	for _, events := range longest {
		most = max(most, events)
	}
	return most
}

// dispatch starts what has room, as an owner of all the jobs does.
func (w *world) dispatch() {
	pace := w.set.TypicalPace()
	views := make([]schedule.Job, len(w.open))
	for i, j := range w.open {
		work, longest := j.TotalRemainingWork()
		views[i] = schedule.Job{Age: w.now.Sub(j.asked).Seconds(), Work: work, Longest: longest, EventSeconds: pace}
	}
	load := schedule.TotalLoad(views)
	w.survey = load
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
	request := endpoints.Request{Now: w.now, Model: model, MinVersion: 1, RequireFreeSlot: true, Tried: w.notYet(j)}
	if !w.decisions.ByLoad {
		weight := load.Weight(view, item.RemainingWork, item.Spare)
		request.Placement = endpoints.Placement{RemainingWork: item.RemainingWork, Weight: weight, Critical: weight >= schedule.CriticalWeight, CriticalBatchLimit: load.CriticalBatchLimit(view, w.load.Engines)}
	}
	engine := w.set.Pick(request)
	if engine == nil {
		return false
	}
	start := j.StartRun(item.Index)
	w.runs = append(w.runs, &run{job: j, item: item.Index, engine: engine, placed: request.Placement, total: j.lengths[item.Index], made: start.ResumeAfter})
	return true
}

// notYet returns the engines that cannot serve the step yet.
func (w *world) notYet(j *job) []string {
	if w.now.Sub(j.asked) >= w.load.LateEngines {
		return nil
	}
	var late []string
	for i, e := range w.set.All() {
		if i%2 == j.step%2 {
			late = append(late, e.ID)
		}
	}
	return late
}

// advance lets a tick's time pass at the engines.
func (w *world) advance() {
	going := w.runs[:0]
	for _, r := range w.runs {
		if !w.proceed(r) {
			going = append(going, r)
		}
	}
	w.runs = going
	still := w.open[:0]
	for _, j := range w.open {
		if w.finish(j); !j.whole {
			still = append(still, j)
		}
	}
	w.open = still
}

// proceed lets a run make events, and tells whether it ended.
func (w *world) proceed(r *run) bool {
	if r.job.whole {
		w.end(r, batch.RunInterrupted)
		return true
	}
	r.left -= tick
	for r.left <= 0 {
		beside := float64(r.engine.InFlight-1) / float64(w.load.Slots)
		event := time.Duration(float64(w.load.Event) * (1 + w.load.Slowdown*beside))
		r.left += event
		r.made++
		r.engine.ObservePace(event.Seconds())
		r.job.AddEvent(r.item, r.made, nil, 1)
		if r.made >= r.total {
			w.end(r, batch.RunComplete)
			return true
		}
		if !w.decisions.NoMoves && r.made%moveEvery == 0 && w.roomier(r) {
			w.end(r, batch.RunCancelledToMove)
			return true
		}
	}
	return false
}

func (w *world) roomier(r *run) bool {
	request := endpoints.Request{Now: w.now, Model: model, MinVersion: 1, Tried: w.notYet(r.job)}
	request.RemainingWork = r.job.RemainingWork(r.item)
	view := schedule.Job{Age: w.now.Sub(r.job.asked).Seconds(), EventSeconds: w.set.TypicalPace()}
	if !w.decisions.MoveAny && !w.survey.IsCritical(&view, request.RemainingWork, r.job.Spare(r.item)) {
		return false
	}
	return w.set.HasLessLoaded(request, r.engine, moveGain)
}

func (w *world) end(r *run, how batch.RunOutcome) {
	if how == batch.RunCancelledToMove {
		w.trainers[r.job.trainer].Moves++
	}
	r.engine.ReleasePlacement(&r.placed)
	r.engine.End(w.now, endpoints.Answered, time.Second, 0)
	r.job.RunEnded(w.now, r.item, how, "")
}

// finish takes in that a step may be whole.
func (w *world) finish(j *job) {
	t := w.trainers[j.trainer]
	if j.CompleteGroups() < t.Want {
		return
	}
	whole := wholeGroups(j, t.Trainer)
	if slices.Contains(whole[:j.carried], false) {
		return
	}
	j.whole = true
	j.Close()
	for g, done := range whole {
		if !done {
			t.again = append(t.again, j.lengths[g*t.GroupSize:(g+1)*t.GroupSize])
		}
	}
	t.Took = append(t.Took, w.now.Sub(j.asked))
	trained := w.now
	if n := len(t.named); n > 0 && t.named[n-1].After(trained) {
		trained = t.named[n-1]
	}
	t.named = append(t.named, trained.Add(t.Train))
}

// wholeGroups tells of each group whether all its texts are complete.
func wholeGroups(j *job, t Trainer) []bool {
	whole := make([]bool, t.Groups)
	for g := range whole {
		whole[g] = true
	}
	for i := range j.lengths {
		if j.RemainingWork(i) > 0 {
			whole[i/t.GroupSize] = false
		}
	}
	return whole
}
