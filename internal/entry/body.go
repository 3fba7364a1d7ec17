package entry

import (
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/intake"
	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/wire"
)

// readBody reads the body of a request. If it can't, it adds the reason to the findings and has the
// connection closed, as what follows on it is the rest of the body.
func readBody(ctx *fasthttp.RequestCtx, f *findings) []byte {
	if !ctx.Request.IsBodyStream() {
		intake.ConnOf(ctx.Conn()).HeadArrived(false)
		return append([]byte(nil), ctx.PostBody()...)
	}
	conn := intake.ConnOf(ctx.Conn())
	announced := int64(ctx.Request.Header.ContentLength()) // negative for chunks
	conn.HeadArrived(announced != 0)
	body, err := conn.ReadBody(ctx.RequestBodyStream(), announced, maxBodyBytes)
	var joined []byte
	if err == nil {
		joined, err = conn.Join(body)
	}
	if err == nil {
		return joined
	}
	ctx.SetConnectionClose()
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		f.add(fasthttp.StatusRequestEntityTooLarge, "body: longer than %d bytes", maxBodyBytes)
	case errors.Is(err, intake.ErrNoMemory):
		f.refuse(overloadedAnswerFor(ctx, err))
	case errors.Is(err, intake.ErrTooSlow):
		f.add(fasthttp.StatusRequestTimeout, "body: did not arrive in %s", readTimeout)
	default:
		f.add(fasthttp.StatusBadRequest, "body: %v", err)
	}
	return nil
}

// overloadedAnswerFor refuses a request for whose body there is no memory. With an idempotency key it
// may be a repeat of one that ran, see notReadyAnswerFor.
func overloadedAnswerFor(ctx *fasthttp.RequestCtx, err error) wire.Answer {
	answer := wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonOverloaded, Detail: err.Error(), RetryAfter: time.Second}
	if len(ctx.Request.Header.Peek(headerIdempotencyKey)) > 0 {
		return claims.RefusalAsUnknown(answer)
	}
	return answer
}
