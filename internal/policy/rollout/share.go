package rollout

import "math"

// SetTotalShares sets the sum of the shares of all feeds that the engines serve, including
// feeds that other entries own.
func (s *Scheduler) SetTotalShares(sum float64) { s.totalShares = sum }

func (s *Scheduler) ownShares() float64 {
	sum := 0.0
	for _, f := range s.feeds {
		sum += f.Share
	}
	return sum
}

// room returns how many samples may be started on an engine now: as many as there are free
// slots or, if samples of other entries occupy the slots, as many as the feeds owned here
// are entitled to. The latter wait in the agent's queue, which assigns slots that become
// free by the feeds' shares. If they were not sent, a feed whose entry always sees the
// engines full would never get a slot.
func (s *Scheduler) room(e *engine) int {
	if e.UsedByOtherFeeds == 0 || e.free() > 0 {
		return e.free()
	}
	return s.entitledSlots(e) - e.runs
}

// entitledSlots returns how many of an engine's slots that callers leave free the feeds
// owned here are entitled to. It rounds up, as a small feed would otherwise get none.
func (s *Scheduler) entitledSlots(e *engine) int {
	own := s.ownShares()
	if s.totalShares <= own {
		return 0
	}
	available := max(0, e.Slots-(e.UsedByOthers-e.UsedByOtherFeeds))
	return int(math.Ceil(float64(available)*own/s.totalShares - 1e-9))
}
