package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/standin"
)

const (
	maxSends         = 4
	resendDelay      = 100 * time.Millisecond
	timeoutMargin    = time.Second // added to a request's deadline for the timeout of the client
	maxLatencyMicros = 60_000_000
	histogramDigits  = 3 // significant digits
)

// trafficClass describes the load of one request class.
type trafficClass struct {
	name       string
	site       Site
	key        string
	rate       float64 // requests per second
	deadline   time.Duration
	newRequest func(n int) loadRequest
}

// loadRequest is one request to send, with the values that its answer is checked
// against.
type loadRequest struct {
	method, path string
	body         []byte
	operation    string // set for non-idempotent requests
	prompt       string // set for completions
	seed         int64
	stream       bool
}

// ClassStats counts the outcomes of one request class.
type ClassStats struct {
	Class   string
	OnTime  int
	Late    int
	NotRun  int
	Unknown int
	Resent  int                     // sends whose connection was lost; all but the last one of a request are resent
	Wrong   int                     // answers that belong to another request, are truncated or mislabelled
	latency *hdrhistogram.Histogram // in microseconds
	notRun  []string                // operations whose last answer was "not run"
	reasons map[string]int
	mu      sync.Mutex
}

// Quantile returns the latency at q percent, in milliseconds.
func (s *ClassStats) Quantile(q float64) float64 {
	return float64(s.latency.ValueAtQuantile(q)) / 1000
}

func newClassStats(class string) *ClassStats {
	return &ClassStats{Class: class, latency: hdrhistogram.New(1, maxLatencyMicros, histogramDigits), reasons: map[string]int{}}
}

// client sends the callers' requests. Like a load balancer, it uses the next entry after
// the connection to one was lost.
type client struct {
	http *fasthttp.Client
}

func newClient() *client {
	return &client{http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		StreamResponseBody:        true,
		MaxIdleConnDuration:       5 * time.Second,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// sendClass sends a class's traffic until ctx ends and waits for its answers.
func (c *client) sendClass(ctx context.Context, class trafficClass, stats *ClassStats, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	interval := time.Duration(float64(time.Second) / class.rate)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		first := rng.IntN(len(class.site.Entries))
		wg.Go(func() { c.sendWithResends(class, stats, class.newRequest(n), first) })
	}
}

// loadResponse is the result of sending a request to one entry.
type loadResponse struct {
	status  int
	body    []byte
	problem struct {
		Outcome string `json:"outcome"`
		Reason  string `json:"reason"`
	}
	err error // not nil if the connection was lost before the answer was complete
}

// sendWithResends sends a request and records the result. After a lost connection it
// sends the request, with the same key if it has one, to the next entry, at most maxSends
// times in all.
func (c *client) sendWithResends(class trafficClass, stats *ClassStats, request loadRequest, entry int) {
	start := time.Now()
	var response loadResponse
	for try := range maxSends {
		response = c.sendOnce(class, request, class.site.Entries[(entry+try)%len(class.site.Entries)])
		if response.err == nil {
			break
		}
		stats.countResent()
		time.Sleep(resendDelay)
	}
	stats.record(class, request, response, time.Since(start))
}

func (c *client) sendOnce(class trafficClass, request loadRequest, entry Instance) loadResponse {
	httpReq := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpReq)
	httpResp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(httpResp)
	httpReq.SetRequestURI("http://" + entry.HTTP + request.path)
	httpReq.Header.SetMethod(request.method)
	httpReq.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+class.key)
	if request.operation != "" {
		httpReq.Header.Set("Idempotency-Key", request.operation)
	}
	httpReq.SetBody(request.body)
	var response loadResponse
	if response.err = c.http.DoTimeout(httpReq, httpResp, class.deadline+timeoutMargin); response.err != nil {
		return response
	}
	response.status = httpResp.StatusCode()
	if stream := httpResp.BodyStream(); stream != nil {
		response.body, response.err = io.ReadAll(stream)
		_ = httpResp.CloseBodyStream()
	} else {
		response.body = append([]byte(nil), httpResp.Body()...)
	}
	if response.status >= fasthttp.StatusBadRequest {
		_ = json.Unmarshal(response.body, &response.problem)
	}
	return response
}

