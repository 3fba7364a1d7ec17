package batch

import "time"

// AbandonedTTL is how long after its submission a job is kept that nobody ends. A trainer ends a
// step within minutes; one that has not done so for a week has lost it.
const AbandonedTTL = 7 * 24 * time.Hour

// Retention says how long a job is kept.
type Retention struct {
	ResultTTL time.Duration // how long after its submission an ended job's results stay readable
	ClockSkew time.Duration // largest difference between the clocks of two machines
}

// Removal says whether and why a job is removed.
type Removal int

// The decisions on a job.
const (
	Keep            Removal = iota
	RemoveEnded             // it was ended, and its results need no longer be readable
	RemoveAbandoned         // nobody has ended it
)

// Decide returns whether a job is to be removed. An open job is kept with its results however
// old it is, unless it was abandoned: items may still run, and their trainer reads it.
func (r Retention) Decide(now, submitted time.Time, ended bool) Removal {
	age := now.Sub(submitted) - r.ClockSkew
	switch {
	case ended && age >= r.ResultTTL:
		return RemoveEnded
	case !ended && age >= max(r.ResultTTL, AbandonedTTL):
		return RemoveAbandoned
	default:
		return Keep
	}
}
