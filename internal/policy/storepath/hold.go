package storepath

import "time"

const (
	// holdFor is how long a submission is kept and tried again while nobody reaches
	// the store. Submitters leave after little more than a second.
	holdFor = 500 * time.Millisecond
	// HoldRetryInterval is the pause between two tries; each looks at the store once.
	HoldRetryInterval = 100 * time.Millisecond
	// soonest is when a caller should come back that was refused for want of the
	// store, and comeBackSpread what is drawn by lot on top of it, so that those
	// refused together do not return together.
	soonest        = 150 * time.Millisecond
	comeBackSpread = 150 * time.Millisecond
)

// HoldDuration returns how long a submission that finds the store away is kept and tried
// again; unreachable tells that no other process reaches the store either.
//
// The load that it answers: trainers submit a step every few seconds and, while it
// is refused, again and again for some seconds; then the step is lost. Nobody knows
// when an outage ends. A refused submitter comes back two or three times a second,
// each time with the whole step, and the last time that it does may be just before
// the store is back. Kept for half a second each time it is nearly always there when
// the store is. Where others reach the store it is sent to them at once.
func HoldDuration(unreachable bool) time.Duration {
	if unreachable {
		return holdFor
	}
	return 0
}

// RetryAfter returns when a caller should come back that was refused for want of the
// store; lot is drawn from [0, 1). It is soon: another process may reach the store,
// or it may be back.
func RetryAfter(lot float64) time.Duration {
	return soonest + time.Duration(lot*float64(comeBackSpread))
}