func (s *ClassStats) countResent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Resent++
}

func (s *ClassStats) record(class trafficClass, request loadRequest, response loadResponse, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.latency.RecordValue(max(1, latency.Microseconds()))
	switch {
	case response.err != nil:
		s.Unknown++
		s.reasons["connection: "+response.err.Error()]++
	case response.status >= fasthttp.StatusBadRequest && response.problem.Outcome == "not-run":
		s.NotRun++
		s.reasons[response.problem.Reason]++
		if request.operation != "" {
			s.notRun = append(s.notRun, request.operation)
		}
	case response.status >= fasthttp.StatusBadRequest:
		s.Unknown++
		s.reasons[response.problem.Reason]++
	default:
		s.recordAnswer(class, request, response, latency)
	}
}

// recordAnswer checks an answer against its request and counts it.
func (s *ClassStats) recordAnswer(class trafficClass, request loadRequest, response loadResponse, latency time.Duration) {
	err := checkAnswer(request, response.body)
	if errors.Is(err, errStreamFailed) {
		s.Unknown++
		s.reasons[err.Error()]++
		return
	}
	if err != nil {
		s.Wrong++
		s.reasons["wrong: "+err.Error()]++
		return
	}
	if latency <= class.deadline {
		s.OnTime++
		return
	}
	s.Late++
}

// errStreamFailed is returned for a stream that ended with an error event.
var errStreamFailed = errors.New("stream ended with an error event")

// checkAnswer returns an error if the body is not the complete answer to the request.
func checkAnswer(request loadRequest, body []byte) error {
	switch {
	case request.prompt == "":
		return checkEcho(request, body)
	case request.stream:
		return checkStream(request, body)
	default:
		return checkCompletion(request, body)
	}
}

func checkEcho(request loadRequest, body []byte) error {
	var echo struct {
		Path     string `json:"path"`
		BodyHash string `json:"body_hash"`
	}
	if err := json.Unmarshal(body, &echo); err != nil {
		return errors.Wrap(err, "echo")
	}
	if echo.BodyHash != standin.BodyHash(string(request.body)) {
		return errors.New("answer to another request")
	}
	return nil
}

func checkCompletion(request loadRequest, body []byte) error {
	var completion engineapi.Completion
	if err := json.Unmarshal(body, &completion); err != nil {
		return errors.Wrap(err, "completion")
	}
	if len(completion.Choices) != 1 {
		return errors.Errorf("%d choices", len(completion.Choices))
	}
	return checkText(request, completion.Choices[0].Text, versionLabels(completion))
}

// versionLabels returns the weight version of each token.
func versionLabels(completion engineapi.Completion) []int64 {
	var labels []int64
	for _, s := range completion.Segments {
		for range s.To - s.From {
			labels = append(labels, s.Version)
		}
	}
	return labels
}

// checkText checks that a text belongs to the request's prompt, is complete and has the
// right weight version at each token.
func checkText(request loadRequest, text string, labels []int64) error {
	versions, err := standin.CheckText(request.prompt, request.seed, text)
	if err != nil {
		return err
	}
	if want := standin.TokenCount(request.prompt, request.seed, maxTokens); len(versions) != want {
		return errors.Errorf("%d tokens of %d", len(versions), want)
	}
	if fmt.Sprint(versions) != fmt.Sprint(labels) {
		return errors.New("mislabelled")
	}
	return nil
}

func checkStream(request loadRequest, body []byte) error {
	var text []byte
	var labels []int64
	scanner := bufio.NewScanner(bytes.NewReader(body))
	for scanner.Scan() {
		line := scanner.Bytes()
		if bytes.HasPrefix(line, []byte("event: error")) {
			return errStreamFailed
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == engineapi.StreamDone {
			return checkText(request, string(text), labels)
		}
		var event engineapi.Completion
		if err := json.Unmarshal(data, &event); err != nil {
			return errors.Wrap(err, "event")
		}
		for _, choice := range event.Choices {
			if choice.Text != "" {
				text = append(text, choice.Text...)
				labels = append(labels, event.WeightVersion)
			}
		}
	}
	return errors.New("stream closed without an end")
}
