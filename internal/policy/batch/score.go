package batch

import "time"

// scores are the calls that score an item's text.
type scores struct {
	underWay int
	failed   int       // answers that the scorer failed
	attempts int       // answers of failure that the scorer's route allows; 0: not known yet
	at       string    // endpoint that was asked last
	asked    time.Time // when the last call began
}

// calls returns how many calls may be under way at once. After a failure the others that
// the route allows are made together: most scorers that failed once fail for good, and a
// step that waits for such an item would wait for one call after the other. A call that
// takes long is joined by a second one.
func (s *scores) calls(now time.Time, patience time.Duration) int {
	switch {
	case s.failed > 0:
		return max(1, s.attempts-s.failed)
	case s.underWay > 0 && patience > 0 && now.Sub(s.asked) >= patience:
		return 2
	default:
		return 1
	}
}

// NextScore returns the index of an item whose text wants a score, with the endpoint that
// was asked last, and counts one call as under way. Calls that are older than patience are
// joined by a second one; 0 stands for never.
func (j *Job) NextScore(now time.Time, patience time.Duration) (index int, last string, ok bool) {
	if j.closed {
		return 0, "", false
	}
	for i := range j.items {
		it := &j.items[i]
		if it.phase != written && it.phase != scoring || now.Before(it.notBefore) || it.scores.underWay >= it.scores.calls(now, patience) {
			continue
		}
		it.phase = scoring
		it.scores.underWay++
		it.scores.asked = now
		return i, it.scores.at, true
	}
	return 0, "", false
}

// SetScoringEndpoint notes the endpoint of the call that NextScore counted.
func (j *Job) SetScoringEndpoint(i int, endpoint string) { j.items[i].scores.at = endpoint }

// ScoreOutcome is how a scoring call ended.
type ScoreOutcome int

// The ends of scoring calls.
const (
	ScoreGiven     ScoreOutcome = iota
	ScoreFailed                 // the scorer answered that it failed
	ScoreRetryable              // no whole answer came, or the call was refused
)

// ScoringEnded takes in the end of a scoring call. attempts is how many answers of
// failure the scorer's route allows.
func (j *Job) ScoringEnded(now time.Time, i int, how ScoreOutcome, score string, attempts int) {
	it := &j.items[i]
	if it.phase != scoring {
		return // another call settled it
	}
	it.scores.underWay--
	it.scores.attempts = max(1, attempts, j.Spec.MaxAttempts)
	switch how {
	case ScoreGiven:
		j.complete(i, score)
		return
	case ScoreFailed:
		it.scores.failed++
		if it.scores.failed >= it.scores.attempts {
			j.abort(i)
			return
		}
	case ScoreRetryable:
		it.notBefore = now.Add(refusedPause)
	}
	if it.scores.underWay == 0 {
		it.phase = written
	}
}
