package callers

import "siskinloom.example/siskinloom/internal/wire"

// runRecorder records the runs and the answers of a schedule when they happen and counts
// the violations of the invariants.
type runRecorder struct {
	runs   map[string][]*run // by key
	notRun map[int64]bool    // submissions answered "not run"

	doubleRuns  int // runs of a request that had already run
	falseNotRun int // submissions that were answered "not run" but ran
	wrongOrCut  int // answers that differ from the answer of the request's run
	outcomes    map[wire.Outcome]int
	submissions int
}

func newRunRecorder() *runRecorder {
	return &runRecorder{
		runs:     map[string][]*run{},
		notRun:   map[int64]bool{},
		outcomes: map[wire.Outcome]int{},
	}
}

// recordRun records a run. A second run of a key is a double run; a run for a submission
// that was answered "not run" makes that answer false.
func (rec *runRecorder) recordRun(r *run) {
	if len(rec.runs[r.key]) > 0 {
		rec.doubleRuns++
	}
	rec.runs[r.key] = append(rec.runs[r.key], r)
	if rec.notRun[r.submissionID] {
		rec.falseNotRun++
	}
}

// recordAnswer records the answer to a submission.
func (rec *runRecorder) recordAnswer(s *submission, answer wire.Answer) {
	rec.outcomes[answer.Outcome]++
	switch answer.Outcome {
	case wire.NotRun:
		rec.notRun[s.id] = true
		if rec.runOf(s) != nil {
			rec.falseNotRun++
		}
	case wire.Answered:
		r := rec.runOf(s)
		if r == nil || r.answer != string(answer.Body) {
			rec.wrongOrCut++
		}
	}
}

// runOf returns the first run of the submission's key and body, or nil.
func (rec *runRecorder) runOf(s *submission) *run {
	for _, r := range rec.runs[s.key] {
		if r.body == s.body {
			return r
		}
	}
	return nil
}
