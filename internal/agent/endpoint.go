package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	dialTimeout  = 2 * time.Second
	probeTimeout = 2 * time.Second
	// streamIdleTimeout ends a stream whose endpoint is connected but silent,
	// as a frozen engine is. Without it, the request would hang past its
	// deadline.
	streamIdleTimeout = 15 * time.Second
	orderTimeout      = 10 * time.Second
	maxConns          = 4096
	idleConnTimeout   = 5 * time.Second
	maxAnswerBytes    = 64 << 20
	// finishCancelled is the finish reason of a stream that the engine was told
	// to cancel.
	finishCancelled = "cancelled"
)

// errNotSent reports that a request failed before its first byte was sent. The
// endpoint certainly never saw it.
var errNotSent = errors.New("agent: request was not sent")

// endpointClient is the client of the one endpoint beside this agent.
type endpointClient struct {
	addr    string
	unary   *fasthttp.HostClient
	streams *fasthttp.HostClient
}

func newEndpointClient(addr string) *endpointClient {
	dial := func(addr string) (net.Conn, error) {
		conn, err := net.DialTimeout("tcp", addr, dialTimeout)
		if err != nil {
			return nil, errors.Wrap(errNotSent, err.Error())
		}
		return newStaleCheckConn(conn), nil
	}
	streamDial := func(addr string) (net.Conn, error) {
		conn, err := dial(addr)
		if err != nil {
			return nil, err
		}
		return &readTimeoutConn{Conn: conn}, nil
	}
	return &endpointClient{addr: addr, unary: newHostClient(addr, dial, false), streams: newHostClient(addr, streamDial, true)}
}

func newHostClient(addr string, dial fasthttp.DialFunc, stream bool) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                addr,
		Dial:                dial,
		MaxConns:            maxConns,
		MaxIdleConnDuration: idleConnTimeout,
		MaxResponseBodySize: maxAnswerBytes,
		StreamResponseBody:  stream,
		// By default the library retries a request whose connection broke, which
		// could run it twice. Only the entry decides whether a retry is safe.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// readTimeoutConn fails a read that blocks longer than streamIdleTimeout.
type readTimeoutConn struct{ net.Conn }

// Read sets a new deadline for each read.
func (c *readTimeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(streamIdleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// call runs a unary request and returns its answer.
func (e *endpointClient) call(ctx context.Context, req wire.Request) wire.Answer {
	httpReq := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpReq)
	httpResp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(httpResp)
	httpReq.SetRequestURI("http://" + e.addr + req.Path)
	httpReq.Header.SetMethod(req.Method)
	httpReq.Header.SetContentType(req.ContentType)
	httpReq.Header.Set("Idempotency-Key", req.CallID)
	if req.Fence.Duty != "" {
		httpReq.Header.Set("X-Fence-Duty", req.Fence.Duty)
		httpReq.Header.Set("X-Fence", itoa(req.Fence.Epoch))
	}
	httpReq.SetBody(req.Body)
	if err := e.doUnary(httpReq, httpResp, requestDeadline(ctx, req)); err != nil {
		return failureAnswer(req, err)
	}
	return wire.Answer{
		ID:          req.ID,
		Outcome:     wire.Answered,
		Status:      httpResp.StatusCode(),
		ContentType: string(httpResp.Header.ContentType()),
		Body:        append([]byte(nil), httpResp.Body()...),
	}
}

func requestDeadline(ctx context.Context, req wire.Request) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(req.Remaining)
}

// failureAnswer converts a failed exchange to an answer. The outcome is NotRun
// only if no byte of the request was sent.
func failureAnswer(req wire.Request, err error) wire.Answer {
	a := wire.Answer{ID: req.ID, Outcome: wire.Unknown, Detail: err.Error()}
	switch {
	case errors.Is(err, errNotSent):
		a.Outcome = wire.NotRun
		a.Reason = wire.ReasonNoEndpoint
	case isTimeout(err):
		a.Reason = wire.ReasonDeadline
	default:
		a.Reason = wire.ReasonCrashed
	}
	return a
}

func isTimeout(err error) bool {
	if errors.Is(err, fasthttp.ErrTimeout) || errors.Is(err, context.DeadlineExceeded) {
		return true
	}
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// stream runs a completion as server-sent events. It calls emit with each token
// and the weight version that the engine reported for it.
func (e *endpointClient) stream(ctx context.Context, req wire.Request, emit func(text string, version int64)) wire.Answer {
	body, err := streamBody(req)
	if err != nil {
		return wire.Answer{ID: req.ID, Outcome: wire.NotRun, Reason: wire.ReasonBadRequest, Detail: err.Error()}
	}
	httpReq := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpReq)
	httpResp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(httpResp)
	httpReq.SetRequestURI("http://" + e.addr + req.Path)
	httpReq.Header.SetMethod(fasthttp.MethodPost)
	httpReq.Header.SetContentType("application/json")
	httpReq.SetBody(body)
	if err := e.startStream(httpReq, httpResp); err != nil {
		return failureAnswer(req, err)
	}
	if httpResp.StatusCode() != fasthttp.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(httpResp.BodyStream(), maxAnswerBytes))
		_ = httpResp.CloseBodyStream()
		return wire.Answer{ID: req.ID, Outcome: wire.Answered, Status: httpResp.StatusCode(), ContentType: string(httpResp.Header.ContentType()), Body: text}
	}
	stop := context.AfterFunc(ctx, func() { e.cancel(req.ID) })
	defer stop()
	finish, err := readEvents(httpResp.BodyStream(), emit)
	if err != nil {
		// Otherwise CloseBodyStream would try to read the rest of the broken stream.
		httpResp.SetConnectionClose()
	}
	_ = httpResp.CloseBodyStream()
	return streamAnswer(ctx, req, finish, err)
}

