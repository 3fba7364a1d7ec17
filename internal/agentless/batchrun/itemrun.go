package batchrun

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/upstream"
	"siskinloom.example/siskinloom/internal/payload"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/policy/schedule"
)

const (
	// minPaceEvents is how many events of a run are needed to measure its pace.
	minPaceEvents = 8
	// slowCheckEvents is the number of events after which a run checks for a faster engine.
	slowCheckEvents = 4
	// maxRunBytes is the limit of the events of one run. A faulty engine may send events without end.
	maxRunBytes = 8 << 20
)

var (
	errEngineTimeout = errors.New("batchrun: engine sent no event before the timeout")
	errCrowded       = errors.New("batchrun: another engine has fewer requests")
	errRunTooLong    = errors.New("batchrun: the engine sent more than a text can have")
	errTooSlow       = errors.New("batchrun: another engine is faster")
	errEndsSooner    = errors.New("batchrun: the text ends sooner at another engine")
)

// itemRun is one run of an item at one engine.
type itemRun struct {
	owner     *Owner
	job       *ownedJob
	start     batch.RunStart
	pick      *directory.Pick
	began     time.Time
	generated int // number of events
	bytes     int // size of their data
	pace      pace
	speed     speedMeter
	promised  float64  // seconds per event that were expected when the text was moved here; 0: it was not moved by time
	next      *nextRun // where the text continues after this run was cancelled to move it; nil: dispatch decides
}

// engineRequest returns the requirements of an item on its engine.
func engineRequest(spec *batch.Spec, start batch.RunStart, now time.Time) endpoints.Request {
	return endpoints.Request{Now: now, Model: spec.Model, MinVersion: spec.MinVersion, Version: start.RequiredVersion, RequireFreeSlot: true}
}

