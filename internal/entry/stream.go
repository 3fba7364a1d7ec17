package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/tokens"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// readPollTimeout is how long an agent holds a read while there are no tokens.
	readPollTimeout = 2 * time.Second
	// rolloutCoalesceDelay is how long an agent collects a rollout's tokens before it
	// answers a read. Nobody waits for single tokens, and one read per token would be
	// most of a token's cost. Tokens that are lost with an agent meanwhile are
	// generated again.
	rolloutCoalesceDelay = 250 * time.Millisecond
)

// runStream runs a completion to its end and passes its tokens to onTokens in
// order, each exactly once. If its engine is lost, the stream resumes at another
// engine after the last token that was passed on.
func (e *Server) runStream(ctx context.Context, c call, onTokens func(wire.ReadReply)) wire.Answer {
	s := &streamRun{entry: e, call: c, onTokens: onTokens, tokens: tokens.NewText(c.req.Resume.Tokens)}
	last := wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonNoEndpoint, Detail: "no endpoint of the service can be reached"}
	for range maxAttempts {
		ep, ok := s.pick()
		if !ok || ctx.Err() != nil {
			return s.finalAnswer(last)
		}
		s.tried = append(s.tried, ep.ID())
		last = s.attempt(ctx, ep)
		if last.Outcome == wire.Answered || !s.mayResume(last) {
			return s.finalAnswer(last)
		}
	}
	return s.finalAnswer(last)
}

// streamRun is the state of one stream over its attempts at different engines.
type streamRun struct {
	entry          *Server
	call           call
	onTokens       func(wire.ReadReply)
	tried          []string
	tokens         tokens.Text // passed on so far
	suspect        bool
	freeResumeUsed bool
}

// pick returns the preferred endpoint for the first attempt, and otherwise one that
// was not tried yet.
func (s *streamRun) pick() (Endpoint, bool) {
	picker := s.entry.deps.Picker
	if want := s.call.req.Prefer; want != "" && len(s.tried) == 0 {
		if ep, ok := picker.Find(want); ok {
			return ep, true
		}
	}
	return picker.Pick(s.call.req.Service, s.call.req.Principal.Business, s.call.prefix, s.tried)
}

// finalAnswer turns "not run" into "unknown" if the stream has delivered tokens:
// only its last engine refused it.
func (s *streamRun) finalAnswer(a wire.Answer) wire.Answer {
	if a.Outcome == wire.NotRun && s.tokens.Len() > 0 {
		a.Outcome = wire.Unknown
	}
	return a
}

func (s *streamRun) mayResume(a wire.Answer) bool {
	if s.entry.deps.Quarantine.Blocked(s.call.req.Service, s.call.req.Fingerprint) {
		return false
	}
	if a.Outcome == wire.NotRun {
		return retryableElsewhere(a.Reason)
	}
	if a.Reason != wire.ReasonCrashed && a.Reason != wire.ReasonConnection {
		return false
	}
	s.suspect = s.suspect || a.Reason == wire.ReasonCrashed
	if !s.freeResumeUsed {
		// The first resume is free, since it runs only the rest of the stream. If it
		// were charged to the retry budget, the loss of a failure domain, which
		// interrupts many streams at once, would leave the streams beyond the budget
		// unanswered.
		s.freeResumeUsed = true
		return true
	}
	return s.entry.deps.RetryBudget.Spend(s.call.req.Principal.Business)
}

// attempt runs the stream at one endpoint, subject to the quarantine.
func (s *streamRun) attempt(ctx context.Context, ep Endpoint) wire.Answer {
	return s.entry.runCopy(ctx, ep, s.call.req, false, func(ep Endpoint, req wire.Request) wire.Answer {
		return s.attemptOnce(ctx, ep, req)
	})
}

// attemptOnce starts the stream at one endpoint and reads it to its end.
func (s *streamRun) attemptOnce(ctx context.Context, ep Endpoint, req wire.Request) wire.Answer {
	req = pinToAgent(ctx, ep, req)
	req.Suspect = req.Suspect || s.suspect
	req.Resume.Tokens = s.tokens.List()
	var started wire.Started
	if err := ep.Call(ctx, methodStart, req, &started); err != nil {
		if errors.Is(err, ErrNotSent) {
			return wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonNoEndpoint, Detail: err.Error()}
		}
		if ctx.Err() != nil {
			return s.entry.abandon(ep, req)
		}
		// The first read shows whether the request arrived.
	} else if !started.Accepted {
		return started.Answer
	}
	return s.readAll(ctx, ep, req)
}

// readAll reads the stream to its end. It reads by offset, so that a read repeated
// on a new connection neither loses nor repeats a token.
func (s *streamRun) readAll(ctx context.Context, ep Endpoint, req wire.Request) wire.Answer {
	for offset, lost := 0, 0; ; {
		request := wire.ReadRequest{ID: req.ID, Offset: offset, Wait: readPollTimeout}
		if req.Rollout {
			request.Gather = rolloutCoalesceDelay
		}
		reply, err := s.read(ctx, ep, request, lost > 0)
		switch {
		case ctx.Err() != nil:
			return s.entry.abandon(ep, req)
		case err != nil && (lost >= maxAttempts || errors.Is(err, ErrGone)):
			return connectionLost(req, err)
		case err != nil:
			lost++
			sleep(ctx, settleBackoff)
			continue
		}
		lost = 0
		if len(reply.Tokens) > 0 {
			s.tokens.Append(reply.Tokens)
			offset += len(reply.Tokens)
			s.onTokens(reply)
		}
		if reply.Done {
			return reply.End
		}
	}
}

