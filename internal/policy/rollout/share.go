package rollout

import "math"

// SetTotalShares takes the sum of the shares of all feeds that the engines generate
// for, those that other entries own included.
func (s *Scheduler) SetTotalShares(sum float64) { s.shares = sum }

func (s *Scheduler) ownShares() float64 {
	sum := 0.0
	for _, f := range s.feeds {
		sum += f.Share
	}
	return sum
}

// room returns how many samples may be begun on an engine now: those that find a
// free slot, or, where another entry's samples have the slots, those up to the
// share of the feeds owned here. The latter wait in the agent's queue, which
// gives them the slots that get free by the feeds' shares. Were they not sent, a
// feed whose entry always sees the engines full would get nothing at all.
func (s *Scheduler) room(e *engine) int {
	if e.UsedByOtherFeeds == 0 || e.free() > 0 {
		return e.free()
	}
	return s.due(e) - e.runs
}

// due returns the slots of an engine that the feeds owned here are due, of those
// that callers leave. It is rounded up: a small feed would else be due none.
func (s *Scheduler) due(e *engine) int {
	own := s.ownShares()
	if s.shares <= own {
		return 0
	}
	left := max(0, e.Slots-(e.UsedByOthers-e.UsedByOtherFeeds))
	return int(math.Ceil(float64(left)*own/s.shares - 1e-9))
}
