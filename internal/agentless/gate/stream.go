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
	"siskinloom.example/siskinloom/internal/policy/routes"
)

// silenceLimit is how long a stream may pause before its endpoint is taken to
// hang and a resumable stream goes on elsewhere. A caller gives up after 2 s.
const silenceLimit = 1200 * time.Millisecond

// errSilent marks a stream whose endpoint sends nothing.
var errSilent = errors.New("gate: endpoint fell silent in its stream")

// Sink takes a stream's answer for the caller.
type Sink interface {
	// Begin sends status and headers.
	Begin(status int, header http.Header) error
	// Event sends the bytes of one event at once.
	Event(raw []byte) error
}

// stream is a streamed request on its way.
type stream struct {
	course
	sink      Sink
	began     bool // the caller has the answer's headers
	lastEvent int64
	counted   *usagerun.Request
}

// Stream serves a request whose answer is passed on event by event. Outcomes
// other than Answered and BrokenOff leave the sink untouched. After BrokenOff
// the caller's connection must be cut, so that what it has does not look whole.
func (g *Gate) Stream(ctx context.Context, route *deployment.Route, r *Request, sink Sink) Outcome {
	counted := g.Usage.Enter(r.Customer)
	defer counted.Leave()
	limited, cancel := context.WithTimeout(ctx, r.left(route, time.Now()))
	defer cancel()
	s := &stream{sink: sink, lastEvent: r.ResumeAfter, counted: counted}
	s.course = course{gate: g, route: route, request: r, service: routes.SelectService(route, r.ID)}
	outcome := s.attempts(limited)
	if limited.Err() != nil && outcome.End != Answered && !s.began {
		outcome = Outcome{End: TimedOut}
	}
	if ctx.Err() != nil && outcome.End != Answered {
		outcome = Outcome{End: Cancelled}
	}
	g.note(route, r, &s.course, outcome)
	return outcome
}

func (s *stream) attempts(ctx context.Context) Outcome {
	for len(s.tried) < s.route.MaxAttempts && ctx.Err() == nil {
		pick := s.gate.pickFor(s.service, s.request, s.tried)
		if pick == nil {
			break
		}
		s.tried = append(s.tried, pick.ID)
		outcome, again := s.attempt(ctx, pick)
		if !again {
			return outcome
		}
	}
	if s.began {
		return Outcome{End: Interrupted}
	}
	return s.last()
}

// attempt has one endpoint serve the stream from where it stands; again is
// true if another may go on.
func (s *stream) attempt(ctx context.Context, pick *directory.Pick) (outcome Outcome, again bool) {
	began := time.Now()
	outcome, a, how := s.exchange(ctx, pick)
	pick.End(time.Now(), how, time.Since(began), 0)
	if outcome.End == Answered && a.whole {
		return outcome, false
	}
	s.gate.noteFailure(s.request.ID, pick, a.err, a.notRun)
	s.mayRun = s.mayRun || !a.notRun
	if !a.notRun && !s.route.Repeatable() {
		if s.began {
			return Outcome{End: Interrupted}, false
		}
		return Outcome{End: Unknown}, false
	}
	if s.began {
		events.StreamResumed.Log(s.gate.log, logrus.Fields{"request": s.request.ID, "endpoint": pick.ID, "after_event": s.lastEvent})
	}
	return Outcome{}, true
}

func (s *stream) exchange(ctx context.Context, pick *directory.Pick) (Outcome, attempt, endpoints.Outcome) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request := s.request.toEndpoint(s.request.left(s.route, time.Now()))
	request.ResumeAfter = s.lastEvent
	answer, err := s.gate.sender.Send(ctx, &pick.Endpoint, request)
	if err != nil {
		a, how := failed(ctx, err)
		return Outcome{}, a, how
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.NotRun || answer.Replaced {
		return Outcome{}, attempt{notRun: true}, refusedHow(answer)
	}
	if answer.Status != http.StatusOK {
		return s.wholeAnswer(answer)
	}
	if !answer.Signed || answer.Encoded {
		return Outcome{}, attempt{err: errSpoiled}, endpoints.BrokenAnswer
	}
	if err := s.begin(answer); err != nil {
		return Outcome{End: Cancelled}, attempt{err: err}, endpoints.Cancelled
	}
	err = s.pass(cancel, dispatch.NewEventReader(answer))
	if errors.Is(err, io.EOF) {
		return Outcome{End: Answered, Status: answer.Status}, attempt{whole: true}, endpoints.Answered
	}
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		return Outcome{}, attempt{err: errSilent}, endpoints.Unreachable
	}
	return Outcome{}, attempt{err: err}, endpoints.BrokenAnswer
}

// wholeAnswer takes an endpoint's answer that is no stream.
func (s *stream) wholeAnswer(answer *dispatch.Answer) (Outcome, attempt, endpoints.Outcome) {
	body, err := readWhole(answer)
	if err != nil || s.began {
		return Outcome{}, attempt{err: errors.Errorf("status %d", answer.Status)}, endpoints.BrokenAnswer
	}
	outcome := Outcome{End: Answered, Status: answer.Status, Header: answer.Header, Body: body}
	return outcome, attempt{whole: true, outcome: outcome}, endpoints.Answered
}

func (s *stream) begin(answer *dispatch.Answer) error {
	if s.began {
		return nil
	}
	s.began = true
	return s.sink.Begin(answer.Status, answer.Header)
}

// pass passes events on until the stream ends.
func (s *stream) pass(cancel context.CancelCauseFunc, in *dispatch.EventReader) error {
	silence := time.AfterFunc(silenceLimit, func() { cancel(errSilent) })
	defer silence.Stop()
	for {
		event, err := in.Next()
		if err != nil {
			return err
		}
		silence.Reset(silenceLimit)
		s.counted.CountStart(time.Now()) // a stream begins to run with its first event
		if event.ID != 0 && event.ID <= s.lastEvent {
			return errors.Errorf("event %d came after %d", event.ID, s.lastEvent)
		}
		if err := s.sink.Event(event.Raw); err != nil {
			return err
		}
		if event.ID != 0 {
			s.lastEvent = event.ID
		}
	}
}
