package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/wire"
)

// handle serves one caller's request.
func (e *Server) handle(ctx *fasthttp.RequestCtx) {
	e.active.Add(1)
	defer e.active.Add(-1)
	if e.serveHealth(ctx) {
		return
	}
	known := e.currentCallers()
	if known == nil {
		problemOf(e.notReadyAnswerFor(ctx)).write(ctx)
		return
	}
	c, faults := readCall(ctx, known, time.Now())
	if faults.status != 0 {
		metrics.GetOrRegisterCounter("entry.refused", e.metrics).Inc(1)
		faults.problem().write(ctx)
		return
	}
	if c.req.Stream {
		e.serveStream(ctx, c)
		return
	}
	e.serveNonStreaming(ctx, c)
}

// notReadyAnswerFor refuses a request that arrives before a configuration is known.
// A request with an idempotency key may be a repeat of one that ran, which only its
// claim could tell, so it is refused as "unknown".
func (e *Server) notReadyAnswerFor(ctx *fasthttp.RequestCtx) wire.Answer {
	if len(ctx.Request.Header.Peek(headerIdempotencyKey)) > 0 {
		return claims.RefusalAsUnknown(notReadyAnswer())
	}
	return notReadyAnswer()
}

func notReadyAnswer() wire.Answer {
	return wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonNotReady, Detail: "no configuration is in force yet", RetryAfter: time.Second}
}

// serveHealth answers the load balancer's probes. It returns false if the request
// is not a probe.
func (e *Server) serveHealth(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		if !e.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString("not ready\n")
			return true
		}
		ctx.SetBodyString("ready\n")
	default:
		return false
	}
	return true
}

// badRequest answers a request that the HTTP library rejected.
func (e *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if err == fasthttp.ErrBodyTooLarge {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	refused(status, err.Error()).write(ctx)
}

// serveNonStreaming serves a request that is answered with one complete response.
func (e *Server) serveNonStreaming(ctx *fasthttp.RequestCtx, c call) {
	start := time.Now()
	callCtx, cancel := context.WithTimeout(context.Background(), c.req.Remaining)
	defer cancel()
	answer := e.execute(callCtx, c)
	answer.RetryAfter = defaultRetryAfter(answer)
	e.count(c, answer, time.Since(start))
	if answer.Outcome != wire.Answered {
		problemOf(answer).write(ctx)
		return
	}
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.ContentType)
	ctx.SetBody(answer.Body)
}

func (e *Server) count(c call, a wire.Answer, took time.Duration) {
	name := "class." + c.class.Name + "." + a.Outcome.String()
	metrics.GetOrRegisterCounter(name, e.metrics).Inc(1)
	metrics.GetOrRegisterTimer("class."+c.class.Name+".latency", e.metrics).Update(took)
}

// execute runs a validated request to its final answer.
//
// A quarantined request that may run only once is refused by its dispatch, not
// here: it may have run before and crashed its endpoint, so that "not run" would
// be false. Its claim records whether it ran.
func (e *Server) execute(ctx context.Context, c call) wire.Answer {
	once := c.plain && !c.class.Idempotent
	if !once && e.deps.Quarantine.Blocked(c.req.Service, c.req.Fingerprint) {
		return quarantinedAnswer()
	}
	e.deps.RetryBudget.Earn(c.req.Principal.Business)
	if !c.plain {
		return e.complete(ctx, c)
	}
	if c.class.Idempotent {
		return e.runIdempotent(ctx, c)
	}
	return e.deps.Claimer.Do(ctx, c.req, c.class, e.dispatchOnce)
}

// complete builds a completion from a stream, so that a non-streaming request also
// survives the loss of its engine and its answer names the weight versions that
// produced it.
func (e *Server) complete(ctx context.Context, c call) wire.Answer {
	var s completionBuilder
	answer := e.runStream(ctx, c, s.add)
	if answer.Outcome != wire.Answered || answer.Status != fasthttp.StatusOK {
		return answer
	}
	body, err := json.Marshal(s.completion(c, answer.Detail))
	if err != nil {
		return wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonBadRequest, Detail: err.Error()}
	}
	answer.Body = body
	answer.ContentType = "application/json"
	answer.Segments = s.segments
	return answer
}

// completionBuilder builds a completion from the tokens of a stream.
type completionBuilder struct {
	text     []byte
	tokens   int
	segments []wire.Segment
}

func (s *completionBuilder) add(reply wire.ReadReply) {
	for i, token := range reply.Tokens {
		s.text = append(s.text, token...)
		s.label(reply.Versions[i])
		s.tokens++
	}
}

// label extends the last segment by the current token, or starts a new segment if
// the weight version changed.
func (s *completionBuilder) label(version int64) {
	if n := len(s.segments); n > 0 && s.segments[n-1].Version == version {
		s.segments[n-1].To = s.tokens + 1
		return
	}
	s.segments = append(s.segments, wire.Segment{Version: version, From: s.tokens, To: s.tokens + 1})
}

func (s *completionBuilder) completion(c call, finish string) engineapi.Completion {
	out := engineapi.Completion{
		ID:      ulid.Make().String(),
		Object:  "text_completion",
		Model:   c.req.Service,
		Choices: []engineapi.Choice{{Text: string(s.text), FinishReason: finish}},
		Tokens:  s.tokens,
	}
	for _, segment := range s.segments {
		out.WeightVersion = segment.Version
		out.Segments = append(out.Segments, engineapi.Segment(segment))
	}
	return out
}