func (r *itemRun) generate() (batch.RunOutcome, endpoints.Outcome, error) {
	ctx, cancel := context.WithCancelCause(r.job.ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(firstEventTimeout, func() { cancel(errEngineTimeout) })
	defer idleTimer.Stop()
	answer, err := r.owner.Sender.Send(ctx, &r.pick.Endpoint, itemRequest(r.job.job.Spec, r.start))
	if err != nil {
		return classifyRunError(ctx, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if runOutcome, endpointOutcome, done := classifyAnswer(answer, r.start); done {
		return runOutcome, endpointOutcome, errors.Errorf("status %d", answer.Status)
	}
	return r.read(ctx, dispatch.NewEventReader(answer), idleTimer)
}

// read processes events until the stream ends, or the run should be cancelled to move the item.
func (r *itemRun) read(ctx context.Context, in *dispatch.EventReader, idleTimer *time.Timer) (batch.RunOutcome, endpoints.Outcome, error) {
	for {
		event, err := in.Next()
		if errors.Is(err, io.EOF) {
			return batch.RunComplete, endpoints.Answered, nil
		}
		if err != nil {
			return classifyRunError(ctx, &upstream.SendError{Sent: true, Err: err})
		}
		idleTimer.Reset(eventGapTimeout)
		if r.bytes += len(event.Data); r.bytes > maxRunBytes {
			return batch.RunOverlong, endpoints.BrokenAnswer, errRunTooLong
		}
		if !r.addEvent(event) {
			return batch.RunVersionMismatch, endpoints.Cancelled, errors.Errorf("event %d of version %d does not continue the text", event.ID, event.Version)
		}
		if reason := r.reasonToMove(); reason != nil {
			return batch.RunCancelledToMove, endpoints.Answered, reason
		}
	}
}

// addEvent adds an event to the text and reports whether it continues it. An event without a
// weight version cannot be labelled; only a stream with nothing left to generate has none.
func (r *itemRun) addEvent(event dispatch.Event) bool {
	if event.Version <= 0 {
		return false
	}
	r.generated++
	now := time.Now()
	if r.generated == 1 {
		r.owner.moveTimes.observe(now.Sub(r.began))
	}
	r.pace.observe(now)
	r.speed.observeSpeed(now, r.pick)
	r.job.mu.Lock()
	defer r.job.mu.Unlock()
	if !r.job.job.AddEvent(r.start.Index, event.ID, event.Data, event.Version) {
		return false
	}
	r.owner.sinksOf(r.job).event(r.job, r.job.job.Spec.Items[r.start.Index].ID, event.ID, event.Data, event.Version)
	return true
}

// minMoveGain is the least gain, in events, for which a run is moved to another engine. A move
// takes less than the time of one event, but it also needs a new connection and changes the
// loads of two engines.
const minMoveGain = 8.0

// crowdedCheckEvents is the number of events after which a run checks for a less loaded engine.
const crowdedCheckEvents = 8

// crowded reports whether a critical item would be done sooner at an engine with fewer
// requests. Without this check the last runs of a step continue in batches that the next step's
// items fill, while other engines are nearly idle.
func (r *itemRun) crowded() bool {
	if r.generated%crowdedCheckEvents != 0 || !r.owner.Switches.On(mechanism.MoveCrowded) {
		return false
	}
	request := engineRequest(r.job.job.Spec, r.start, time.Now())
	r.job.mu.Lock()
	request.RemainingWork = r.job.job.RemainingWork(r.start.Index)
	spare := r.job.job.Spare(r.start.Index)
	r.job.mu.Unlock()
	return r.isCritical(request.RemainingWork, spare) && r.pick.HasLessLoaded(request, minMoveGain)
}

// isCritical reports whether a step waits for the run, by the load of all jobs at the last
// dispatch.
func (r *itemRun) isCritical(remaining float64, spare bool) bool {
	load := r.owner.lastLoad.Load()
	view := schedule.Job{Age: time.Since(r.job.job.Spec.Submitted).Seconds(), EventSeconds: r.pace.eventSeconds()}
	return load != nil && load.IsCritical(&view, remaining, spare)
}

// tooSlow reports whether the item would be done sooner elsewhere. An engine that became slow
// delays the whole group of an item, whereas the prefill of the text at another engine takes
// some 10 ms.
func (r *itemRun) tooSlow() bool {
	if r.generated < minPaceEvents || r.generated%slowCheckEvents != 0 || !r.owner.Switches.On(mechanism.MoveSlow) {
		return false
	}
	return r.pick.HasFaster(engineRequest(r.job.job.Spec, r.start, time.Now()), r.pace.eventSeconds())
}

// itemFingerprint returns the fingerprint of an item's content. It is the same in each job that
// has the item.
func itemFingerprint(spec *batch.Spec, i int) uint64 {
	item := &spec.Items[i]
	return poison.Fingerprint(item.Body, http.MethodPost, spec.Host, item.Path)
}

// reportEnd tells the quarantine how the run ended. An item is owed whatever ends under it, so that it
// is neither held back nor suspected when its endpoint ends, but its answer proves that callers'
// requests with its content are harmless.
func (r *itemRun) reportEnd(runOutcome batch.RunOutcome, endpointOutcome endpoints.Outcome) {
	q := r.owner.Quarantine
	switch {
	case endpointOutcome == endpoints.Answered:
		q.Answered(itemFingerprint(r.job.job.Spec, r.start.Index))
	case endpointOutcome == endpoints.Replaced:
		q.EndpointReplaced(&r.pick.Endpoint)
	case runOutcome == batch.RunInterrupted && endpointOutcome == endpoints.BrokenAnswer && r.generated == 0:
		q.EndpointLost(&r.pick.Endpoint)
	}
}

func itemRequest(spec *batch.Spec, start batch.RunStart) *dispatch.Request {
	item := &spec.Items[start.Index]
	header := http.Header{}
	for _, pair := range item.Header {
		header.Add(pair[0], pair[1])
	}
	timeout := defaultRunTimeout
	if !spec.Expires.IsZero() {
		timeout = max(time.Second, time.Until(spec.Expires))
	}
	// No urgency is set: an engine preempts less urgent runs and must prefill them again, and
	// the preempted model's steps were the ones that came late.
	return &dispatch.Request{
		ID: item.ID, Method: http.MethodPost, Target: item.Path, Host: spec.Host, Header: header, Body: payload.Of(item.Body),
		Timeout: timeout, ResumeAfter: start.ResumeAfter, Version: start.RequiredVersion, Urgency: -1, Customer: spec.Customer,
	}
}

// classifyAnswer returns the outcome of an answer that is not a stream of events; done is false
// for a stream.
func classifyAnswer(a *dispatch.Answer, start batch.RunStart) (batch.RunOutcome, endpoints.Outcome, bool) {
	switch {
	case a.Replaced && start.RequiredVersion != 0:
		return batch.RunVersionMismatch, endpoints.Refused, true
	case a.Replaced:
		return batch.RunRefused, endpoints.Replaced, true
	case a.NotRun:
		return batch.RunRefused, endpoints.Refused, true
	case a.Status == http.StatusUnprocessableEntity:
		return batch.RunImpossible, endpoints.Answered, true
	case a.Status == http.StatusInternalServerError:
		return batch.RunFailed, endpoints.Answered, true
	case a.Status != http.StatusOK || a.Encoded || !a.Signed:
		return batch.RunInterrupted, endpoints.BrokenAnswer, true
	}
	return 0, 0, false
}

// classifyRunError returns the outcome of a run that failed to send its request or to read its
// events.
func classifyRunError(ctx context.Context, err error) (batch.RunOutcome, endpoints.Outcome, error) {
	var send *upstream.SendError
	switch {
	case errors.Is(err, upstream.ErrMalformed):
		return batch.RunUnsendable, endpoints.Cancelled, err
	case errors.Is(context.Cause(ctx), errEngineTimeout):
		return batch.RunInterrupted, endpoints.Unreachable, errEngineTimeout
	case ctx.Err() != nil:
		return batch.RunInterrupted, endpoints.Cancelled, err
	case errors.As(err, &send) && !send.Sent:
		return batch.RunRefused, endpoints.Unreachable, err
	default:
		return batch.RunInterrupted, endpoints.BrokenAnswer, err
	}
}
