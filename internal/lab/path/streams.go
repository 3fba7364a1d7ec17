package path

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"runtime"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/standin"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// An engine of the reference fleet generates 1,308 tokens a second; this number of
	// streams with a step of 20 ms generates 1,600.
	streams              = clients
	engineStep           = 20 * time.Millisecond
	streamTokens         = 150
	streamTimeout        = time.Minute
	fleetTokensPerSecond = 1.7e6 // of all engines of the reference fleet
	completionPath       = "/v1/completions"
)

// streamFunc streams one completion and returns the number of tokens it received.
type streamFunc func(prompt string) (int, error)

// TokenBenchmark measures the processor time of a streamed token in three setups:
// directly from the engine, through entry and agent to a caller, and as a rollout of
// the entry. Each includes the work of the engine itself.
func TokenBenchmark() ([]bounds.Figure, error) {
	engine, err := startEngine()
	if err != nil {
		return nil, err
	}
	s, err := startAgents(engine)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	client := &fasthttp.Client{MaxConnsPerHost: 2 * streams, StreamResponseBody: true}
	direct, err := tokenCost(overHTTP(client, "http://"+s.endpoint+completionPath))
	if err != nil {
		return nil, errors.Wrap(err, "direct")
	}
	through, err := tokenCost(overHTTP(client, "http://"+s.entry+completionPath))
	if err != nil {
		return nil, errors.Wrap(err, "through")
	}
	rollout, err := tokenCost(s.generate)
	if err != nil {
		return nil, errors.Wrap(err, "rollout")
	}
	const micros = 1e6
	return []bounds.Figure{
		{Name: "bench.token_cpu_us", Value: (through.cpu - direct.cpu) * micros},
		{Name: "bench.token_cpu_us.baseline", Value: direct.cpu * micros},
		{Name: "bench.token_cpu_ratio", Value: through.cpu / direct.cpu},
		{Name: "bench.token_cores", Value: (through.cpu - direct.cpu) * fleetTokensPerSecond},
		{Name: "bench.token_allocs", Value: through.allocs - direct.allocs},
		{Name: "bench.rollout_token_cpu_us", Value: (rollout.cpu - direct.cpu) * micros},
		{Name: "bench.rollout_token_cpu_ratio", Value: rollout.cpu / direct.cpu},
		{Name: "bench.rollout_token_cores", Value: (rollout.cpu - direct.cpu) * fleetTokensPerSecond},
		{Name: "bench.rollout_token_allocs", Value: rollout.allocs - direct.allocs},
	}, nil
}

// startEngine runs an engine with a slot for each stream.
func startEngine() (backend, error) {
	engine := standin.NewEngine(standin.EngineOptions{Model: service, Version: 1, Slots: streams, StepTime: engineStep})
	endpoint, err := engine.Start("127.0.0.1:0")
	return backend{service: service, kind: decl.KindModel, endpoint: endpoint, crash: engine.Crash}, errors.Wrap(err, "path")
}

// cost is the cost of a token, over the whole process.
type cost struct {
	cpu    float64 // processor seconds
	allocs float64
}

// tokenCost runs the concurrent streams once to warm up and once to measure.
func tokenCost(run streamFunc) (cost, error) {
	if _, err := runStreams(run); err != nil {
		return cost{}, err
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	tokens, err := runStreams(run)
	cpu = processorTime() - cpu
	runtime.ReadMemStats(&after)
	return cost{cpu: cpu / float64(tokens), allocs: float64(after.Mallocs-before.Mallocs) / float64(tokens)}, err
}

func runStreams(run streamFunc) (int, error) {
	var group errgroup.Group
	counts := make([]int, streams)
	for i := range streams {
		group.Go(func() (err error) {
			counts[i], err = run("draft " + ulid.Make().String())
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	total := 0
	for _, n := range counts {
		total += n
	}
	if total == 0 {
		return 0, errors.New("no tokens")
	}
	return total, nil
}

func completion(prompt string) ([]byte, error) {
	return json.Marshal(engineapi.CompletionRequest{Model: service, Prompt: prompt, MaxTokens: streamTokens, Stream: true})
}

// overHTTP streams as a caller does and counts the events that carry a token.
func overHTTP(client *fasthttp.Client, url string) streamFunc {
	return func(prompt string) (int, error) {
		body, err := completion(prompt)
		if err != nil {
			return 0, err
		}
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.SetRequestURI(url)
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.SetContentType("application/json")
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+callerKey)
		req.SetBody(body)
		if err := client.DoTimeout(req, resp, streamTimeout); err != nil {
			return 0, errors.Wrap(err, "stream")
		}
		if resp.StatusCode() != fasthttp.StatusOK {
			return 0, errors.Errorf("stream: status %d", resp.StatusCode())
		}
		return countEvents(resp.BodyStream())
	}
}

// countEvents counts the token events until the end of the stream.
func countEvents(body io.Reader) (int, error) {
	buffer := make([]byte, 16<<10)
	tokenField, endOfStream := []byte(`"tokens":1`), []byte(engineapi.StreamDone)
	count, carried := 0, 0
	for {
		n, err := body.Read(buffer[carried:])
		text := buffer[:carried+n]
		end := bytes.LastIndexByte(text, '\n') + 1
		count += bytes.Count(text[:end], tokenField)
		if bytes.Contains(text[:end], endOfStream) {
			return count, nil
		}
		if err != nil {
			return count, errors.Wrap(err, "stream: no end")
		}
		carried = copy(buffer, text[end:])
	}
}

// generate streams as a rollout of a feed does.
func (s *site) generate(prompt string) (int, error) {
	body, err := completion(prompt)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	count := 0
	answer := s.server.Generate(ctx, wire.Request{
		ID: ulid.Make().String(), Service: service, Method: fasthttp.MethodPost, Path: completionPath,
		ContentType: "application/json", Body: body, Remaining: streamTimeout,
	}, func(reply wire.ReadReply) { count += len(reply.Tokens) })
	if answer.Outcome != wire.Answered {
		return count, errors.Errorf("rollout: %s %s %s", answer.Outcome, answer.Reason, answer.Detail)
	}
	return count, nil
}
