// Package schedule weighs the items of all jobs that one process runs against
// each other: what starts first, how much a run's end matters, and how many
// requests an engine may run beside a run that matters. It does no input or
// output and keeps no time.
//
// The load that it answers: steps of a hundred items and more arrive at once,
// every few seconds, at engines that generate an event a third slower in a full
// batch than alone. A trainer waits for the longest text of its step, five times
// as long as the mean, while the others are done in a fraction of its time. So
// the step's time is the longest texts' number of events times the pace of their
// engines, and the others only need to be out of their way.
package schedule

import "math"

const (
	// DefaultEventSeconds is the time of an event in seconds until runs have shown it.
	DefaultEventSeconds = 0.03
	// CriticalWeight is the weight from which a run is one that its step waits for.
	CriticalWeight = 0.5
	// weightPower has the weight fall off fast below the longest: an item of half
	// its time has weight 1/4 and may be twice as long as expected without being
	// waited for.
	weightPower = 2
	// spareWeight is the weight of items that the trainer can do without.
	spareWeight = 0.0
	// narrowMargin is how many times the width that the work needs on average an
	// engine with a heavy run may have: with less, short items wait so long that those
	// which turn out long hold up the step; with much more the limit has no effect.
	narrowMargin = 1.5
	// patienceShare of the time that a step has is how long after its submission its
	// items yield to heavy runs. Items that never start hold their step up as well,
	// though engines have room: those that a trainer can do without, and those beside
	// a step that an old fault has made late.
	patienceShare = 0.5
	// assumedDue is the time in seconds that a step has if nobody says.
	assumedDue = 8.0
	// leastNarrow keeps room for the short items of a light load.
	leastNarrow = 2
)

// Job is what is known of one open job. Times are in seconds.
type Job struct {
	Age          float64 // since it was submitted
	Work         float64 // events that its texts are expected to have yet
	Longest      float64 // of the text that its trainer waits for longest
	EventSeconds float64 // seconds that an event takes; 0: not known
	Due          float64 // from its submission until it is due; 0: not known
}

// patience is how long after its submission the job's items yield to heavy runs.
func (j *Job) patience() float64 {
	if j.Due > 0 {
		return patienceShare * j.Due
	}
	return patienceShare * assumedDue
}

func (j *Job) pace() float64 {
	if j.EventSeconds > 0 {
		return j.EventSeconds
	}
	return DefaultEventSeconds
}

// Projected returns how long after its submission a step would be whole if it
// waited for nothing but a text with so many events to come.
func (j *Job) Projected(rest float64) float64 { return j.Age + rest*j.pace() }

// Load is the load of a process's open jobs, or of several processes'.
type Load struct {
	Projected float64 // seconds of the step that is expected to take longest
	Work      float64 // events that all texts are expected to have yet
	Longest   float64 // events of the text that any trainer waits for longest
}

// TotalLoad sums up the open jobs.
func TotalLoad(jobs []Job) Load {
	l := Load{}
	for i := range jobs {
		j := &jobs[i]
		l.Work += j.Work
		l.Longest = max(l.Longest, j.Longest)
		if j.Longest > 0 {
			l.Projected = max(l.Projected, j.Projected(j.Longest))
		}
	}
	return l
}

// Merge adds another process's load, whose jobs run at the same engines. A trainer
// with time to spare then yields to one without, whoever owns their jobs.
func (l *Load) Merge(other Load) {
	l.Work += other.Work
	l.Longest = max(l.Longest, other.Longest)
	l.Projected = max(l.Projected, other.Projected)
}

// Weight returns how much it matters when a run ends that has so many events to
// come: 1 for the one that some step waits for longest, little for one that is
// done long before.
func (l *Load) Weight(j *Job, rest float64, spare bool) float64 {
	if spare || l.Projected <= 0 {
		return spareWeight
	}
	return math.Pow(min(1, j.Projected(rest)/l.Projected), weightPower)
}

// IsCritical tells whether some step waits for a run's end. Others may as well stay
// where they are: a move that ends a text sooner than its step needs it gains
// nobody anything, and costs a connection and the tokens read in again.
func (l *Load) IsCritical(j *Job, rest float64, spare bool) bool {
	return l.Weight(j, rest, spare) >= CriticalWeight
}

// CriticalBatchLimit returns how many requests an engine with a heavy run may have for one
// that is not heavy to start there too: somewhat more than each of the engines
// has if the work is spread evenly over the time of the longest text. 0 stands for
// any number: the item's job has waited long enough.
func (l *Load) CriticalBatchLimit(j *Job, engines int) int {
	if j.Age >= j.patience() {
		return 0
	}
	if l.Longest <= 0 || engines <= 0 {
		return leastNarrow
	}
	return max(leastNarrow, int(math.Ceil(narrowMargin*l.Work/l.Longest/float64(engines))))
}

// Candidate is the item of one job that should start next.
type Candidate struct {
	Job           *Job
	RemainingWork float64 // events that its text is expected to have yet
	Spare         bool    // its trainer can do without it
}

// Choose returns which item of several jobs starts next: the one whose step would
// be whole last, were it to start now, and only then those that trainers can do
// without. -1 if there are none.
func Choose(waiting []Candidate) int {
	chosen, latest := -1, 0.0
	for i := range waiting {
		w := &waiting[i]
		projected := w.Job.Projected(w.RemainingWork)
		if chosen < 0 || waiting[chosen].Spare && !w.Spare || waiting[chosen].Spare == w.Spare && projected > latest {
			chosen, latest = i, projected
		}
	}
	return chosen
}
