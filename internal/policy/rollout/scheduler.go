// Package rollout decides where and when the samples of trainer feeds are
// generated: which sample goes next, on which engine, which running one moves to
// a free engine, and how much of the next step is begun while the trainer still
// works on the current one. One policy serves every feed; the declared weights
// of idle time and staleness tell it what to give up for what.
package rollout

import (
	"math"
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/policy/sample"
)

// Feed is a feed's declaration as far as scheduling needs it.
type Feed struct {
	Name            string
	Shape           sample.Shape
	Classes         int     // prompts declared; a group's class is its number modulo this
	Share           float64 // of the engines, against the other feeds' shares
	WeightIdle      float64
	WeightStaleness float64
	Limits          sample.Limits
	MaxTokens       int
	PromptTokens    int // of a usual prompt
}

// Engine is one engine as it was last heard of.
type Engine struct {
	ID      string
	Domain  string // failure domain
	Slots   int    // samples it may run at once
	Others  int    // of them used or queued for by others than this scheduler
	Feeds   int    // of Others, samples of feeds that other entries own
	Version int64  // weight version
}

// Demand is what a feed's hand-over needs now.
type Demand struct {
	Feed     string
	Step     int64 // that is being handed over
	Version  int64 // of the trainer
	Training bool  // the trainer holds the whole step and works on it
	Current  []sample.ID
	Ahead    []sample.ID // of the step after Step
}

// Options are the scheduler's own.
type Options struct {
	Pace Pace
	// Move is the cost of a move after which the engine computes the KV cache
	// anew, Carry that of the cache's way from engine to engine; zero: there is
	// none.
	Move  MoveCost
	Carry MoveCost
	// SwapWait is how long a feed waits at most for engines that have not yet
	// swapped to its trainer's version: a swap that fails must not idle it.
	SwapWait time.Duration
}

// Action is something that the scheduler's runtime is to do.
type Action interface{ action() }

// Start begins a sample on an engine.
type Start struct {
	Feed   string
	ID     sample.ID
	Engine string
}

// Cancel ends a run that nobody needs any more.
type Cancel struct {
	Feed string
	ID   sample.ID
}

// Move lets a running sample go on at another engine.
type Move struct {
	Feed     string
	ID       sample.ID
	From, To string
	Carry    bool // with its KV cache; it runs on at From until To has it
}

func (Start) action()  {}
func (Cancel) action() {}
func (Move) action()   {}

type run struct {
	feed   *feed
	id     sample.ID
	engine string
	tokens int
	moves  int
	moved  int // tokens when it was last moved; it has arrived once it has more

	seen  int       // tokens when it was last seen to go on
	since time.Time // that it has no more
}

type feed struct {
	Feed
	lengths *Predictor
	demand  Demand
	wanted  map[sample.ID]bool
	groups  []*group // of the demand, in order
	runs    map[sample.ID]*run
	since   time.Time     // that the trainer is at its version
	swapped bool          // most engines have that version
	swap    time.Duration // that they took for the last versions
	held    time.Time     // that the trainer holds the whole step
	train   time.Duration // that it took for the last steps; 0: not seen yet
	share   float64       // of the next step to begin early
}

type engine struct {
	Engine
	runs int
}

func (e *engine) free() int { return e.Slots - e.Others - e.runs }
func (e *engine) busy() int { return e.Others + e.runs }

