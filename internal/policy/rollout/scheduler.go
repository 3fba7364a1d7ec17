// Package rollout schedules the generation of the samples of trainer feeds: which sample
// starts next, on which engine, which running sample moves to a free engine, and how much
// of the next step is generated while the trainer still works on the current one
// (run-ahead). All feeds use the same policy; their declared weights of trainer idle time
// and sample staleness determine the trade-off between the two.
//
// It serves trainer feeds of deployments with agents. Batch jobs, which are steps with a due
// time and without run-ahead, are scheduled by packages batch and schedule.
package rollout

import (
	"math"
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// Feed is the part of a feed's declaration that scheduling needs.
type Feed struct {
	Name            string
	Shape           sample.Shape
	Classes         int     // number of declared prompts; a group's class is its number modulo Classes
	Share           float64 // share of the engines, relative to the shares of the other feeds
	WeightIdle      float64
	WeightStaleness float64
	Limits          sample.Limits
	MaxTokens       int
	PromptTokens    int // typical length of a prompt
}

// Engine is the last known state of an engine.
type Engine struct {
	ID               string
	Domain           string // failure domain
	Slots            int    // maximum number of concurrent samples
	UsedByOthers     int    // requests of others than this scheduler that use or queue for slots
	UsedByOtherFeeds int    // the part of UsedByOthers that are samples of feeds that other entries own
	Version          int64  // weight version
}

// Demand is the set of samples that a feed needs now.
type Demand struct {
	Feed     string
	Step     int64       // step that is being handed over
	Version  int64       // weight version of the trainer
	Training bool        // the trainer has received the complete step and trains on it
	Current  []sample.ID // samples of Step
	Next     []sample.ID // samples of the step after Step
}

// Options are the options of a Scheduler.
type Options struct {
	Pace Pace
	// RecomputeCost is the cost of a move after which the new engine recomputes the KV
	// cache.
	RecomputeCost MoveCost
	// TransferCost is the cost of transferring the KV cache from engine to engine; the zero
	// value means that caches cannot be transferred.
	TransferCost MoveCost
	// SwapTimeout is the longest time that a feed waits for engines to swap to its trainer's
	// version, so that a failed swap does not leave the feed idle.
	SwapTimeout time.Duration
}

// Action is a decision of the scheduler that the caller must carry out.
type Action interface{ action() }

// Start starts a sample on an engine.
type Start struct {
	Feed   string
	ID     sample.ID
	Engine string
}

// Cancel cancels the run of a sample that is no longer needed.
type Cancel struct {
	Feed string
	ID   sample.ID
}

// Move moves a running sample to another engine.
type Move struct {
	Feed      string
	ID        sample.ID
	From, To  string
	WithCache bool // the KV cache is transferred; the sample keeps running at From until To has it
}

func (Start) action()  {}
func (Cancel) action() {}
func (Move) action()   {}

type run struct {
	feed         *feed
	id           sample.ID
	engine       string
	tokens       int
	moves        int
	tokensAtMove int // tokens at the last move, which is complete once there are more

	lastTokens   int       // tokens at the last progress
	lastProgress time.Time // when a plan last found new tokens
}

type feed struct {
	Feed
	lengths       *Predictor
	demand        Demand
	wanted        map[sample.ID]bool
	groups        []*group // groups of the demand, in order
	runs          map[sample.ID]*run
	versionSince  time.Time     // when the trainer reached its current version
	swapped       bool          // more than half of the engines have that version
	swapTime      time.Duration // moving average of the time until that was so
	trainingSince time.Time     // when the trainer last had a complete step
	trainTime     time.Duration // moving average of the training time per step; 0 if not yet observed
	aheadShare    float64       // share of the next step to start early
}

type engine struct {
	Engine
	runs int
}

func (e *engine) free() int { return e.Slots - e.UsedByOthers - e.runs }
func (e *engine) busy() int { return e.UsedByOthers + e.runs }

// Scheduler places the samples of the feeds that this process owns.
type Scheduler struct {
	options     Options
	totalShares float64 // sum of the shares of all feeds that use the engines, including those of other entries; 0 if not known
	feeds       map[string]*feed
	engines     map[string]*engine
}

// New returns a scheduler without feeds and engines.
func New(o Options) *Scheduler {
	return &Scheduler{options: o, feeds: map[string]*feed{}, engines: map[string]*engine{}}
}

// SetFeed adds a feed or changes its declaration.
func (s *Scheduler) SetFeed(f Feed) {
	f.Classes = max(1, f.Classes)
	found := s.feeds[f.Name]
	if found == nil {
		found = &feed{lengths: NewPredictor(f.MaxTokens), runs: map[sample.ID]*run{}, wanted: map[sample.ID]bool{}}
		s.feeds[f.Name] = found
	}
	found.Feed = f
}

// DropFeed removes a feed. The caller must end its runs.
func (s *Scheduler) DropFeed(name string) {
	f := s.feeds[name]
	if f == nil {
		return
	}
	for id := range f.runs {
		s.removeRun(f, id)
	}
	delete(s.feeds, name)
}

// SetPace sets the measured pace of the engines.
func (s *Scheduler) SetPace(p Pace) { s.options.Pace = p }

// SetTransferCost sets the cost of transferring a KV cache; the zero value disables
// transfers.
func (s *Scheduler) SetTransferCost(m MoveCost) { s.options.TransferCost = m }

// SetEngines replaces the known engines. Runs on an engine that is gone remain until the
// caller reports that they ended.
func (s *Scheduler) SetEngines(now time.Time, engines []Engine) {
	known := map[string]*engine{}
	for _, e := range engines {
		known[e.ID] = &engine{Engine: e}
	}
	for _, f := range s.feeds {
		for _, r := range f.runs {
			if e := known[r.engine]; e != nil {
				e.runs++
			}
		}
	}
	s.engines = known
	for _, f := range s.feeds {
		f.observeSwap(now, engines)
	}
}

// observeSwap measures how long engines take to swap to a new version.
func (f *feed) observeSwap(now time.Time, engines []Engine) {
	if f.swapped || f.versionSince.IsZero() {
		return
	}
	have := 0
	for _, e := range engines {
		if e.Version >= f.demand.Version {
			have++
		}
	}
	if 2*have <= len(engines) {
		return
	}
	f.swapped = true
	f.swapTime = (f.swapTime + now.Sub(f.versionSince)) / 2
}

// SetDemand replaces the demand of a feed.
func (s *Scheduler) SetDemand(now time.Time, d Demand) {
	f := s.feeds[d.Feed]
	if f == nil {
		return
	}
	f.observeTrainer(now, d)
	f.demand = d
	f.wanted = make(map[sample.ID]bool, len(d.Current)+len(d.Next))
	f.groups = nil
	f.addWanted(d.Current)
	f.addWanted(d.Next)
	f.aheadShare = chooseAheadShare(s.aheadInputs(f))
}

// group holds the samples of one group that are wanted and not running.
type group struct {
	id      sample.ID // ID with index 0
	waiting []sample.ID
}

// addWanted adds the wanted samples of one step, in order.
func (f *feed) addWanted(ids []sample.ID) {
	var last *group
	for _, id := range ids {
		f.wanted[id] = true
		if last == nil || last.id != groupOf(id) {
			last = &group{id: groupOf(id)}
			f.groups = append(f.groups, last)
		}
		if f.runs[id] == nil {
			last.waiting = append(last.waiting, id)
		}
	}
}

// requeue adds a sample whose run failed to its group's waiting samples again.
func (f *feed) requeue(id sample.ID) {
	for _, g := range f.groups {
		if g.id == groupOf(id) {
			g.waiting = append(g.waiting, id)
			return
		}
	}
}

// observeTrainer measures how long the trainer takes for a step.
func (f *feed) observeTrainer(now time.Time, d Demand) {
	if d.Version != f.demand.Version || f.versionSince.IsZero() {
		f.versionSince = now
		f.swapped = false
	}
	switch {
	case d.Training && !f.demand.Training:
		f.trainingSince = now
	case !d.Training && f.demand.Training && !f.trainingSince.IsZero():
		took := now.Sub(f.trainingSince)
		if f.trainTime > 0 {
			took = (took + f.trainTime) / 2
		}
		f.trainTime = took
	}
	if d.Step != f.demand.Step {
		f.lengths.ForgetBefore(d.Step)
	}
}

// Progress records the number of tokens that a run has generated.
func (s *Scheduler) Progress(name string, id sample.ID, tokens int) {
	if f := s.feeds[name]; f != nil && f.runs[id] != nil {
		f.runs[id].tokens = tokens
	}
}

// Complete records that a run generated all its tokens, or that its sample was given up if
// tokens is 0.
func (s *Scheduler) Complete(name string, id sample.ID, tokens int) {
	f := s.feeds[name]
	if f == nil {
		return
	}
	if tokens > 0 { // an abandoned sample has no known length
		f.lengths.Observe(f.class(id), id, tokens)
	}
	delete(f.wanted, id)
	s.removeRun(f, id)
}

// Failed records that a run ended without a sample. The sample is started again if it is
// still wanted.
func (s *Scheduler) Failed(name string, id sample.ID) {
	f := s.feeds[name]
	if f == nil || f.runs[id] == nil {
		return
	}
	s.removeRun(f, id)
	if f.wanted[id] {
		f.requeue(id)
	}
}

func (s *Scheduler) removeRun(f *feed, id sample.ID) {
	r := f.runs[id]
	if r == nil {
		return
	}
	if e := s.engines[r.engine]; e != nil {
		e.runs--
	}
	delete(f.runs, id)
}

// AheadShare returns the share of a feed's next step that is started early.
func (s *Scheduler) AheadShare(name string) float64 {
	if f := s.feeds[name]; f != nil {
		return f.aheadShare
	}
	return 0
}

func (f *feed) class(id sample.ID) int { return int(id.Group) % f.Classes }

// Plan returns the actions to carry out now, and assumes that the caller does so.
func (s *Scheduler) Plan(now time.Time) []Action {
	actions := s.cancelUnwanted()
	s.observeProgress(now)
	// Stalled samples move first: they have been started, so their step needs them, and
	// a free slot at another engine would otherwise go to a new sample.
	actions = append(actions, s.moveRuns(now, true)...)
	actions = append(actions, s.place(now)...)
	return append(actions, s.moveRuns(now, false)...)
}

func (s *Scheduler) feedNames() []string {
	feedNames := make([]string, 0, len(s.feeds))
	for name := range s.feeds {
		feedNames = append(feedNames, name)
	}
	sort.Strings(feedNames)
	return feedNames
}

func (s *Scheduler) cancelUnwanted() []Action {
	var actions []Action
	for _, name := range s.feedNames() {
		f := s.feeds[name]
		for _, id := range f.unwantedRuns() {
			s.removeRun(f, id)
			actions = append(actions, Cancel{Feed: name, ID: id})
		}
	}
	return actions
}

func (f *feed) unwantedRuns() []sample.ID {
	var ids []sample.ID
	for id := range f.runs {
		if !f.wanted[id] {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return before(ids[i], ids[j]) })
	return ids
}

func before(a, b sample.ID) bool {
	if a.Step != b.Step {
		return a.Step < b.Step
	}
	if a.Index != b.Index {
		return a.Index < b.Index
	}
	return a.Group < b.Group
}

// aheadInputs returns the inputs of chooseAheadShare for a feed.
func (s *Scheduler) aheadInputs(f *feed) aheadInputs {
	slots, tokensPerSecond := 0, 0.0
	for _, e := range s.engines {
		slots = max(slots, e.Slots)
		tokensPerSecond += s.options.Pace.Rate(e.Slots)
	}
	if totalShares := max(s.totalShares, s.ownShares()); totalShares > 0 {
		tokensPerSecond *= f.Share / totalShares
	}
	o := aheadInputs{
		idleWeight:      f.WeightIdle,
		stalenessWeight: f.WeightStaleness,
		maxVersionLag:   f.Limits.MaxVersionLag,
		trainTime:       f.trainTime.Seconds(),
		tokensPerSecond: tokensPerSecond,
		tokenSeconds:    s.options.Pace.TokenTime(slots).Seconds(),
	}
	for c := range f.Classes {
		n := classSize(f.Shape, f.Classes, c)
		if n == 0 {
			continue
		}
		o.classes = append(o.classes, classInputs{
			samples: n,
			mean:    f.lengths.Mean(c),
			longest: f.lengths.Quantile(c, float64(n)/float64(n+1)),
		})
	}
	return o
}

func classSize(shape sample.Shape, classes, c int) int {
	groups := int(math.Ceil(float64(shape.Groups-c) / float64(classes)))
	return max(0, groups) * shape.PerGroup()
}
