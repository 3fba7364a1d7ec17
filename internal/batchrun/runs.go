package batchrun

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/directory"
	"siskinloom.example/siskinloom/internal/dispatch"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/routes"
	"siskinloom.example/siskinloom/internal/upstream"
)

const (
	// noEnginePause is the wait when no engine may have an item now.
	noEnginePause = 25 * time.Millisecond
	// noRoutePause is the wait when no route allows an item.
	noRoutePause = 500 * time.Millisecond
	// firstEventLimit is how long an engine may take to the first event. A batch
	// that loads new weights stands still for one to two seconds.
	firstEventLimit = 3 * time.Second
	// gapLimit is how long it may take between events.
	gapLimit = 2 * time.Second
	// scoreLimit is how long a scoring call may take. Calls take a fifth of a
	// second; one that hangs is better asked again elsewhere.
	scoreLimit = 1500 * time.Millisecond
	// boundlessLeft is the time given to a run whose job names none.
	boundlessLeft = time.Minute
)

var errFellSilent = errors.New("batchrun: engine fell silent")

// startRuns starts items for as long as engines have room.
func (o *Owner) startRuns(j *ownedJob) {
	table := o.Directory.Table()
	if table == nil {
		return
	}
	for {
		now := time.Now()
		j.mu.Lock()
		j.job.Expire(now)
		start, found := j.job.NextStart(now)
		j.mu.Unlock()
		if !found {
			return
		}
		item := &j.job.Spec.Items[start.Index]
		route := table.Match(j.job.Spec.Host, item.Path)
		if route == nil {
			j.postpone(start.Index, now.Add(noRoutePause))
			continue
		}
		pick := o.pickEngine(j, routes.Service(route, item.ID), start, now)
		if pick == nil {
			j.postpone(start.Index, now.Add(noEnginePause))
			return
		}
		o.runs.Go(func() error { o.run(j, start, pick, route.Priority); return nil })
	}
}

func (j *ownedJob) postpone(i int, until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.job.Postpone(i, until)
}

func (o *Owner) pickEngine(j *ownedJob, service string, start batch.Start, now time.Time) *directory.Pick {
	request := endpoints.Request{Now: now, Model: j.job.Spec.Model, MinVersion: j.job.Spec.MinVersion, Version: start.Single, Within: true}
	if start.Last != "" {
		request.Tried = []string{start.Last}
		if pick := o.Directory.Pick(service, request); pick != nil {
			return pick
		}
		request.Tried = nil // the only engine left is better than none
	}
	return o.Directory.Pick(service, request)
}

// run has one engine generate an item's text from where it stands.
func (o *Owner) run(j *ownedJob, start batch.Start, pick *directory.Pick, priority int) {
	began := time.Now()
	how, outcome, made, err := o.generate(j, start, pick, priority)
	now := time.Now()
	pick.End(now, outcome, now.Sub(began), float64(made))
	j.mu.Lock()
	j.job.Ended(now, start.Index, how, pick.ID)
	j.mu.Unlock()
	if j.ctx.Err() == nil {
		o.noteRun(j, start, pick, how, made, now.Sub(began), err)
	}
	o.kick()
}

var runEnds = [...]string{"complete", "broke", "refused", "failed", "impossible", "off-version"}