// Scheduler places the samples of the feeds that this process owns.
type Scheduler struct {
	options Options
	shares  float64 // of all feeds on the engines, wherever owned; 0: of those here
	feeds   map[string]*feed
	engines map[string]*engine
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

// DropFeed forgets a feed; its runs are the runtime's to end.
func (s *Scheduler) DropFeed(name string) {
	f := s.feeds[name]
	if f == nil {
		return
	}
	for id := range f.runs {
		s.drop(f, id)
	}
	delete(s.feeds, name)
}

// SetPace takes the engines' measured pace.
func (s *Scheduler) SetPace(p Pace) { s.options.Pace = p }

// SetCarry takes what the way of a KV cache costs; zero: there is none.
func (s *Scheduler) SetCarry(m MoveCost) { s.options.Carry = m }

// SetEngines replaces what is known of the engines. Runs on one that is gone
// stay until the runtime tells that they ended.
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

// observeSwap learns how long engines take to have a new version.
func (f *feed) observeSwap(now time.Time, engines []Engine) {
	if f.swapped || f.since.IsZero() {
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
	f.swap = (f.swap + now.Sub(f.since)) / 2
}

// SetDemand replaces what a feed needs.
func (s *Scheduler) SetDemand(now time.Time, d Demand) {
	f := s.feeds[d.Feed]
	if f == nil {
		return
	}
	f.observeTrainer(now, d)
	f.demand = d
	f.wanted = make(map[sample.ID]bool, len(d.Current)+len(d.Ahead))
	f.groups = nil
	f.want(d.Current)
	f.want(d.Ahead)
	f.share = aheadShare(s.outlook(f))
}

// group is the samples of one group that are wanted and do not run.
type group struct {
	id      sample.ID // with index 0
	waiting []sample.ID
}

// want takes the samples wanted of one step, in order.
func (f *feed) want(ids []sample.ID) {
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

// waitAgain puts a sample back whose run failed.
func (f *feed) waitAgain(id sample.ID) {
	for _, g := range f.groups {
		if g.id == groupOf(id) {
			g.waiting = append(g.waiting, id)
			return
		}
	}
}

// observeTrainer learns how long the trainer takes for a step.
func (f *feed) observeTrainer(now time.Time, d Demand) {
	if d.Version != f.demand.Version || f.since.IsZero() {
		f.since = now
		f.swapped = false
	}
	switch {
	case d.Training && !f.demand.Training:
		f.held = now
	case !d.Training && f.demand.Training && !f.held.IsZero():
		took := now.Sub(f.held)
		if f.train > 0 {
			took = (took + f.train) / 2
		}
		f.train = took
	}
	if d.Step != f.demand.Step {
		f.lengths.Forget(d.Step)
	}
}

// Progress takes the number of tokens that a run has generated.
func (s *Scheduler) Progress(name string, id sample.ID, tokens int) {
	if f := s.feeds[name]; f != nil && f.runs[id] != nil {
		f.runs[id].tokens = tokens
	}
}

// Complete takes the end of a run that generated all its tokens.
func (s *Scheduler) Complete(name string, id sample.ID, tokens int) {
	f := s.feeds[name]
	if f == nil {
		return
	}
	if tokens > 0 { // one given up tells nothing of lengths
		f.lengths.Observe(f.class(id), id, tokens)
	}
	delete(f.wanted, id)
	s.drop(f, id)
}

// Failed takes the end of a run without a sample; it is begun again if it is
// still wanted.
func (s *Scheduler) Failed(name string, id sample.ID) {
	f := s.feeds[name]
	if f == nil || f.runs[id] == nil {
		return
	}
	s.drop(f, id)
	if f.wanted[id] {
		f.waitAgain(id)
	}
}

func (s *Scheduler) drop(f *feed, id sample.ID) {
	r := f.runs[id]
	if r == nil {
		return
	}
	if e := s.engines[r.engine]; e != nil {
		e.runs--
	}
	delete(f.runs, id)
}

// AheadShare returns the share of the next step that is begun early.
func (s *Scheduler) AheadShare(name string) float64 {
	if f := s.feeds[name]; f != nil {
		return f.share
	}
	return 0
}

func (f *feed) class(id sample.ID) int { return int(id.Group) % f.Classes }

// Plan returns what is to be done now.
func (s *Scheduler) Plan(now time.Time) []Action {
	acts := s.cancelUnwanted()
	s.observeRuns(now)
	// A sample that stands still goes first: it has been begun, so its step
	// needs it, and another engine's free slot would go to a new one.
	acts = append(acts, s.moveRuns(now, true)...)
	acts = append(acts, s.place(now)...)
	return append(acts, s.moveRuns(now, false)...)
}

func (s *Scheduler) names() []string {
	names := make([]string, 0, len(s.feeds))
	for name := range s.feeds {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (s *Scheduler) cancelUnwanted() []Action {
	var acts []Action
	for _, name := range s.names() {
		f := s.feeds[name]
		for _, id := range f.unwantedRuns() {
			s.drop(f, id)
			acts = append(acts, Cancel{Feed: name, ID: id})
		}
	}
	return acts
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

// outlook gathers what the size of the run-ahead depends on.
func (s *Scheduler) outlook(f *feed) outlook {
	slots, rate := 0, 0.0
	for _, e := range s.engines {
		slots = max(slots, e.Slots)
		rate += s.options.Pace.Rate(e.Slots)
	}
	if shares := max(s.shares, s.ownShares()); shares > 0 {
		rate *= f.Share / shares
	}
	o := outlook{
		idle:      f.WeightIdle,
		staleness: f.WeightStaleness,
		bound:     f.Limits.MaxVersionLag,
		train:     f.train.Seconds(),
		rate:      rate,
		token:     s.options.Pace.Token(slots).Seconds(),
	}
	for c := range f.Classes {
		n := classSize(f.Shape, f.Classes, c)
		if n == 0 {
			continue
		}
		o.classes = append(o.classes, classOutlook{
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