func (s *streamRun) read(ctx context.Context, ep Endpoint, request wire.ReadRequest, fresh bool) (wire.ReadReply, error) {
	var reply wire.ReadReply
	call := ep.Call
	if fresh {
		call = ep.CallFresh
	}
	if err := call(ctx, methodRead, request, &reply); err != nil {
		// The answer may still arrive and be written into reply concurrently, so
		// reply must not be copied.
		return wire.ReadReply{}, err
	}
	if reply.ID != request.ID || reply.Offset != request.Offset {
		return wire.ReadReply{}, errors.New("entry: answer belongs to another read")
	}
	return reply, nil
}

// serveStream serves a completion as server-sent events. The stream ends with
// [DONE] or with an error event that states the outcome of the request, never with
// a bare close of the connection.
func (e *Server) serveStream(ctx *fasthttp.RequestCtx, c call) {
	if e.deps.Quarantine.Blocked(c.req.Service, c.req.Fingerprint) {
		problemOf(quarantinedAnswer()).write(ctx)
		return
	}
	start := time.Now()
	callCtx, cancel := context.WithTimeout(context.Background(), c.req.Remaining)
	first := make(chan wire.ReadReply, 1)
	rest := make(chan wire.ReadReply)
	end := make(chan wire.Answer, 1)
	e.active.Add(1)
	go func() {
		defer e.active.Add(-1)
		e.deps.RetryBudget.Earn(c.req.Principal.Business)
		f := &forwarder{ctx: callCtx, first: first, rest: rest}
		answer := f.finalAnswer(e.runStream(callCtx, c, f.forward))
		answer.RetryAfter = defaultRetryAfter(answer)
		e.count(c, answer, time.Since(start))
		end <- answer
		close(rest)
	}()
	select {
	case reply := <-first:
		e.writeStream(ctx, c, cancel, reply, rest, end)
	case answer := <-end:
		// No token was sent yet, so the caller gets a complete response with a status.
		cancel()
		select {
		case reply := <-first:
			end <- answer
			e.writeStream(ctx, c, cancel, reply, rest, end)
		default:
			e.writeWithoutTokens(ctx, answer)
		}
	}
}

// forwarder sends the first reply of a stream to one channel and all later ones to
// another. After ctx ends it drops replies that nobody receives.
type forwarder struct {
	ctx     context.Context
	first   chan<- wire.ReadReply
	rest    chan<- wire.ReadReply
	started bool
	dropped bool
}

func (f *forwarder) forward(reply wire.ReadReply) {
	if !f.started {
		f.started = true
		f.first <- reply
		return
	}
	select {
	case f.rest <- reply:
	case <-f.ctx.Done():
		f.dropped = true
	}
}

// finalAnswer turns "answered" into "unknown" if tokens were dropped at the
// deadline. Otherwise the caller would take the truncated stream for complete.
func (f *forwarder) finalAnswer(a wire.Answer) wire.Answer {
	if f.dropped && a.Outcome == wire.Answered {
		return wire.Answer{ID: a.ID, Outcome: wire.Unknown, Reason: wire.ReasonDeadline, Detail: "the deadline passed before the last tokens were written"}
	}
	return a
}

func (e *Server) writeWithoutTokens(ctx *fasthttp.RequestCtx, answer wire.Answer) {
	if answer.Outcome != wire.Answered {
		problemOf(answer).write(ctx)
		return
	}
	ctx.SetStatusCode(answer.Status)
	if answer.Status != fasthttp.StatusOK {
		ctx.SetContentType(answer.ContentType)
		ctx.SetBody(answer.Body)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyString("data: " + engineapi.StreamDone + "\n\n")
}

func (e *Server) writeStream(ctx *fasthttp.RequestCtx, c call, cancel func(), first wire.ReadReply, rest <-chan wire.ReadReply, end <-chan wire.Answer) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		sink := &eventWriter{w: w, call: c}
		sink.tokens(first)
		for reply := range rest {
			sink.tokens(reply)
			if sink.err != nil {
				// The caller has disconnected; cancelling frees the engine.
				cancel()
			}
		}
		sink.finish(<-end)
	})
}

// eventWriter writes server-sent events. After its first error it writes nothing
// more.
type eventWriter struct {
	w    *bufio.Writer
	call call
	err  error
}

func (s *eventWriter) tokens(reply wire.ReadReply) {
	for i, token := range reply.Tokens {
		s.event(engineapi.Completion{
			Object:        "text_completion",
			Model:         s.call.req.Service,
			Choices:       []engineapi.Choice{{Text: token}},
			WeightVersion: reply.Versions[i],
			Tokens:        1,
		})
	}
	s.flush()
}

func (s *eventWriter) finish(answer wire.Answer) {
	if answer.Outcome == wire.Answered && answer.Status == fasthttp.StatusOK {
		s.event(engineapi.Completion{
			Object:  "text_completion",
			Model:   s.call.req.Service,
			Choices: []engineapi.Choice{{FinishReason: answer.Detail}},
		})
		s.line("data: " + engineapi.StreamDone + "\n\n")
	} else {
		s.line("event: error\n")
		s.event(problemOf(answer))
	}
	s.flush()
}

func (s *eventWriter) event(body any) {
	text, err := json.Marshal(body)
	if err != nil {
		s.err = err
		return
	}
	s.line("data: " + string(text) + "\n\n")
}

func (s *eventWriter) line(text string) {
	if s.err != nil {
		return
	}
	_, s.err = s.w.WriteString(text)
}

func (s *eventWriter) flush() {
	if s.err == nil {
		s.err = s.w.Flush()
	}
}