func (o *Owner) noteRun(j *ownedJob, start batch.Start, pick *directory.Pick, how batch.RunEnd, made int, took time.Duration, err error) {
	if how == batch.RunBroke {
		o.stats.broken.Inc(1)
	}
	fields := logrus.Fields{
		"job": j.id, "request": j.job.Spec.Items[start.Index].ID, "endpoint": pick.ID, "end": runEnds[how], "events": made,
		"after_event": start.After, "version": pick.Versions[j.job.Spec.Model], "ms": took.Milliseconds(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	events.ItemRunEnded.Log(o.Log, fields)
}

func (o *Owner) generate(j *ownedJob, start batch.Start, pick *directory.Pick, priority int) (batch.RunEnd, endpoints.Outcome, int, error) {
	ctx, cancel := context.WithCancelCause(j.ctx)
	defer cancel(nil)
	silence := time.AfterFunc(firstEventLimit, func() { cancel(errFellSilent) })
	defer silence.Stop()
	answer, err := o.Sender.Send(ctx, &pick.Endpoint, itemRequest(j.job.Spec, start, priority))
	if err != nil {
		return o.brokenRun(ctx, err, 0)
	}
	defer func() { _ = answer.Body.Close() }()
	if how, outcome, done := refusedRun(answer, start); done {
		return how, outcome, 0, errors.Errorf("status %d", answer.Status)
	}
	in := dispatch.NewEvents(answer)
	for made := 0; ; made++ {
		event, err := in.Next()
		if errors.Is(err, io.EOF) {
			return batch.RunComplete, endpoints.Answered, made, nil
		}
		if err != nil {
			return o.brokenRun(ctx, &upstream.SendError{Sent: true, Err: err}, made)
		}
		silence.Reset(gapLimit)
		j.mu.Lock()
		fits := j.job.Event(start.Index, event.ID, event.Data, event.Version)
		j.mu.Unlock()
		if !fits {
			return batch.RunOffVersion, endpoints.Dropped, made, errors.Errorf("event %d of version %d does not continue the text", event.ID, event.Version)
		}
	}
}

func itemRequest(spec *batch.Spec, start batch.Start, priority int) *dispatch.Request {
	item := &spec.Items[start.Index]
	header := http.Header{}
	for _, pair := range item.Header {
		header.Add(pair[0], pair[1])
	}
	left := boundlessLeft
	if !spec.Expires.IsZero() {
		left = max(time.Second, time.Until(spec.Expires))
	}
	return &dispatch.Request{
		ID: item.ID, Method: http.MethodPost, Target: item.Path, Host: spec.Host, Header: header, Body: item.Body,
		Left: left, Resume: start.After, Version: start.Single, Urgency: min(9, max(0, priority)+1),
	}
}

// refusedRun weighs an answer that is no stream of events.
func refusedRun(a *dispatch.Answer, start batch.Start) (batch.RunEnd, endpoints.Outcome, bool) {
	switch {
	case a.Replaced && start.Single != 0:
		return batch.RunOffVersion, endpoints.Refused, true
	case a.Replaced:
		return batch.RunRefused, endpoints.Replaced, true
	case a.NotRun:
		return batch.RunRefused, endpoints.Refused, true
	case a.Status == http.StatusUnprocessableEntity:
		return batch.RunImpossible, endpoints.Answered, true
	case a.Status == http.StatusInternalServerError:
		return batch.RunFailed, endpoints.Answered, true
	case a.Status != http.StatusOK || a.Encoded || !a.Signed || a.Version == 0:
		return batch.RunBroke, endpoints.Broke, true
	}
	return 0, 0, false
}

func (o *Owner) brokenRun(ctx context.Context, err error, made int) (batch.RunEnd, endpoints.Outcome, int, error) {
	var send *upstream.SendError
	switch {
	case errors.Is(context.Cause(ctx), errFellSilent):
		return batch.RunBroke, endpoints.Unreached, made, errFellSilent
	case ctx.Err() != nil:
		return batch.RunBroke, endpoints.Dropped, made, err
	case errors.As(err, &send) && !send.Sent:
		return batch.RunRefused, endpoints.Unreached, made, err
	default:
		return batch.RunBroke, endpoints.Broke, made, err
	}
}

// startScores starts scoring calls for finished texts.
func (o *Owner) startScores(j *ownedJob) {
	table := o.Directory.Table()
	if table == nil {
		return
	}
	for {
		now := time.Now()
		j.mu.Lock()
		i, last, found := j.job.NextScore(now)
		j.mu.Unlock()
		if !found {
			return
		}
		scorer := j.job.Spec.Items[i].Scorer
		route := table.Match(scorer.Host, scorer.Path)
		if route == nil {
			j.scored(now, i, batch.ScoreUnsettled, "", last, 0)
			return
		}
		request := endpoints.Request{Now: now, Within: true}
		if last != "" {
			request.Tried = []string{last}
		}
		pick := o.Directory.Pick(routes.Service(route, scorer.ID), request)
		if pick == nil {
			j.scored(now, i, batch.ScoreUnsettled, "", "", route.MaxAttempts)
			return
		}
		o.runs.Go(func() error { o.score(j, i, pick, route.MaxAttempts); return nil })
	}
}

func (j *ownedJob) scored(now time.Time, i int, how batch.ScoreEnd, score, endpoint string, attempts int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.job.Scored(now, i, how, score, endpoint, attempts)
}

func (o *Owner) score(j *ownedJob, i int, pick *directory.Pick, attempts int) {
	began := time.Now()
	scorer := j.job.Spec.Items[i].Scorer
	how, outcome, seal, err := o.askScorer(j, scorer, pick)
	now := time.Now()
	pick.End(now, outcome, now.Sub(began), 1)
	j.scored(now, i, how, seal, pick.ID, attempts)
	if how != batch.ScoreGiven && j.ctx.Err() == nil {
		fields := logrus.Fields{"job": j.id, "request": scorer.ID, "item": j.job.Spec.Items[i].ID, "endpoint": pick.ID, "failed": how == batch.ScoreFailed, "ms": now.Sub(began).Milliseconds()}
		if err != nil {
			fields["error"] = err.Error()
		}
		events.ItemScoreLost.Log(o.Log, fields)
	}
	o.kick()
}

func (o *Owner) askScorer(j *ownedJob, scorer *batch.Scorer, pick *directory.Pick) (batch.ScoreEnd, endpoints.Outcome, string, error) {
	ctx, cancel := context.WithTimeout(j.ctx, scoreLimit)
	defer cancel()
	request := &dispatch.Request{ID: scorer.ID, Method: http.MethodPost, Target: scorer.Path, Host: scorer.Host, Header: http.Header{}, Body: scorer.Body, Left: scoreLimit, Urgency: -1}
	answer, err := o.Sender.Send(ctx, &pick.Endpoint, request)
	if err != nil {
		return batch.ScoreUnsettled, unreachedOrBroke(j.ctx, err), "", err
	}
	defer func() { _ = answer.Body.Close() }()
	_, err = io.Copy(io.Discard, answer.Body)
	switch {
	case answer.NotRun:
		return batch.ScoreUnsettled, endpoints.Refused, "", nil
	case answer.Replaced:
		return batch.ScoreUnsettled, endpoints.Replaced, "", nil
	case err != nil:
		return batch.ScoreUnsettled, endpoints.Broke, "", err
	case answer.Status == http.StatusInternalServerError:
		return batch.ScoreFailed, endpoints.Answered, "", nil
	case answer.Status >= http.StatusMultipleChoices || !answer.Signed || answer.Encoded:
		return batch.ScoreUnsettled, endpoints.Broke, "", errors.Errorf("status %d", answer.Status)
	}
	return batch.ScoreGiven, endpoints.Answered, answer.Seal, nil
}

func unreachedOrBroke(job context.Context, err error) endpoints.Outcome {
	var send *upstream.SendError
	switch {
	case job.Err() != nil:
		return endpoints.Dropped
	case errors.As(err, &send) && !send.Sent, errors.Is(err, context.DeadlineExceeded):
		return endpoints.Unreached
	default:
		return endpoints.Broke
	}
}
