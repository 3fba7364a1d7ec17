package gate

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/usagerun"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/endpoints"
)

// streamIdleTimeout is how long an endpoint may send no event of a resumable stream before it is
// considered hung and the stream continues at another endpoint. It lies below the 2 s after
// which a caller gives up. Another stream waits for its endpoint as long as its caller does:
// nobody else may continue it, and an engine that preempted it is silent until it goes on.
const streamIdleTimeout = 1200 * time.Millisecond

// errStalled is the cancellation cause of a stream whose endpoint sent no event for
// streamIdleTimeout.
var errStalled = errors.New("gate: endpoint stopped sending events of the stream")

// Sink receives a stream's answer and sends it to the caller.
type Sink interface {
	// Begin sends the status and headers.
	Begin(status int, header http.Header) error
	// Event sends the bytes of one event without delay.
	Event(raw []byte) error
}

// stream is the state of a streamed request over its attempts.
type stream struct {
	execution
	sink        Sink
	headersSent bool              // the status and headers were sent to the caller
	lastEvent   int64             // ID of the last event that the caller has; 0: none
	usage       *usagerun.Request // counts the request as started
}

// Stream serves a request whose answer is passed on event by event. Outcomes other than
// Answered, Interrupted and Cancelled leave the sink untouched. After Interrupted the
// caller must close the client's connection, so that the client doesn't take the partial
// answer as complete.
func (g *Gate) Stream(ctx context.Context, route *deployment.Route, r *Request, sink Sink) Outcome {
	usage := g.Usage.Enter(r.Customer)
	defer usage.Leave()
	limited, cancel := context.WithTimeout(ctx, r.remaining(route, time.Now()))
	defer cancel()
	s := &stream{sink: sink, lastEvent: r.ResumeAfter, usage: usage}
	s.execution = *g.newExecution(route, r)
	outcome, quarantined := s.quarantineOutcome()
	if !quarantined {
		outcome = s.runAttempts(limited)
	}
	if limited.Err() != nil && outcome.End != Answered && !s.headersSent && !s.neverRan() {
		outcome = Outcome{End: TimedOut}
	}
	if ctx.Err() != nil && outcome.End != Answered {
		outcome = Outcome{End: Cancelled}
	}
	g.logOutcome(route, r, &s.execution, outcome)
	return outcome.holding(s.answers)
}

// runAttempts has endpoints serve the stream, one after another, until it is complete or no
// attempt remains.
func (s *stream) runAttempts(ctx context.Context) Outcome {
	for len(s.tried) < s.route.MaxAttempts && ctx.Err() == nil {
		g, granted := s.awaitSlot(ctx)
		if !granted {
			break
		}
		verdict := s.admit(ctx)
		if !verdict.Admitted {
			g.end(time.Now(), resultNone)
			break
		}
		pick := s.gate.pickEndpoint(s.service, s.request, s.excluded(), verdict.Only)
		if pick == nil {
			verdict.Ended()
			g.end(time.Now(), resultNone)
			if s.prepareReturn() {
				continue
			}
			break
		}
		s.tried = append(s.tried, pick.ID)
		verdict.Started(pick.ID)
		outcome, retry := s.attempt(ctx, pick)
		verdict.Ended()
		g.end(time.Now(), s.result(outcome))
		if !retry {
			return outcome
		}
		if len(s.tried) >= s.route.MaxAttempts {
			s.prepareReturn()
		}
	}
	if s.headersSent {
		return Outcome{End: Interrupted}
	}
	return s.finalOutcome()
}

// awaitSlot waits for a slot of the service. granted is false if the queue refused the stream, or
// its caller left or its time passed before. A stream that has begun continues before others
// begin: its caller has a part of the answer.
func (s *stream) awaitSlot(ctx context.Context) (g grant, granted bool) {
	if s.queue == nil {
		return grant{}, true
	}
	c, ok := s.claim()
	if !ok {
		return grant{}, false
	}
	c.extra = s.mayHaveRun && !s.headersSent
	g, w := s.queue.acquire(time.Now(), c)
	if w == nil {
		return g, true
	}
	select {
	case <-w.decided:
	case <-ctx.Done():
	}
	if ctx.Err() != nil {
		s.waiting = w
		s.leaveQueue()
		return grant{}, false
	}
	s.refused = w.refused
	return w.grant, w.refused == nil
}

// result returns what the stream's last attempt tells about the time that streams take.
func (s *stream) result(outcome Outcome) result {
	if outcome.End == Answered {
		return resultStreamed
	}
	return resultNone
}

