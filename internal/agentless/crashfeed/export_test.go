package crashfeed

// Limits of what a process takes from one other, for specs in virtual time.
var (
	NewLimiter = newLimiter
	DelayAfter = delayAfter
)
