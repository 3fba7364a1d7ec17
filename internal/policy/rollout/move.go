package rollout

import (
	"sort"
	"time"
)

const (
	// maxMoves bounds how often one sample moves.
	maxMoves = 4
	// moveMargin is how many times its cost a move must save: the saving rests
	// on a prediction, the cost is certain.
	moveMargin = 1.5
	// leastStill is how long a sample makes no token before it is taken to stand
	// still: reads and reports lag.
	leastStill = time.Second
	// leastGain is what a move must save beyond the margin: moves that cost next
	// to nothing would be spent on next to nothing, and use the sample's few up.
	leastGain = time.Second
)

// saving is what a move is expected to bring.
type saving struct {
	gain  time.Duration // beyond the margin; at most 0 if the sample should stay
	carry bool          // with its KV cache
}

// observeRuns notes which runs went on since the last plan.
func (s *Scheduler) observeRuns(now time.Time) {
	for _, f := range s.feeds {
		for _, r := range f.runs {
			if r.tokens != r.seen {
				r.seen = r.tokens
				r.since = now
			}
		}
	}
}

// still returns how long a run has made no token on an engine where more than
// its neighbours' prompts keep it: callers have its slot, or the engine swaps.
func (s *Scheduler) still(now time.Time, f *feed, r *run) time.Duration {
	from := s.engines[r.engine]
	if from == nil || from.free() >= 0 && !s.swapsSoon(now, f, from) {
		return 0
	}
	least := leastStill
	if r.tokens == 0 || r.tokens <= r.moved {
		least += time.Duration(moveMargin * float64(s.options.RecomputeCost.Total(f.PromptTokens+r.tokens)))
	}
	if waited := now.Sub(r.since); waited >= least {
		return waited
	}
	return 0
}

// moveRuns moves running samples to engines with smaller batches where that
// saves more than it costs: those that stand still, or, once nothing waits to
// begin, any. Before that a free slot is better used for a new sample.
func (s *Scheduler) moveRuns(now time.Time, onlyStill bool) []Action {
	var acts []Action
	var runs []*run
	for {
		to := s.idlest()
		if to == nil {
			return acts
		}
		if runs == nil {
			runs = s.movable(now, to, onlyStill)
		}
		r, way := s.worthMoving(now, to, runs, onlyStill)
		if r == nil {
			return acts
		}
		acts = append(acts, Move{Feed: r.feed.Name, ID: r.id, From: r.engine, To: to.ID, WithCache: way.carry})
		s.engines[r.engine].runs--
		to.runs++
		r.engine = to.ID
		r.moves++
		r.moved = r.tokens
		r.since = now
	}
}

func (s *Scheduler) idlest() *engine {
	var best *engine
	for _, e := range s.engines {
		if e.free() <= 0 {
			continue
		}
		if best == nil || e.busy() < best.busy() || e.busy() == best.busy() && e.ID < best.ID {
			best = e
		}
	}
	return best
}

// movable returns the runs that might move to an engine or to a busier one, in
// order of feed and id. With even batches they are few, and only they are sorted.
func (s *Scheduler) movable(now time.Time, to *engine, onlyStill bool) []*run {
	var runs []*run
	for _, name := range s.names() {
		f := s.feeds[name]
		from := len(runs)
		for _, r := range f.runs {
			if r.moves >= maxMoves {
				continue
			}
			from := s.engines[r.engine]
			crowded := from != nil && from.busy() > to.busy()+1
			if s.still(now, f, r) > 0 || crowded && !onlyStill {
				runs = append(runs, r)
			}
		}
		ofFeed := runs[from:]
		sort.Slice(ofFeed, func(i, j int) bool { return before(ofFeed[i].id, ofFeed[j].id) })
	}
	return runs
}

// worthMoving returns the run that gains most from moving to an engine and how
// it goes; nil if none gains enough.
func (s *Scheduler) worthMoving(now time.Time, to *engine, runs []*run, onlyStill bool) (*run, saving) {
	var best *run
	var bestWay saving
	for _, r := range runs {
		if onlyStill && s.still(now, r.feed, r) == 0 {
			continue // its engine has room for it since others left
		}
		if way := s.saves(now, r.feed, r, to); way.gain > bestWay.gain {
			best, bestWay = r, way
		}
	}
	return best, bestWay
}

// saves returns what a run saves by moving. It never goes to older weights: its
// staleness would grow.
func (s *Scheduler) saves(now time.Time, f *feed, r *run, to *engine) saving {
	from := s.engines[r.engine]
	underWay := r.moves > 0 && r.tokens <= r.moved
	if from == nil || to == from || underWay || r.moves >= maxMoves || to.Version < from.Version {
		return saving{}
	}
	still := s.still(now, f, r)
	if still == 0 && from.busy() <= to.busy()+1 || still > 0 && s.swapsSoon(now, f, to) {
		return saving{}
	}
	left := f.lengths.Remaining(f.class(r.id), r.id, r.tokens)
	slow, fast := s.options.Pace.TokenTime(from.busy()), s.options.Pace.TokenTime(to.busy()+1)
	// One that has stood still for a while is expected to for as long again.
	context := f.PromptTokens + r.tokens
	recompute := saving{gain: beyond(still+gained(left, slow-fast), s.recompute(context, to))}
	if s.options.TransferCost == (MoveCost{}) || still > 0 {
		// What stands still has lost its slot, and its cache with it, or is on
		// an engine that answers to nothing now.
		return recompute
	}
	// The sample runs on while its cache travels; what it makes meanwhile is
	// computed anew at the other engine.
	made := min(left, float64(s.options.TransferCost.Total(context))/float64(slow))
	carry := saving{gain: beyond(gained(left-made, slow-fast), s.recompute(int(made), to)), carry: true}
	if carry.gain > recompute.gain {
		return carry
	}
	return recompute
}

// recompute is what computing the KV cache of a context at an engine costs: the
// time of the sample itself, and that of each in the batch, which stands still
// meanwhile.
func (s *Scheduler) recompute(context int, to *engine) time.Duration {
	own := s.options.RecomputeCost.Total(context)
	return own + time.Duration(to.busy())*(own-s.options.RecomputeCost.Fixed)
}

func gained(tokens float64, each time.Duration) time.Duration {
	return time.Duration(tokens * float64(each))
}

func beyond(saved, cost time.Duration) time.Duration {
	return saved - time.Duration(moveMargin*float64(cost)) - leastGain
}
