package storepath

import "time"

const (
	// holdDuration is how long a submission is held and retried while no process reaches
	// the store. A submitter waits for an answer for little more than a second.
	holdDuration = 500 * time.Millisecond
	// HoldRetryInterval is the interval between two tries of a held submission. Each try
	// calls the store once.
	HoldRetryInterval = 100 * time.Millisecond
	// minRetryAfter is the shortest delay after which a caller should retry if it was
	// refused because the store is unreachable. Up to retryAfterJitter is added at random,
	// so that callers refused at the same time do not retry at the same time.
	minRetryAfter    = 150 * time.Millisecond
	retryAfterJitter = 150 * time.Millisecond
)

// HoldDuration returns how long a submission is held and retried if this process does not
// reach the store. unreachable says that no other process reaches the store either. If
// others do, the duration is 0, as the submission can be sent to them at once.
//
// Trainers submit a step every few seconds. If it is refused, they repeat it for some
// seconds, and then the step is lost. A refused submitter retries two or three times a
// second, each time with the whole step, and its last try may come just before the store
// recovers, which nobody can predict. If each try is held for half a second, one is
// nearly always pending when the store recovers.
func HoldDuration(unreachable bool) time.Duration {
	if unreachable {
		return holdDuration
	}
	return 0
}

// RetryAfter returns the delay after which a caller should retry if it was refused because
// the store is unreachable. random is a random number in [0, 1). The delay is short, since
// another process may reach the store or the store may have recovered.
func RetryAfter(random float64) time.Duration {
	return minRetryAfter + time.Duration(random*float64(retryAfterJitter))
}
