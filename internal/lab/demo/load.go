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
	maxResends    = 4
	resendPause   = 100 * time.Millisecond
	callSlack     = time.Second // past the deadline before the client gives up on an entry
	histogramMax  = 60_000_000  // microseconds
	histogramDigs = 3
)

// traffic is one request class's load.
type traffic struct {
	class    string
	site     Site
	key      string
	rate     float64 // requests per second
	deadline time.Duration
	build    func(n int) order
}

// order is one request to send, with what its answer must be.
type order struct {
	method, path string
	body         []byte
	operation    string // set for requests that may not be repeated
	prompt       string // set for completions
	seed         int64
	stream       bool
}

// Tally counts one class's outcomes.
type Tally struct {
	Class   string
	OnTime  int
	Late    int
	NotRun  int
	Unknown int
	Resent  int // after the connection to an entry was lost
	Wrong   int // answers that are not the request's own, cut or mislabelled
	latency *hdrhistogram.Histogram
	notRun  []string // operations told "not run" for good
	reasons map[string]int
	mu      sync.Mutex
}

// Quantile returns the latency at q percent, in milliseconds.
func (t *Tally) Quantile(q float64) float64 {
	return float64(t.latency.ValueAtQuantile(q)) / 1000
}

func newTally(class string) *Tally {
	return &Tally{Class: class, latency: hdrhistogram.New(1, histogramMax, histogramDigs), reasons: map[string]int{}}
}

// client sends callers' requests, taking the balancer's part: it goes on to
// the next entry when one is gone.
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

// drive sends a class's traffic until ctx ends and waits for its answers.
func (c *client) drive(ctx context.Context, t traffic, tally *Tally, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	interval := time.Duration(float64(time.Second) / t.rate)
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
		first := rnd.IntN(len(t.site.Entries))
		wg.Go(func() { c.one(t, tally, t.build(n), first) })
	}
}

// result is an exchange with one entry.
type result struct {
	status  int
	body    []byte
	problem struct {
		Outcome string `json:"outcome"`
		Reason  string `json:"reason"`
	}
	err error // the connection was lost: no answer at all
}

// one sends a request to its end: through another entry, under the same key,
// as long as entries are lost under it.
func (c *client) one(t traffic, tally *Tally, o order, entry int) {
	begun := time.Now()
	var r result
	for try := range maxResends {
		r = c.send(t, o, t.site.Entries[(entry+try)%len(t.site.Entries)])
		if r.err == nil {
			break
		}
		tally.resent()
		time.Sleep(resendPause)
	}
	tally.add(t, o, r, time.Since(begun))
}

func (c *client) send(t traffic, o order, entry Instance) result {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + entry.HTTP + o.path)
	req.Header.SetMethod(o.method)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+t.key)
	if o.operation != "" {
		req.Header.Set("Idempotency-Key", o.operation)
	}
	req.SetBody(o.body)
	var r result
	if r.err = c.http.DoTimeout(req, resp, t.deadline+callSlack); r.err != nil {
		return r
	}
	r.status = resp.StatusCode()
	if stream := resp.BodyStream(); stream != nil {
		r.body, r.err = io.ReadAll(stream)
		_ = resp.CloseBodyStream()
	} else {
		r.body = append([]byte(nil), resp.Body()...)
	}
	if r.status >= fasthttp.StatusBadRequest {
		_ = json.Unmarshal(r.body, &r.problem)
	}
	return r
}

func (t *Tally) resent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Resent++
}

func (t *Tally) add(tr traffic, o order, r result, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.latency.RecordValue(max(1, took.Microseconds()))
	switch {
	case r.err != nil:
		t.Unknown++
		t.reasons["connection: "+r.err.Error()]++
	case r.status >= fasthttp.StatusBadRequest && r.problem.Outcome == "not-run":
		t.NotRun++
		t.reasons[r.problem.Reason]++
		if o.operation != "" {
			t.notRun = append(t.notRun, o.operation)
		}
	case r.status >= fasthttp.StatusBadRequest:
		t.Unknown++
		t.reasons[r.problem.Reason]++
	default:
		t.judge(tr, o, r, took)
	}
}

// judge holds an answer against its request.
func (t *Tally) judge(tr traffic, o order, r result, took time.Duration) {
	err := checkAnswer(o, r.body)
	if errors.Is(err, errExplicitEnd) {
		t.Unknown++
		t.reasons[err.Error()]++
		return
	}
	if err != nil {
		t.Wrong++
		t.reasons["wrong: "+err.Error()]++
		return
	}
	if took <= tr.deadline {
		t.OnTime++
		return
	}
	t.Late++
}

// errExplicitEnd marks a stream that ended by saying that it failed.
var errExplicitEnd = errors.New("stream ended with an error event")

func checkAnswer(o order, body []byte) error {
	switch {
	case o.prompt == "":
		return checkEcho(o, body)
	case o.stream:
		return checkStream(o, body)
	default:
		return checkCompletion(o, body)
	}
}

func checkEcho(o order, body []byte) error {
	var echo struct {
		Path     string `json:"path"`
		BodyHash string `json:"body_hash"`
	}
	if err := json.Unmarshal(body, &echo); err != nil {
		return errors.Wrap(err, "echo")
	}
	if echo.BodyHash != standin.BodyHash(string(o.body)) {
		return errors.New("answer to another request")
	}
	return nil
}

func checkCompletion(o order, body []byte) error {
	var c engineapi.Completion
	if err := json.Unmarshal(body, &c); err != nil {
		return errors.Wrap(err, "completion")
	}
	if len(c.Choices) != 1 {
		return errors.Errorf("%d choices", len(c.Choices))
	}
	return checkText(o, c.Choices[0].Text, labelsOf(c))
}

func labelsOf(c engineapi.Completion) []int64 {
	var labels []int64
	for _, s := range c.Segments {
		for range s.To - s.From {
			labels = append(labels, s.Version)
		}
	}
	return labels
}

// checkText holds text against its prompt, its full length and its labels.
func checkText(o order, text string, labels []int64) error {
	versions, err := standin.CheckText(o.prompt, o.seed, text)
	if err != nil {
		return err
	}
	if want := standin.TokenCount(o.prompt, o.seed, maxTokens); len(versions) != want {
		return errors.Errorf("%d tokens of %d", len(versions), want)
	}
	if fmt.Sprint(versions) != fmt.Sprint(labels) {
		return errors.New("mislabelled")
	}
	return nil
}

func checkStream(o order, body []byte) error {
	var text []byte
	var labels []int64
	scanner := bufio.NewScanner(bytes.NewReader(body))
	for scanner.Scan() {
		line := scanner.Bytes()
		if bytes.HasPrefix(line, []byte("event: error")) {
			return errExplicitEnd
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == engineapi.StreamDone {
			return checkText(o, string(text), labels)
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
