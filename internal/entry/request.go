package entry

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/policy/poison"
	"siskinloom.example/siskinloom/internal/wire"
)

// Headers of callers' requests.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "X-Request-Timeout-Ms"
	headerDeadline       = "X-Request-Deadline" // RFC 3339
)

const (
	plainPrefix = "/svc/"
	// maxIdempotencyKey is the maximum length of an idempotency key in bytes.
	maxIdempotencyKey = 256
	// maxTimeoutMs caps a caller's timeout at one day, so that it cannot overflow. No
	// class has a longer deadline.
	maxTimeoutMs = 24 * 60 * 60 * 1000
	// prefixBytes is the length of the prompt prefix that selects the engine which
	// may have it in its cache.
	prefixBytes      = 256
	defaultMaxTokens = 256
	// tokenSeconds is the initial estimate of engine time per token, used for fair
	// queueing.
	tokenSeconds = 0.01
)

// call is a caller's request after parsing and validation.
type call struct {
	req    wire.Request
	class  decl.Class
	plain  bool
	prefix uint64
}

// findings collects the errors of a request, so that the caller gets all at once.
type findings struct {
	status  int
	list    []string
	refusal *wire.Answer // set if nothing is wrong with the request
}

func (f *findings) add(status int, format string, args ...any) {
	if f.status == 0 {
		f.status = status
	}
	f.list = append(f.list, fmt.Sprintf(format, args...))
}

// refuse records that a request without faults can't be read.
func (f *findings) refuse(a wire.Answer) {
	f.status, f.refusal = problemOf(a).Status, &a
}

// problem returns the problem document of the request.
func (f *findings) problem() problem {
	if f.refusal != nil {
		return problemOf(*f.refusal)
	}
	return refused(f.status, f.list...)
}

// readCall parses a caller's request and validates it against the configuration
// in force.
func readCall(ctx *fasthttp.RequestCtx, from *callerIndex, now time.Time) (call, *findings) {
	var c call
	f := &findings{}
	deployment := from.deployment
	principal, known := from.authenticate(ctx)
	if !known {
		f.add(fasthttp.StatusUnauthorized, "Authorization: a bearer key of a declared caller is needed")
		return c, f
	}
	body := readBody(ctx, f)
	if f.status != 0 {
		return c, f
	}
	c.req = wire.Request{
		Deployment:  deployment.Name,
		Principal:   principal,
		Method:      string(ctx.Method()),
		ContentType: string(ctx.Request.Header.ContentType()),
		Body:        body,
	}
	c.readTarget(ctx, f)
	service, known := findService(deployment, c.req.Service)
	if !known && f.status == 0 {
		f.add(fasthttp.StatusNotFound, "service %q is not declared", c.req.Service)
	}
	if f.status != 0 {
		return c, f
	}
	c.checkService(service, f)
	c.readClass(deployment, f)
	c.readDeadline(ctx, now, f)
	c.readIdempotencyKey(ctx, f)
	c.req.Fingerprint = fingerprint(c.req)
	return c, f
}

// readTarget determines the service: from the path for plain services, from the
// model name in the body for model services.
func (c *call) readTarget(ctx *fasthttp.RequestCtx, f *findings) {
	path := string(ctx.Path())
	if rest, ok := strings.CutPrefix(path, plainPrefix); ok {
		name, tail, _ := strings.Cut(rest, "/")
		c.plain = true
		c.req.Service = name
		c.req.Path = "/" + tail
		if query := ctx.URI().QueryString(); len(query) > 0 {
			c.req.Path += "?" + string(query)
		}
		return
	}
	if path != engineapi.PathCompletions {
		f.add(fasthttp.StatusNotFound, "path %q is neither %s nor below %sSERVICE/", path, engineapi.PathCompletions, plainPrefix)
		return
	}
	if c.req.Method != fasthttp.MethodPost {
		f.add(fasthttp.StatusMethodNotAllowed, "%s takes POST", path)
		return
	}
	c.readCompletion(path, f)
}

func (c *call) readCompletion(path string, f *findings) {
	var completion engineapi.CompletionRequest
	if err := json.Unmarshal(c.req.Body, &completion); err != nil {
		f.add(fasthttp.StatusBadRequest, "body: %v", err)
		return
	}
	if completion.Model == "" {
		f.add(fasthttp.StatusBadRequest, "body: model is missing")
	}
	if completion.Prompt == "" {
		f.add(fasthttp.StatusBadRequest, "body: prompt is missing")
	}
	if completion.MaxTokens < 0 {
		f.add(fasthttp.StatusBadRequest, "body: max_tokens is negative")
	}
	c.req.Path = path
	c.req.Service = completion.Model
	c.req.Stream = completion.Stream
	c.req.Cost = completionCost(completion)
	c.prefix = xxhash.Sum64String(completion.Prompt[:min(len(completion.Prompt), prefixBytes)])
}

