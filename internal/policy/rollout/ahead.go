package rollout

import (
	"math"
	"sort"
)

// aheadSteps is the number of steps in which chooseAheadShare searches shares from 0 to 1.
const aheadSteps = 16

// aheadInputs is the state of a feed that determines its run-ahead, the share of the next
// step that is generated while the trainer still works on the current one.
type aheadInputs struct {
	idleWeight, stalenessWeight float64 // the feed's declared weights
	maxVersionLag               int64   // staleness bound in versions
	trainTime                   float64 // seconds that the trainer takes for a step
	tokensPerSecond             float64 // of the feed's share of the engines
	tokenSeconds                float64 // seconds per token in a full batch
	classes                     []classInputs
}

// classInputs describes a class of prompts within the next step.
type classInputs struct {
	samples int
	mean    float64 // mean length in tokens
	longest float64 // expected length of the longest sample in tokens
}

// chooseAheadShare returns the share of the next step's samples to start before the
// trainer has the version with which it will take them. Each sample that is started early
// is a version behind when it is taken; each one that is left for later may keep the
// trainer waiting. The classes with the longest expected samples start first, as they
// reduce the waiting time most for the same staleness.
func chooseAheadShare(o aheadInputs) float64 {
	if o.maxVersionLag < 1 || o.trainTime <= 0 {
		return 0
	}
	classes := append([]classInputs(nil), o.classes...)
	sort.Slice(classes, func(i, j int) bool { return classes[i].longest > classes[j].longest })
	best, bestCost := 0.0, math.Inf(1)
	for step := 0; step <= aheadSteps; step++ {
		share := float64(step) / aheadSteps
		cost := o.cost(classes, share)
		if cost < bestCost-1e-9 {
			best, bestCost = share, cost
		}
	}
	return best
}

// cost returns the feed's weighted cost: the seconds that the trainer waits per second of
// training, and the mean number of versions that samples are behind.
func (o aheadInputs) cost(classes []classInputs, share float64) float64 {
	return o.idleWeight*o.waitSeconds(classes, share)/o.trainTime + o.stalenessWeight*share
}

// waitSeconds returns the seconds that the trainer waits for a step of which the given
// share was started while it trained on the previous one.
func (o aheadInputs) waitSeconds(classes []classInputs, share float64) float64 {
	total := 0
	for _, c := range classes {
		total += c.samples
	}
	early := int(math.Round(share * float64(total)))
	var earlyWork, lateWork, earlyTail, lateTail float64
	for _, c := range classes {
		n := min(early, c.samples)
		early -= n
		earlyWork += float64(n) * c.mean
		lateWork += float64(c.samples-n) * c.mean
		if n > 0 {
			earlyTail = max(earlyTail, c.longest)
		}
		if c.samples > n {
			lateTail = max(lateTail, c.longest)
		}
	}
	done := min(earlyWork, o.tokensPerSecond*o.trainTime)
	return max(
		(earlyWork-done+lateWork)/max(o.tokensPerSecond, 1e-9),
		lateTail*o.tokenSeconds,
		earlyTail*o.tokenSeconds-o.trainTime,
		0,
	)
}
