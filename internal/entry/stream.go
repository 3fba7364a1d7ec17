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
	// readWait is how long an agent holds a read while there are no tokens.
	readWait = 2 * time.Second
	// rolloutCoalesceDelay is how long an agent gathers a rollout's tokens. Nobody
	// waits for each of them, and a read a token would be most of what a token
	// costs; what is lost with an agent meanwhile is generated again.
	rolloutCoalesceDelay = 250 * time.Millisecond
)

// runStream runs a completion to its end and hands its tokens to onTokens in
// order, each once. A stream cut by the loss of its engine goes on at another
// engine behind the last token that was handed on.
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

// streamRun is one stream over the engines that it visits.
type streamRun struct {
	entry          *Server
	call           call
	onTokens       func(wire.ReadReply)
	tried          []string
	tokens         tokens.Text // handed on so far
	suspect        bool
	freeResumeUsed bool
}

// pick takes the preferred endpoint first, then any that was not tried.
func (s *streamRun) pick() (Endpoint, bool) {
	picker := s.entry.deps.Picker
	if want := s.call.req.Prefer; want != "" && len(s.tried) == 0 {
		if ep, ok := picker.Find(want); ok {
			return ep, true
		}
	}
	return picker.Pick(s.call.req.Service, s.call.req.Principal.Business, s.call.prefix, s.tried)
}

// finalAnswer keeps a stream that has already delivered tokens from ending as
// "not run" because its last engine refused it.
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
		// The first resume is free: it runs only the rest of the stream. Were it
		// paid from the budget, the loss of a failure domain, which cuts many
		// streams at once, would leave those beyond the budget unanswered.
		s.freeResumeUsed = true
		return true
	}
	return s.entry.deps.Retries.Spend(s.call.req.Principal.Business)
}

// follow runs the stream at one endpoint, as its quarantine allows.
func (s *streamRun) attempt(ctx context.Context, ep Endpoint) wire.Answer {
	return s.entry.runCopy(ctx, ep, s.call.req, false, func(ep Endpoint, req wire.Request) wire.Answer {
		return s.attemptOnce(ctx, ep, req)
	})
}

// attemptOnce starts the stream at one endpoint and reads it to its end there.
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
		// Whether the start arrived is told by the first read.
	} else if !started.Accepted {
		return started.Answer
	}
	return s.readAll(ctx, ep, req)
}

// readAll reads by offset, so that a read repeated on a new connection can
// neither lose nor repeat a token.
func (s *streamRun) readAll(ctx context.Context, ep Endpoint, req wire.Request) wire.Answer {
	for offset, lost := 0, 0; ; {
		request := wire.ReadRequest{ID: req.ID, Offset: offset, Wait: readWait}
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
		// The answer may still come and be written into reply; a copy of it
		// would be torn.
		return wire.ReadReply{}, err
	}
	if reply.ID != request.ID || reply.Offset != request.Offset {
		return wire.ReadReply{}, errors.New("entry: answer to another read")
	}
	return reply, nil
}

// serveStream serves a completion as server-sent events. It ends with [DONE]
// or with an event that says what became of the request, never just a close.
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
		e.deps.Retries.Earn(c.req.Principal.Business)
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
		// Nothing was sent yet: the caller gets a whole answer with a status.
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

// forwarder sends a stream's first tokens to one channel and all others to
// another, until the context ends.
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

// finalAnswer keeps a stream whose last tokens came too late to be written from
// ending as if it were whole: its caller would take a cut answer for complete.
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
				// The caller has gone: nobody reads on, so the engine is freed.
				cancel()
			}
		}
		sink.finish(<-end)
	})
}

// eventWriter writes server-sent events; its first error stands.
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
