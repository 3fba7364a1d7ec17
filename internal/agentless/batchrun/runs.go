package batchrun

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/agentless/upstream"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/payload"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/policy/routes"
)

const (
	// noEngineDelay is how long an item waits after no engine was available for it.
	noEngineDelay = 25 * time.Millisecond
	// noRouteDelay is how long an item waits after no route matched it.
	noRouteDelay = 500 * time.Millisecond
	// firstEventTimeout is the timeout for the first event of a run. A batch that loads new
	// weights pauses for one to two seconds.
	firstEventTimeout = 3 * time.Second
	// eventGapTimeout is the timeout between two events.
	eventGapTimeout = 2 * time.Second
	// scoreTimeout is the timeout of a scoring call. Calls take 200 ms; one that hangs is better
	// retried at another scorer.
	scoreTimeout = 1500 * time.Millisecond
	// maxScoreAnswerBytes is the limit of a scorer's answer, of which only the header is of use.
	maxScoreAnswerBytes = 4 << 20
	// defaultRunTimeout is the timeout of a run whose job has no expiry time.
	defaultRunTimeout = time.Minute
)

// run lets an engine continue an item's text, and further ones to which the text is moved by time.
// The admission holds for all of them and ends with the last one.
func (o *Owner) run(j *ownedJob, start batch.RunStart, pick *directory.Pick, admission *quarantine.Admission) {
	defer admission.Ended()
	r := &itemRun{owner: o, job: j, start: start, pick: pick, began: time.Now()}
	for r != nil {
		admission.Started(r.pick.ID)
		r = o.runAt(r)
	}
}

// runAt lets the run's engine continue the item's text. It returns the run that follows if the
// text was moved to another engine by time.
func (o *Owner) runAt(r *itemRun) *itemRun {
	j, start, pick := r.job, r.start, r.pick
	runOutcome, endpointOutcome, err := r.generate()
	now := time.Now()
	if seconds, known := r.pace.measured(); known {
		pick.ObservePace(seconds)
	}
	pick.End(now, endpointOutcome, now.Sub(r.began), float64(r.generated))
	r.reportEnd(runOutcome, endpointOutcome)
	j.mu.Lock()
	j.job.RunEnded(now, start.Index, runOutcome, pick.ID)
	o.sinksOf(j).ended(j, start.Index, runOutcome)
	next := r.continueElsewhere(now, runOutcome)
	j.mu.Unlock()
	if j.ctx.Err() == nil {
		o.recordRun(r, runOutcome, now.Sub(r.began), err)
	}
	if next != nil {
		r.logMove()
	}
	o.wakeDispatch()
	return next
}

// runOutcomeNames holds the names of the outcomes of runs in log lines, by batch.RunOutcome.
var runOutcomeNames = [...]string{"complete", "broke", "refused", "failed", "impossible", "off-version", "moved", "unsendable", "overlong"}

