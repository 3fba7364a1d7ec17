package entry

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/wire"
)

const problemType = "application/problem+json"

// problem is an RFC 9457 problem document with the outcome of the request.
type problem struct {
	Type       string   `json:"type"`
	Title      string   `json:"title"`
	Status     int      `json:"status"`
	Detail     string   `json:"detail,omitempty"`
	Outcome    string   `json:"outcome"` // "not-run" or "unknown"
	Reason     string   `json:"reason,omitempty"`
	RetryAfter float64  `json:"retry_after_s,omitempty"`
	Findings   []string `json:"findings,omitempty"`
}

var statusOf = map[wire.Reason]int{
	wire.ReasonQueueFull:   fasthttp.StatusServiceUnavailable,
	wire.ReasonOverloaded:  fasthttp.StatusServiceUnavailable,
	wire.ReasonDeadline:    fasthttp.StatusGatewayTimeout,
	wire.ReasonLeaving:     fasthttp.StatusServiceUnavailable,
	wire.ReasonQuarantined: fasthttp.StatusUnprocessableEntity,
	wire.ReasonRateLimited: fasthttp.StatusTooManyRequests,
	wire.ReasonStaleEpoch:  fasthttp.StatusServiceUnavailable,
	wire.ReasonNoEndpoint:  fasthttp.StatusServiceUnavailable,
	wire.ReasonCrashed:     fasthttp.StatusBadGateway,
	wire.ReasonCancelled:   fasthttp.StatusServiceUnavailable,
	wire.ReasonPlatform:    fasthttp.StatusServiceUnavailable,
	wire.ReasonConnection:  fasthttp.StatusBadGateway,
	wire.ReasonDuplicate:   fasthttp.StatusConflict,
	wire.ReasonNotReady:    fasthttp.StatusServiceUnavailable,
	wire.ReasonBadRequest:  fasthttp.StatusBadRequest,
	wire.ReasonConflict:    fasthttp.StatusUnprocessableEntity,
	wire.ReasonAnswerLost:  fasthttp.StatusConflict,
	wire.ReasonUnsettled:   fasthttp.StatusConflict,
	wire.ReasonOwnerAbsent: fasthttp.StatusServiceUnavailable,
}

// problemOf returns the problem document for an answer that no endpoint gave.
func problemOf(a wire.Answer) problem {
	status, known := statusOf[a.Reason]
	if !known {
		status = fasthttp.StatusBadGateway
	}
	if a.Outcome == wire.NotRun && a.Reason == wire.ReasonDeadline {
		status = fasthttp.StatusServiceUnavailable
	}
	outcome := wire.Unknown
	if a.Outcome == wire.NotRun {
		outcome = wire.NotRun
	}
	return problem{
		Type:       "about:blank",
		Title:      fasthttp.StatusMessage(status),
		Status:     status,
		Detail:     a.Detail,
		Outcome:    outcome.String(),
		Reason:     string(a.Reason),
		RetryAfter: a.RetryAfter.Seconds(),
	}
}

// refused returns the problem document for an invalid request.
func refused(status int, findings ...string) problem {
	return problem{
		Type:     "about:blank",
		Title:    fasthttp.StatusMessage(status),
		Status:   status,
		Detail:   "the request was refused before it was sent to any endpoint",
		Outcome:  wire.NotRun.String(),
		Reason:   string(wire.ReasonBadRequest),
		Findings: findings,
	}
}

func (p problem) write(ctx *fasthttp.RequestCtx) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType(problemType)
	if p.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds(p.RetryAfter))
	}
	text, err := json.Marshal(p)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(text)
}

// retryAfterSeconds rounds up, since a caller that retries too early is refused
// again.
func retryAfterSeconds(s float64) string {
	return strconv.Itoa(int(math.Ceil(s)))
}

func defaultRetryAfter(a wire.Answer) time.Duration {
	if a.RetryAfter > 0 || a.Outcome != wire.NotRun {
		return a.RetryAfter
	}
	switch a.Reason {
	case wire.ReasonQuarantined, wire.ReasonBadRequest, wire.ReasonDuplicate, wire.ReasonConflict:
		return 0
	default:
		return time.Second
	}
}
