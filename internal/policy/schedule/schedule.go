// Package schedule ranks the items of all jobs that one process runs: which item starts
// next, how much the completion of a run matters, and how many requests an engine may run
// beside a critical one. It performs no I/O and reads no clock.
//
// The workload: steps of a hundred items and more arrive at once, every few seconds, at
// engines that take a third longer per event in a full batch than alone. A trainer waits
// for the longest text of its step, which is five times as long as the mean, while the
// other texts complete in a fraction of that time. The duration of a step is therefore the
// number of events of its longest texts times the time per event of their engines; the
// other items only need to stay out of the way.
//
// Where engines are of unequal speed, a step of texts of up to 150 events ends in time only if
// the longest ones run at fast engines. This package then decides which texts a step waits for;
// package endpoints decides where they run and whether they move. Trainer feeds, which run ahead of
// their trainer, are scheduled by package rollout.
package schedule

import "math"

const (
	// DefaultEventSeconds is the time per event until runs have been measured.
	DefaultEventSeconds = 0.03
	// CriticalWeight is the weight from which a run is critical: its step waits for it.
	CriticalWeight = 0.5
	// weightExponent makes the weight drop quickly for runs shorter than the longest: an item
	// that takes half as long has weight 1/4, and may take twice as long as expected without
	// delaying its step.
	weightExponent = 2
	// spareWeight is the weight of items that the trainer does not need.
	spareWeight = 0.0
	// batchLimitMargin is the factor between the average batch size that the work needs and
	// the batch limit of an engine with a critical run. With a lower factor, short items wait
	// so long that those which turn out to be long delay the step; with a much higher one
	// the limit has no effect.
	batchLimitMargin = 1.5
	// yieldShare is the share of a step's time until due during which its items yield to
	// critical runs. Without this bound, two kinds of items might never start although engines
	// have capacity, and delay their own step: spare items, and items whose step runs beside
	// one that an earlier fault has delayed.
	yieldShare = 0.5
	// hurryShare is the share of a step's time until due after which no text should end, by its
	// estimate. The rest is for texts that turn out longer, their scores and the write of the
	// results.
	hurryShare = 0.6
	// defaultDueSeconds is the time that a step has if its job has no due time.
	defaultDueSeconds = 8.0
	// minBatchLimit keeps capacity for short items under a light load.
	minBatchLimit = 2
)

// Job is the state of one open job. Times are in seconds.
type Job struct {
	Age          float64 // since its submission
	Work         float64 // expected remaining events of its texts
	Longest      float64 // expected remaining events of the longest text that its trainer waits for
	EventSeconds float64 // time per event; 0 if unknown. Where engines are of unequal speed, at a fast one
	Due          float64 // from its submission until it is due; 0 if unknown
	// TypicalSeconds is the time per event at an engine that is not fast; 0 where engines are
	// of equal speed.
	TypicalSeconds float64
	// StartSeconds is the time per event at the slowest engine with a free slot, where engines
	// are of unequal speed; 0: as TypicalSeconds.
	StartSeconds float64
}

// unhurriedSeconds returns the time after its submission before which nothing waits for the end
// of the job's texts. Where engines are of unequal speed, a text that ends by then at a slow one
// gains nothing from a fast one.
func (j *Job) unhurriedSeconds() float64 {
	if j.TypicalSeconds == 0 {
		return 0
	}
	return min(j.yieldSeconds(), yieldShare*defaultDueSeconds)
}

// yieldSeconds returns how long after its submission the job's items yield to critical runs.
func (j *Job) yieldSeconds() float64 {
	return yieldShare * j.dueSeconds()
}

func (j *Job) dueSeconds() float64 {
	if j.Due > 0 {
		return j.Due
	}
	return defaultDueSeconds
}

func (j *Job) eventSeconds() float64 {
	if j.EventSeconds > 0 {
		return j.EventSeconds
	}
	return DefaultEventSeconds
}

// Projected returns how many seconds after its submission the job's step would be complete
// if it waited only for a text with the given number of remaining events.
func (j *Job) Projected(remaining float64) float64 { return j.Age + remaining*j.eventSeconds() }

// projectedTypical returns the same for a text at an engine that is not fast.
func (j *Job) projectedTypical(remaining float64) float64 {
	if j.TypicalSeconds == 0 {
		return j.Projected(remaining)
	}
	return j.Age + remaining*j.TypicalSeconds
}