// attempt has one endpoint serve the stream, resuming after the last event. retry is true if
// another endpoint may continue the stream.
func (s *stream) attempt(ctx context.Context, pick *directory.Pick) (outcome Outcome, retry bool) {
	start := time.Now()
	resumedAfter := s.lastEvent
	outcome, a, endpointOutcome := s.exchange(ctx, pick)
	pick.End(time.Now(), endpointOutcome, time.Since(start), 0)
	if outcome.End == Answered && a.complete {
		s.gate.Quarantine.Answered(s.fingerprint)
		return outcome, false
	}
	// If the stream went on here, the next endpoint resumes elsewhere in the text, and this
	// endpoint's end says nothing about the request.
	if !s.route.Resumable || s.lastEvent == resumedAfter {
		s.reportLoss(pick, a, endpointOutcome)
	}
	s.logFailure(pick, a)
	if a.full != "" {
		s.noteFull(a.full)
	}
	s.mayHaveRun = s.mayHaveRun || !a.notRun
	if !a.notRun && !s.route.Repeatable() {
		if s.headersSent {
			return Outcome{End: Interrupted}, false
		}
		return Outcome{End: Unknown}, false
	}
	if s.headersSent {
		events.StreamResumed.Log(s.gate.log, logrus.Fields{"request": s.request.ID, "endpoint": pick.ID, "after_event": s.lastEvent})
	}
	return Outcome{}, true
}

// exchange sends the request to the picked endpoint and forwards its events.
func (s *stream) exchange(ctx context.Context, pick *directory.Pick) (Outcome, attempt, endpoints.Outcome) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request := s.request.endpointRequest(s.request.remaining(s.route, time.Now()))
	request.ResumeAfter = s.lastEvent
	answer, err := s.gate.sender.Send(ctx, &pick.Endpoint, request)
	if err != nil {
		a, endpointOutcome := classifyError(ctx, err)
		return Outcome{}, a, endpointOutcome
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.NotRun || answer.Replaced {
		return Outcome{}, refusedAttempt(pick, answer), refusalOutcome(answer)
	}
	if answer.Status != http.StatusOK {
		return s.plainAnswer(answer)
	}
	if !answer.Signed || answer.Encoded {
		return Outcome{}, attempt{err: errUnverified}, endpoints.BrokenAnswer
	}
	if err := s.sendHeaders(answer); err != nil {
		return Outcome{End: Cancelled}, attempt{err: err}, endpoints.Cancelled
	}
	err = s.forwardEvents(cancel, dispatch.NewEventReader(answer))
	if errors.Is(err, io.EOF) {
		return Outcome{End: Answered, Status: answer.Status}, attempt{complete: true}, endpoints.Answered
	}
	if cause := context.Cause(ctx); errors.Is(cause, errStalled) {
		return Outcome{}, attempt{err: errStalled}, endpoints.Unreachable
	}
	return Outcome{}, attempt{err: err}, endpoints.BrokenAnswer
}

// plainAnswer returns an endpoint's answer that is not a stream. Once the headers were sent,
// such an answer can't be passed on.
func (s *stream) plainAnswer(answer *dispatch.Answer) (Outcome, attempt, endpoints.Outcome) {
	body, err := s.answers.read(answer)
	switch {
	case errors.Is(err, errTooLarge), errors.Is(err, errNoMemory):
		return Outcome{}, attempt{err: err}, endpoints.Answered
	case err == nil && !s.route.Repeatable() && promisesNotRun(answer.Status):
		return Outcome{}, attempt{err: errUnproven}, endpoints.Answered
	case err != nil || s.headersSent:
		return Outcome{}, attempt{err: errors.Errorf("status %d", answer.Status)}, endpoints.BrokenAnswer
	}
	outcome := Outcome{End: Answered, Status: answer.Status, Header: answer.Header, Body: body}
	return outcome, attempt{complete: true, outcome: outcome}, endpoints.Answered
}

// sendHeaders sends the status and headers to the caller, unless that has been done.
func (s *stream) sendHeaders(answer *dispatch.Answer) error {
	if s.headersSent {
		return nil
	}
	s.headersSent = true
	return s.sink.Begin(answer.Status, answer.Header)
}

// watchIdle cancels a resumable stream if its endpoint sends no event for streamIdleTimeout. The
// timer must be reset with each event.
func (s *stream) watchIdle(cancel context.CancelCauseFunc) *time.Timer {
	idle := time.AfterFunc(streamIdleTimeout, func() { cancel(errStalled) })
	if !s.route.Resumable {
		idle.Stop()
	}
	return idle
}

// forwardEvents forwards events to the sink until the stream ends. The error is io.EOF if the
// stream is complete.
func (s *stream) forwardEvents(cancel context.CancelCauseFunc, in *dispatch.EventReader) error {
	idle := s.watchIdle(cancel)
	defer idle.Stop()
	for {
		event, err := in.Next()
		if err != nil {
			return err
		}
		if s.route.Resumable {
			idle.Reset(streamIdleTimeout)
		}
		s.usage.CountStart(time.Now()) // a stream counts as started with its first event
		if event.ID != 0 && event.ID <= s.lastEvent {
			return errors.Errorf("event %d received after event %d", event.ID, s.lastEvent)
		}
		if err := s.sink.Event(event.Raw); err != nil {
			return err
		}
		if event.ID != 0 {
			s.lastEvent = event.ID
		}
	}
}