// doUnary sends a unary request and reads its answer until the deadline.
func (e *endpointClient) doUnary(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	return retryOnStaleConn(e.unary, func() error { return e.unary.DoDeadline(req, resp, deadline) })
}

// startStream sends a completion without a deadline of its own. The stream ends
// when it is cancelled or by the timeout of readTimeoutConn.
func (e *endpointClient) startStream(req *fasthttp.Request, resp *fasthttp.Response) error {
	return retryOnStaleConn(e.streams, func() error { return e.streams.Do(req, resp) })
}

func streamBody(req wire.Request) ([]byte, error) {
	var c engineapi.CompletionRequest
	if err := json.Unmarshal(req.Body, &c); err != nil {
		return nil, errors.Wrap(err, "completion request")
	}
	c.Stream = true
	c.RequestID = req.ID
	c.Priority = req.Priority
	c.Resume = req.Resume.Tokens
	c.CacheID = req.Resume.Cache
	return json.Marshal(c)
}

func streamAnswer(ctx context.Context, req wire.Request, finish string, err error) wire.Answer {
	a := wire.Answer{ID: req.ID, Outcome: wire.Answered, Status: fasthttp.StatusOK}
	complete := err == nil && finish != "" && finish != finishCancelled
	switch {
	case complete:
		// This applies even if it was cancelled meanwhile: a rollout treated as
		// stopped would run again and append tokens after its end.
		a.Detail = finish
	case ctx.Err() != nil:
		a.Outcome = wire.Unknown
		a.Reason = wire.ReasonCancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			a.Reason = wire.ReasonDeadline
		}
	case err != nil:
		return failureAnswer(req, err)
	case finish == finishCancelled:
		a.Outcome = wire.Unknown
		a.Reason = wire.ReasonCancelled
	}
	return a
}

// readEvents reads server-sent events up to the explicit end marker. A stream
// that closes before it is an error, never a short answer.
func readEvents(body io.Reader, emit func(string, int64)) (finish string, err error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 64<<10), 4<<20)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == engineapi.StreamDone {
			return finish, nil
		}
		var event engineapi.Completion
		if err := json.Unmarshal(data, &event); err != nil {
			return "", errors.Wrap(err, "stream event")
		}
		for _, choice := range event.Choices {
			if choice.Text != "" {
				emit(choice.Text, event.WeightVersion)
			}
			if choice.FinishReason != "" {
				finish = choice.FinishReason
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return "", err
	}
	return "", io.ErrUnexpectedEOF
}

// cancel tells the engine that nobody waits for a request any more.
func (e *endpointClient) cancel(id string) {
	_, _, _ = e.post(engineapi.PathCancel, engineapi.CancelRequest{RequestID: id})
}

// load requests the engine's own load report, which may be out of date.
func (e *endpointClient) load() (engineapi.Load, error) {
	var load engineapi.Load
	status, body, err := e.roundTrip(fasthttp.MethodGet, engineapi.PathLoad, nil, time.Now().Add(probeTimeout))
	if err != nil {
		return load, err
	}
	if status != fasthttp.StatusOK {
		return load, errors.Errorf("endpoint load: status %d", status)
	}
	return load, json.Unmarshal(body, &load)
}

// alive reports whether the endpoint responds to a health check.
func (e *endpointClient) alive() bool {
	status, _, err := e.roundTrip(fasthttp.MethodGet, engineapi.PathHealth, nil, time.Now().Add(probeTimeout))
	return err == nil && status < fasthttp.StatusInternalServerError
}

func (e *endpointClient) post(path string, body any) (int, []byte, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	return e.postWithDeadline(path, text, time.Now().Add(orderTimeout))
}

func (e *endpointClient) postWithDeadline(path string, text []byte, deadline time.Time) (int, []byte, error) {
	return e.roundTrip(fasthttp.MethodPost, path, text, deadline)
}

// roundTrip sends one request and returns the status and body of the response.
func (e *endpointClient) roundTrip(method, path string, body []byte, deadline time.Time) (int, []byte, error) {
	httpReq := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpReq)
	httpResp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(httpResp)
	httpReq.SetRequestURI("http://" + e.addr + path)
	httpReq.Header.SetMethod(method)
	httpReq.Header.SetContentType("application/json")
	httpReq.SetBody(body)
	if err := e.doUnary(httpReq, httpResp, deadline); err != nil {
		return 0, nil, err
	}
	return httpResp.StatusCode(), append([]byte(nil), httpResp.Body()...), nil
}
