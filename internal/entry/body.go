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
	body, err := receiveBody(ctx)
	if err == nil {
		return body
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

// receiveBody returns the body of a request in one piece.
func receiveBody(ctx *fasthttp.RequestCtx) ([]byte, error) {
	conn := intake.ConnOf(ctx.Conn())
	bodyFollows := ctx.Request.IsBodyStream()
	if !conn.HeadArrived(bodyFollows) {
		return nil, intake.ErrNoMemory
	}
	if !bodyFollows {
		return append([]byte(nil), ctx.PostBody()...), nil
	}
	announced := int64(ctx.Request.Header.ContentLength()) // negative for chunks
	body, err := conn.ReadBody(ctx.RequestBodyStream(), announced, maxBodyBytes)
	if err != nil {
		return nil, err
	}
	return conn.Join(body)
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