func (o *Owner) recordRun(r *itemRun, runOutcome batch.RunOutcome, took time.Duration, err error) {
	switch runOutcome {
	case batch.RunInterrupted:
		o.stats.broken.Inc(1)
	case batch.RunCancelledToMove:
		o.stats.moved.Inc(1)
	}
	spec := r.job.job.Spec
	fields := logrus.Fields{
		"job": r.job.id, "request": spec.Items[r.start.Index].ID, "endpoint": r.pick.ID, "end": runOutcomeNames[runOutcome], "events": r.generated,
		"after_event": r.start.ResumeAfter, "version": r.pick.Versions[spec.Model], "ms": took.Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	events.ItemRunEnded.Log(o.Log, fields)
}

// startScores starts scoring calls for complete texts.
func (o *Owner) startScores(j *ownedJob) {
	table := o.Directory.Table()
	if table == nil {
		return
	}
	for {
		now := time.Now()
		j.mu.Lock()
		i, last, found := j.job.NextScore(now, o.scoreTimes.hedgeDelay())
		j.mu.Unlock()
		if !found {
			return
		}
		scorer := j.job.Spec.Items[i].Scorer
		route := table.Match(scorer.Host, scorer.Path)
		if route == nil {
			o.scored(j, now, i, batch.ScoreRetryable, "", 0)
			return
		}
		request := endpoints.Request{Now: now, RequireFreeSlot: true}
		if last != "" {
			request.Tried = []string{last}
		}
		service := routes.SelectService(route, scorer.ID)
		call := scoreCall{service: service, customer: j.job.Spec.Customer}
		pick := o.pickScorer(j, call, request)
		if pick == nil {
			o.scored(j, now, i, batch.ScoreRetryable, "", route.MaxAttempts)
			return
		}
		j.mu.Lock()
		j.job.SetScoringEndpoint(i, pick.ID)
		j.mu.Unlock()
		admission := o.Quarantine.AdmitOwed(scorerFingerprint(scorer))
		admission.Started(pick.ID)
		o.runs.Go(func() error {
			defer admission.Ended()
			o.score(j, i, pick, route.MaxAttempts)
			o.scoreDemand.ended(call)
			o.wakeDispatch()
			return nil
		})
	}
}

func (o *Owner) scored(j *ownedJob, now time.Time, i int, scoreOutcome batch.ScoreOutcome, score string, attempts int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if eventCount := j.job.EventCount(i); scoreOutcome == batch.ScoreGiven && eventCount > 0 { // 0 if the item has a result, as after a faster call
		o.sinksOf(j).scored(j, j.job.Spec.Items[i].ID, eventCount, score)
	}
	j.job.ScoringEnded(now, i, scoreOutcome, score, attempts)
}

func (o *Owner) score(j *ownedJob, i int, pick *directory.Pick, attempts int) {
	began := time.Now()
	scorer := j.job.Spec.Items[i].Scorer
	scoreOutcome, endpointOutcome, seal, err := o.askScorer(j, scorer, pick)
	now := time.Now()
	if scoreOutcome == batch.ScoreGiven {
		o.scoreTimes.observe(now.Sub(began))
	}
	pick.End(now, endpointOutcome, now.Sub(began), 1)
	o.reportScoring(scorer, pick, endpointOutcome)
	o.scored(j, now, i, scoreOutcome, seal, attempts)
	if scoreOutcome != batch.ScoreGiven && j.ctx.Err() == nil {
		fields := logrus.Fields{"job": j.id, "request": scorer.ID, "item": j.job.Spec.Items[i].ID, "endpoint": pick.ID, "failed": scoreOutcome == batch.ScoreFailed, "ms": now.Sub(began).Milliseconds()}
		if err != nil {
			fields["error"] = err.Error()
		}
		events.ItemScoreLost.Log(o.Log, fields)
	}
}

// scorerFingerprint returns the fingerprint of a scoring call's content.
func scorerFingerprint(s *batch.Scorer) uint64 {
	return poison.Fingerprint(s.Body, http.MethodPost, s.Host, s.Path)
}

// reportScoring tells the quarantine how a scoring call ended; see itemRun.reportEnd.
func (o *Owner) reportScoring(s *batch.Scorer, pick *directory.Pick, outcome endpoints.Outcome) {
	switch outcome {
	case endpoints.Answered:
		o.Quarantine.Answered(scorerFingerprint(s))
	case endpoints.Replaced:
		o.Quarantine.EndpointReplaced(&pick.Endpoint)
	case endpoints.BrokenAnswer:
		o.Quarantine.EndpointLost(&pick.Endpoint)
	}
}

func (o *Owner) askScorer(j *ownedJob, scorer *batch.Scorer, pick *directory.Pick) (batch.ScoreOutcome, endpoints.Outcome, string, error) {
	ctx, cancel := context.WithTimeout(j.ctx, scoreTimeout)
	defer cancel()
	request := &dispatch.Request{ID: scorer.ID, Method: http.MethodPost, Target: scorer.Path, Host: scorer.Host, Header: http.Header{}, Body: payload.Of(scorer.Body), Timeout: scoreTimeout, Urgency: -1}
	answer, err := o.Sender.Send(ctx, &pick.Endpoint, request)
	if errors.Is(err, upstream.ErrMalformed) {
		return batch.ScoreUnsendable, endpoints.Cancelled, "", err
	}
	if err != nil {
		outcome := classifyScoreError(j.ctx, err)
		if outcome == endpoints.BrokenAnswer {
			return batch.ScoreInterrupted, outcome, "", err
		}
		return batch.ScoreRetryable, outcome, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	read, err := io.CopyN(io.Discard, answer.Body, maxScoreAnswerBytes+1)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	switch {
	case read > maxScoreAnswerBytes:
		return batch.ScoreInterrupted, endpoints.BrokenAnswer, "", errors.New("batchrun: the scorer's answer is too long")
	case answer.NotRun:
		return batch.ScoreRetryable, endpoints.Refused, "", nil
	case answer.Replaced:
		return batch.ScoreRetryable, endpoints.Replaced, "", nil
	case err != nil:
		return batch.ScoreInterrupted, endpoints.BrokenAnswer, "", err
	case answer.Status == http.StatusInternalServerError:
		return batch.ScoreFailed, endpoints.Answered, "", nil
	case answer.Status >= http.StatusMultipleChoices || !answer.Signed || answer.Encoded:
		return batch.ScoreInterrupted, endpoints.BrokenAnswer, "", errors.Errorf("status %d", answer.Status)
	}
	return batch.ScoreGiven, endpoints.Answered, answer.Seal, nil
}

func classifyScoreError(job context.Context, err error) endpoints.Outcome {
	var send *upstream.SendError
	switch {
	case job.Err() != nil:
		return endpoints.Cancelled
	case errors.As(err, &send) && !send.Sent, errors.Is(err, context.DeadlineExceeded):
		return endpoints.Unreachable
	default:
		return endpoints.BrokenAnswer
	}
}
