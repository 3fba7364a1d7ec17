package rollout

import (
	"sort"
	"time"
)

const (
	// maxMoves is the maximum number of moves per sample.
	maxMoves = 4
	// moveMargin is the factor by which the saving of a move must exceed its cost: the
	// saving is a prediction, while the cost is certain.
	moveMargin = 1.5
	// minStall is how long a sample must generate no token before it counts as stalled, as
	// reads and reports lag behind.
	minStall = time.Second
	// minGain is the time that a move must save beyond the margin. Otherwise, moves that
	// cost almost nothing would be made for almost no gain, and would use up the sample's
	// limited number of moves.
	minGain = time.Second
)

// moveEstimate is the expected effect of moving a sample.
type moveEstimate struct {
	gain     time.Duration // time saved beyond the margin; 0 or less if the sample should stay
	transfer bool          // the KV cache moves along
}

// observeProgress records which runs generated tokens since the last plan.
func (s *Scheduler) observeProgress(now time.Time) {
	for _, f := range s.feeds {
		for _, r := range f.runs {
			if r.tokens != r.lastTokens {
				r.lastTokens = r.tokens
				r.lastProgress = now
			}
		}
	}
}

// stalledFor returns how long a run has generated no token, provided that its engine runs
// more requests than it has slots, so that others have its slot, or is expected to swap
// weights. It returns 0 otherwise, and while a pause may be due to the prefill after a
// start or a move.
func (s *Scheduler) stalledFor(now time.Time, f *feed, r *run) time.Duration {
	from := s.engines[r.engine]
	if from == nil || from.free() >= 0 && !s.swapExpected(now, f, from) {
		return 0
	}
	minimum := minStall
	if r.tokens == 0 || r.tokens <= r.tokensAtMove {
		minimum += time.Duration(moveMargin * float64(s.options.RecomputeCost.Total(f.PromptTokens+r.tokens)))
	}
	if waited := now.Sub(r.lastProgress); waited >= minimum {
		return waited
	}
	return 0
}

// moveRuns moves running samples to engines with smaller batches if that saves more than
// it costs. With onlyStalled it considers stalled samples only; other samples are moved
// after waiting samples have been placed, as a free slot is better used for a new sample.
func (s *Scheduler) moveRuns(now time.Time, onlyStalled bool) []Action {
	var actions []Action
	var runs []*run
	for {
		to := s.leastBusy()
		if to == nil {
			return actions
		}
		if runs == nil {
			runs = s.movable(now, to, onlyStalled)
		}
		r, estimate := s.bestMove(now, to, runs, onlyStalled)
		if r == nil {
			return actions
		}
		actions = append(actions, Move{Feed: r.feed.Name, ID: r.id, From: r.engine, To: to.ID, WithCache: estimate.transfer})
		s.engines[r.engine].runs--
		to.runs++
		r.engine = to.ID
		r.moves++
		r.tokensAtMove = r.tokens
		r.lastProgress = now
	}
}

func (s *Scheduler) leastBusy() *engine {
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

// movable returns the runs that might move to the given engine or to a busier one, sorted
// by feed and ID. If batches are of even size they are few, and only they are sorted.
func (s *Scheduler) movable(now time.Time, to *engine, onlyStalled bool) []*run {
	var runs []*run
	for _, name := range s.feedNames() {
		f := s.feeds[name]
		from := len(runs)
		for _, r := range f.runs {
			if r.moves >= maxMoves {
				continue
			}
			from := s.engines[r.engine]
			crowded := from != nil && from.busy() > to.busy()+1
			if s.stalledFor(now, f, r) > 0 || crowded && !onlyStalled {
				runs = append(runs, r)
			}
		}
		ofFeed := runs[from:]
		sort.Slice(ofFeed, func(i, j int) bool { return before(ofFeed[i].id, ofFeed[j].id) })
	}
	return runs
}

// bestMove returns the run that gains most from moving to an engine, with the estimate of
// the move. The run is nil if no run gains enough.
func (s *Scheduler) bestMove(now time.Time, to *engine, runs []*run, onlyStalled bool) (*run, moveEstimate) {
	var best *run
	var bestEstimate moveEstimate
	for _, r := range runs {
		if onlyStalled && s.stalledFor(now, r.feed, r) == 0 {
			continue // its engine has a slot for it again, as other runs moved away
		}
		if estimate := s.estimateMove(now, r.feed, r, to); estimate.gain > bestEstimate.gain {
			best, bestEstimate = r, estimate
		}
	}
	return best, bestEstimate
}

// estimateMove returns what a run gains by moving to an engine. A run never moves to older
// weights, as its staleness would grow.
func (s *Scheduler) estimateMove(now time.Time, f *feed, r *run, to *engine) moveEstimate {
	from := s.engines[r.engine]
	moveInProgress := r.moves > 0 && r.tokens <= r.tokensAtMove
	if from == nil || to == from || moveInProgress || r.moves >= maxMoves || to.Version < from.Version {
		return moveEstimate{}
	}
	stalledFor := s.stalledFor(now, f, r)
	if stalledFor == 0 && from.busy() <= to.busy()+1 || stalledFor > 0 && s.swapExpected(now, f, to) {
		return moveEstimate{}
	}
	remaining := f.lengths.Remaining(f.class(r.id), r.id, r.tokens)
	slow, fast := s.options.Pace.TokenTime(from.busy()), s.options.Pace.TokenTime(to.busy()+1)
	// A stalled run is expected to stay stalled for as long as it has been already.
	context := f.PromptTokens + r.tokens
	recompute := moveEstimate{gain: netGain(stalledFor+timeFor(remaining, slow-fast), s.recompute(context, to))}
	if s.options.TransferCost == (MoveCost{}) || stalledFor > 0 {
		// A stalled run has lost its slot and with it its KV cache, or its engine
		// swaps weights and responds to nothing.
		return recompute
	}
	// The sample keeps running while its cache is transferred; the cache of the tokens
	// that it generates in the meantime is recomputed at the other engine.
	generated := min(remaining, float64(s.options.TransferCost.Total(context))/float64(slow))
	transfer := moveEstimate{gain: netGain(timeFor(remaining-generated, slow-fast), s.recompute(int(generated), to)), transfer: true}
	if transfer.gain > recompute.gain {
		return transfer
	}
	return recompute
}

// recompute returns the cost of computing the KV cache of a context at an engine: the time
// for the sample itself, and for each request in the batch, which stalls meanwhile.
func (s *Scheduler) recompute(context int, to *engine) time.Duration {
	own := s.options.RecomputeCost.Total(context)
	return own + time.Duration(to.busy())*(own-s.options.RecomputeCost.Fixed)
}

func timeFor(tokens float64, each time.Duration) time.Duration {
	return time.Duration(tokens * float64(each))
}

func netGain(saved, cost time.Duration) time.Duration {
	return saved - time.Duration(moveMargin*float64(cost)) - minGain
}
