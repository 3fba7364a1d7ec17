package membership

import (
	"slices"
	"time"
)

const (
	// bytesPerInstance is the approximate size of one instance of the list on the
	// wire.
	bytesPerInstance = 96
	// smallListInstances is the number of instances up to which the list is read
	// every minPollInterval.
	smallListInstances = 32
	// listBytesPerSecond is the approximate traffic of an entry of a large fleet
	// for reading the list. The list grows with the fleet: with 1,670 instances,
	// one read a second would take ten times the traffic allowed for all control
	// work.
	listBytesPerSecond = 1600
	minPollInterval    = time.Second
	maxPollInterval    = 2 * time.Minute
)

// PollInterval returns the interval at which an entry reads a list of the given
// number of instances.
func PollInterval(instances int) time.Duration {
	extra := max(0, instances-smallListInstances)
	return min(minPollInterval+time.Duration(extra)*bytesPerInstance*time.Second/listBytesPerSecond, maxPollInterval)
}

// NextPoll returns the time at which the entry self reads the list next. The
// entries' reads are spread evenly over an interval, so that with any number of
// instances one entry reads the list within about a second and, by Change.Notify,
// notifies the agents concerned.
func NextPoll(now time.Time, self string, entries []string, instances int) time.Time {
	interval := PollInterval(instances)
	rank := 0
	for _, e := range entries {
		if e < self {
			rank++
		}
	}
	slots := len(entries)
	if !slices.Contains(entries, self) {
		slots++
	}
	offset := interval * time.Duration(rank) / time.Duration(slots)
	next := now.Truncate(interval).Add(offset)
	if !next.After(now) {
		next = next.Add(interval)
	}
	return next
}