func completionCost(c engineapi.CompletionRequest) float64 {
	tokens := c.MaxTokens
	if tokens == 0 {
		tokens = defaultMaxTokens
	}
	return float64(tokens) * tokenSeconds
}

func (c *call) checkService(service decl.Service, f *findings) {
	if c.plain != (service.Kind == decl.KindPlain) {
		f.add(fasthttp.StatusNotFound, "service %q is of kind %s and not reached by this path", service.Name, service.Kind)
	}
	if service.MaxBodyBytes > 0 && len(c.req.Body) > service.MaxBodyBytes {
		f.add(fasthttp.StatusRequestEntityTooLarge, "body: %d bytes, service %q takes %d", len(c.req.Body), service.Name, service.MaxBodyBytes)
	}
}

// readClass selects the first declared class of the service that matches.
func (c *call) readClass(deployment *decl.Deployment, f *findings) {
	for _, class := range deployment.Classes {
		if class.Service == c.req.Service && matches(class, c.req.Method, c.req.Path) {
			c.class = class
			c.req.Class = class.Name
			c.req.Priority = class.Priority
			c.req.Idempotent = class.Idempotent
			return
		}
	}
	f.add(fasthttp.StatusNotFound, "no request class of service %q matches %s %s", c.req.Service, c.req.Method, c.req.Path)
}

func matches(class decl.Class, method, path string) bool {
	if len(class.Match) == 0 {
		return true
	}
	path, _, _ = strings.Cut(path, "?")
	for _, pattern := range class.Match {
		wantMethod, wantPath, _ := strings.Cut(pattern, " ")
		if wantMethod != method {
			continue
		}
		prefix, open := strings.CutSuffix(wantPath, "*")
		if path == wantPath || (open && strings.HasPrefix(path, prefix)) {
			return true
		}
	}
	return false
}

// readDeadline sets the remaining time from the class's deadline or the caller's,
// whichever is earlier.
func (c *call) readDeadline(ctx *fasthttp.RequestCtx, now time.Time, f *findings) {
	remaining := c.class.Deadline
	if text := ctx.Request.Header.Peek(headerTimeout); len(text) > 0 {
		ms, err := strconv.ParseInt(string(text), 10, 64)
		if err != nil {
			f.add(fasthttp.StatusBadRequest, "%s: %q is not a whole number of milliseconds", headerTimeout, text)
			return
		}
		remaining = min(remaining, time.Duration(min(ms, maxTimeoutMs))*time.Millisecond)
	}
	if text := ctx.Request.Header.Peek(headerDeadline); len(text) > 0 {
		at, err := time.Parse(time.RFC3339Nano, string(text))
		if err != nil {
			f.add(fasthttp.StatusBadRequest, "%s: %q is not an RFC 3339 time", headerDeadline, text)
			return
		}
		remaining = min(remaining, at.Sub(now))
	}
	if remaining <= 0 && f.status == 0 {
		f.add(fasthttp.StatusBadRequest, "the request's deadline is in the past")
	}
	c.req.Remaining = remaining
}

// readIdempotencyKey sets the call ID from the idempotency key. The key is scoped
// to the caller, so that no caller can read another's stored answer.
func (c *call) readIdempotencyKey(ctx *fasthttp.RequestCtx, f *findings) {
	key := string(ctx.Request.Header.Peek(headerIdempotencyKey))
	if len(key) > maxIdempotencyKey {
		f.add(fasthttp.StatusBadRequest, "%s: %d bytes, at most %d", headerIdempotencyKey, len(key), maxIdempotencyKey)
		return
	}
	if key == "" && !c.class.Idempotent && f.status == 0 {
		f.add(fasthttp.StatusBadRequest, "%s is needed: requests of class %q may not be repeated without it", headerIdempotencyKey, c.class.Name)
		return
	}
	if key == "" {
		c.req.CallID = ulid.Make().String()
		return
	}
	c.req.Keyed = true
	c.req.CallID = strings.Join([]string{c.req.Deployment, c.req.Principal.Caller, key}, "/")
}

func findService(deployment *decl.Deployment, name string) (decl.Service, bool) {
	for _, s := range deployment.Services {
		if s.Name == name {
			return s, true
		}
	}
	return decl.Service{}, false
}

func businessOf(deployment *decl.Deployment, agency string) string {
	for _, a := range deployment.Agencies {
		if a.Name == agency {
			return a.Business
		}
	}
	return ""
}

// fingerprint returns a hash of the request's content without its ID.
func fingerprint(req wire.Request) uint64 {
	return poison.Fingerprint(req.Body, req.Service, req.Method, req.Path)
}