// projectedStart returns the same for a text that starts now and gets no better engine than the
// slowest free one.
func (j *Job) projectedStart(remaining float64) float64 {
	if j.TypicalSeconds == 0 || j.StartSeconds == 0 {
		return j.projectedTypical(remaining)
	}
	return j.Age + remaining*j.StartSeconds
}

// Load is the load of the open jobs of one or several processes.
type Load struct {
	Projected float64 // seconds from submission to completion of the step that is expected to take longest
	Work      float64 // expected remaining events of all texts
	Longest   float64 // expected remaining events of the longest text that a trainer waits for
}

// TotalLoad returns the load of the given jobs.
func TotalLoad(jobs []Job) Load {
	l := Load{}
	for i := range jobs {
		j := &jobs[i]
		l.Work += j.Work
		l.Longest = max(l.Longest, j.Longest)
		if j.Longest > 0 {
			l.Projected = max(l.Projected, j.Projected(j.Longest), j.unhurriedSeconds())
		}
	}
	return l
}

// Merge adds the load of another process whose jobs run at the same engines. A trainer
// with time to spare then yields to one without, whichever processes own their jobs.
func (l *Load) Merge(other Load) {
	l.Work += other.Work
	l.Longest = max(l.Longest, other.Longest)
	l.Projected = max(l.Projected, other.Projected)
}

// Weight returns, from 0 to 1, how much the completion time of a run with the given number
// of remaining events matters: 1 for the run that determines when the longest step ends,
// close to 0 for a run that completes long before. Where engines are of unequal speed, the run
// is compared at a typical engine with the longest step at fast ones: a text that would be the
// last of its step at a slow engine matters as much as a longer one.
func (l *Load) Weight(j *Job, remaining float64, spare bool) float64 {
	if spare || l.Projected <= 0 {
		return spareWeight
	}
	return math.Pow(min(1, j.projectedTypical(remaining)/l.Projected), weightExponent)
}

// IsCritical reports whether a step waits for the run to complete. Other runs should stay
// at their engine: completing a text before its step needs it gains nothing, while a move
// costs a connection and the prefill of the tokens so far.
func (l *Load) IsCritical(j *Job, remaining float64, spare bool) bool {
	return l.Weight(j, remaining, spare) >= CriticalWeight
}

// WaitsFor reports whether a step would wait for the run at its current engine, where engines are
// of unequal speed: the run would be the last of all steps, or would end so late that its own step
// may miss the time that it is due. The job's TypicalSeconds is the time per event at the run's
// current engine.
func (l *Load) WaitsFor(j *Job, remaining float64, spare bool) bool {
	if spare || l.Projected <= 0 {
		return false
	}
	late := hurryShare * j.dueSeconds()
	return j.projectedTypical(remaining) >= max(j.unhurriedSeconds(), min(l.Projected, late))
}

// CriticalBatchLimit returns the number of requests at an engine with a critical run below
// which a run that is not critical may start there too: somewhat more than each engine has
// if the work is spread evenly over the time of the longest text. 0 means no limit: the
// item's job has waited long enough.
func (l *Load) CriticalBatchLimit(j *Job, engines int) int {
	if j.Age >= j.yieldSeconds() {
		return 0
	}
	if l.Longest <= 0 || engines <= 0 {
		return minBatchLimit
	}
	return max(minBatchLimit, int(math.Ceil(batchLimitMargin*l.Work/l.Longest/float64(engines))))
}

// Candidate is the item of one job that should start next within that job.
type Candidate struct {
	Job           *Job
	RemainingWork float64 // expected remaining events of its text
	Spare         bool    // its trainer does not need it
}

// Choose returns the index of the candidate that starts next: the one whose step would
// complete last if it started now. Spare items come after all others. It returns -1 if
// there are no candidates. Where engines are of unequal speed, items are compared at the slowest
// free engine: the first ones get the fast engines.
func Choose(candidates []Candidate) int {
	chosen, latest := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		projected := c.Job.projectedStart(c.RemainingWork)
		if chosen < 0 || candidates[chosen].Spare && !c.Spare || candidates[chosen].Spare == c.Spare && projected > latest {
			chosen, latest = i, projected
		}
	}
	return chosen
}
