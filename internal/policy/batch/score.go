package batch

import "time"

// scoringCalls is the state of the calls that score an item's text.
type scoringCalls struct {
	inFlight      int
	failures      int       // failures that the scorer reported
	interruptions int       // calls that were interrupted
	maxAttempts   int       // failures that the scorer's route allows; 0 if not known yet
	lastEndpoint  string    // endpoint of the last call
	lastCallAt    time.Time // when the last call started
}

// limit returns how many calls may be in flight at once. After a failure, all remaining
// attempts that the route allows are made concurrently: most scorers that fail once fail
// permanently, and a step that waits for such an item would otherwise wait for one call
// after the other. A call that takes longer than hedgeDelay is hedged with a second one.
func (s *scoringCalls) limit(now time.Time, hedgeDelay time.Duration) int {
	switch {
	case s.failures > 0:
		return max(1, s.maxAttempts-s.failures)
	case s.inFlight > 0 && hedgeDelay > 0 && now.Sub(s.lastCallAt) >= hedgeDelay:
		return 2
	default:
		return 1
	}
}

// NextScore returns the index of an item whose text is to be scored, with the endpoint of
// its last scoring call, and counts one call as in flight. A call that takes longer than
// hedgeDelay is hedged with a second one; a hedgeDelay of 0 disables hedging.
func (j *Job) NextScore(now time.Time, hedgeDelay time.Duration) (index int, last string, ok bool) {
	if j.closed {
		return 0, "", false
	}
	for i := range j.items {
		it := &j.items[i]
		if it.phase != generated && it.phase != scoring || now.Before(it.notBefore) || it.scoringCalls.inFlight >= it.scoringCalls.limit(now, hedgeDelay) {
			continue
		}
		it.phase = scoring
		it.scoringCalls.inFlight++
		it.scoringCalls.lastCallAt = now
		return i, it.scoringCalls.lastEndpoint, true
	}
	return 0, "", false
}

// UnscoredTexts returns the number of complete texts that no scoring call is in flight for.
func (j *Job) UnscoredTexts() int {
	if j.closed {
		return 0
	}
	n := 0
	for i := range j.items {
		if j.items[i].phase == generated {
			n++
		}
	}
	return n
}

// SetScoringEndpoint records the endpoint of the call that NextScore counted.
func (j *Job) SetScoringEndpoint(i int, endpoint string) {
	j.items[i].scoringCalls.lastEndpoint = endpoint
}

// ScoreOutcome is the way in which a scoring call ended.
type ScoreOutcome int

// The outcomes of scoring calls.
const (
	ScoreGiven       ScoreOutcome = iota
	ScoreFailed                   // the scorer reported a failure
	ScoreRetryable                // the call was refused, or its timeout passed
	ScoreInterrupted              // the answer broke off, or the scorer ended
	ScoreUnsendable               // the call can't be sent to any scorer
)

// ScoringEnded records that a scoring call ended. maxAttempts is the number of failures that
// the scorer's route allows.
func (j *Job) ScoringEnded(now time.Time, i int, outcome ScoreOutcome, score string, maxAttempts int) {
	it := &j.items[i]
	if it.phase != scoring {
		return // another call determined the result
	}
	it.scoringCalls.inFlight--
	it.scoringCalls.maxAttempts = max(1, maxAttempts, j.Spec.MaxAttempts)
	switch outcome {
	case ScoreGiven:
		j.complete(i, score)
		return
	case ScoreFailed:
		it.scoringCalls.failures++
		if it.scoringCalls.failures >= it.scoringCalls.maxAttempts {
			j.abort(i)
			return
		}
	case ScoreRetryable:
		it.notBefore = now.Add(refusalBackoff)
	case ScoreInterrupted:
		it.scoringCalls.interruptions++
		it.notBefore = now.Add(max(refusalBackoff, interruptionDelay(it.scoringCalls.interruptions)))
	case ScoreUnsendable:
		j.waitForExpiry(i)
		if it.phase == ended {
			return
		}
	}
	if it.scoringCalls.inFlight == 0 {
		it.phase = generated
	}
}
