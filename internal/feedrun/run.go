package feedrun

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/labels"
	"siskinloom.example/siskinloom/internal/policy/sample"
	"siskinloom.example/siskinloom/internal/tokens"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	defaultMaxTokens = 256
	runLimit         = 30 * time.Minute // a step is to be whole within 28
	runTries         = 4                // attempts of one run that are cut off
	scoreLimit       = 10 * time.Second
	scoreTries       = 4
	retryPause       = 100 * time.Millisecond
	pathScore        = "/score"
	contentJSON      = "application/json"
	tokenSeconds     = 0.01 // first guess of engine time per token, for fair queueing
)

var (
	errRun     = errors.New("feedrun: generation failed")
	errNoScore = errors.New("feedrun: no score")
	errGivenUp = errors.New("feedrun: the prompt crashes engines")
)

// run is the generation of one sample, over the engines that it visits.
type run struct {
	generation *generation
	owner      *owner
	feed       decl.Feed
	id         sample.ID
	engine     string // guarded by generation.mu
	prompt     string
	ctx        context.Context
	end        context.CancelFunc

	mu      sync.Mutex
	builder labels.Builder
	tokens  tokens.Text
	stream  string // id of the attempt being read
	began   time.Time
	target  string             // engine to go to
	moving  bool               // the attempt under way was cancelled to move
	attempt context.CancelFunc // of the attempt under way
	cache   importedCache      // for the next attempt
	used    importedCache      // by the attempt under way
	tries   int                // attempts so far
}

func newRun(g *generation, o *owner, id sample.ID, engine string) *run {
	ctx, cancel := context.WithTimeout(o.ctx, runLimit)
	feed := o.declaration()
	return &run{
		generation: g,
		owner:      o,
		feed:       feed,
		id:         id,
		engine:     engine,
		target:     engine,
		prompt:     promptOf(feed, id),
		ctx:        ctx,
		end:        cancel,
	}
}

// run generates, labels and scores the sample and hands it to the owner. On any
// failure the sample is begun again by the scheduler, under the same id.
func (r *run) run() {
	defer r.end()
	s, err := r.generate()
	if errors.Is(err, errGivenUp) {
		s, err = r.giveUp(), nil
	} else if err == nil {
		s.Score, err = r.score(s)
	}
	if err != nil {
		r.discard(err)
		pause(r.ctx, retryPause)
		r.generation.ended(r, 0, false)
		return
	}
	r.owner.deliver(handover.Completed{Sample: s})
	r.generation.ended(r, r.tokens.Len(), true)
}

func (r *run) discard(err error) {
	if r.ctx.Err() != nil {
		return
	}
	events.SampleDiscarded.Log(r.owner.options.Log, logrus.Fields{
		"feed": r.feed.Name, "sample": r.id.Name(r.owner.deployment, r.feed.Name), "reason": err.Error(),
	})
	r.owner.counter("discarded." + reasonName(err)).Inc(1)
}

func reasonName(err error) string {
	names := map[error]string{
		labels.ErrGap:          "gap",
		labels.ErrConflict:     "conflict",
		labels.ErrUnattributed: "unattributed",
		labels.ErrForeignCache: "foreign-cache",
		labels.ErrEmpty:        "empty",
		errNoScore:             "no-score",
	}
	for known, name := range names {
		if errors.Is(err, known) {
			return name
		}
	}
	return "generation"
}

// generate runs the sample to its end. It goes on behind the last token when
// told to move, and when its engine left or was lost.
func (r *run) generate() (sample.Sample, error) {
	var last wire.Answer
	for tries := 0; tries < runTries && r.ctx.Err() == nil; {
		if r.generation.isPoison(r) {
			return sample.Sample{}, errGivenUp
		}
		ctx, cancel := context.WithCancel(r.ctx)
		req := r.request(cancel)
		begun := time.Now()
		before := len(req.Resume.Tokens)
		answer := r.owner.options.Generator.Generate(ctx, req, r.read)
		cancel()
		r.mu.Lock()
		moved := r.moving
		r.moving = false
		made := r.tokens.Len()
		r.mu.Unlock()
		r.generation.pace.observe(time.Since(begun), made-before)
		if answer.Outcome == wire.Answered && answer.Status == http.StatusOK {
			return r.finish(answer)
		}
		if answer.Reason == wire.ReasonQuarantined {
			r.generation.notePoison(r)
			return sample.Sample{}, errGivenUp
		}
		last = answer
		if moved {
			continue
		}
		tries++
		pause(r.ctx, retryPause)
		r.forgetTarget()
	}
	return sample.Sample{}, errors.Wrapf(errRun, "%s %s", last.Outcome, last.Reason)
}

// forgetTarget lets any engine take the next attempt.
func (r *run) forgetTarget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = ""
}

func (r *run) request(cancel context.CancelFunc) wire.Request {
	body, err := json.Marshal(engineapi.CompletionRequest{
		Model:     r.feed.Model,
		Prompt:    r.prompt,
		MaxTokens: maxTokens(r.feed),
		Seed:      seedOf(r.owner.deployment, r.feed.Name, r.id),
		Stream:    true,
	})
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempt = cancel
	r.used, r.cache = r.cache, importedCache{}
	r.tries++
	return wire.Request{
		CallID:      r.id.Name(r.owner.deployment, r.feed.Name),
		Deployment:  r.owner.deployment,
		Service:     r.feed.Service,
		Principal:   wire.FeedPrincipal(r.feed.Business, r.feed.Name),
		Method:      http.MethodPost,
		Path:        engineapi.PathCompletions,
		ContentType: contentJSON,
		Body:        body,
		Idempotent:  true,
		Stream:      true,
		Rollout:     true,
		Cost:        tokenSeconds * float64(maxTokens(r.feed)),
		Resume:      wire.Resume{Tokens: r.tokens.List(), Cache: r.used.id},
		Prefer:      r.target,
	}
}

// read takes tokens. A new stream goes on behind what was read of the last one;
// every attempt has its own id, so an answer of an earlier one shows.
func (r *run) read(reply wire.ReadReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stream != reply.ID {
		r.stream = reply.ID
		_ = r.builder.Resume(r.builder.Tokens()) // an earlier failure stands
		if r.used.id != "" {
			_ = r.builder.Import(r.used.version)
		}
	}
	if len(reply.Tokens) > 0 && r.began.IsZero() {
		r.began = time.Now()
	}
	_ = r.builder.Add(reply) // told by finish
	r.tokens.Append(reply.Tokens)
}

func (r *run) finish(answer wire.Answer) (sample.Sample, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	segments, err := r.builder.Finish(r.tokens.Len(), answer.Segments)
	if err != nil {
		return sample.Sample{}, err
	}
	return sample.Sample{
		ID:           r.id,
		Prompt:       r.prompt,
		Text:         r.tokens.String(),
		Segments:     segments,
		FirstTokenAt: r.began,
	}, nil
}

func (r *run) progress() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens.Len()
}

// moveTo ends the attempt under way so that generate goes on at another engine,
// which computes the KV cache of the tokens so far anew.
func (r *run) moveTo(to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moveLocked(to)
}

func (r *run) moveLocked(to string) {
	r.target = to
	r.moving = true
	if r.attempt != nil {
		r.attempt()
	}
}

// scoreRequest is the body of a call to a scorer.
type scoreRequest struct {
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// scoreReply is a scorer's answer.
type scoreReply struct {
	Score *float64 `json:"score"`
}

func (r *run) score(s sample.Sample) (float64, error) {
	if r.feed.Scorer == "" {
		return 0, nil
	}
	name := r.id.Name(r.owner.deployment, r.feed.Name)
	body, err := json.Marshal(scoreRequest{ID: name, Prompt: s.Prompt, Text: s.Text})
	if err != nil {
		return 0, errors.Wrap(err, "feedrun: score")
	}
	last := wire.Answer{}
	for range scoreTries {
		last = r.askScore(name, body)
		var reply scoreReply
		if last.Status == http.StatusOK && json.Unmarshal(last.Body, &reply) == nil && reply.Score != nil {
			return *reply.Score, nil
		}
		pause(r.ctx, retryPause)
	}
	return 0, errors.Wrapf(errNoScore, "%s %s %d", last.Outcome, last.Reason, last.Status)
}

func (r *run) askScore(name string, body []byte) wire.Answer {
	ctx, cancel := context.WithTimeout(r.ctx, scoreLimit)
	defer cancel()
	return r.owner.options.Scorer.Call(ctx, wire.Request{
		CallID:      name,
		Deployment:  r.owner.deployment,
		Service:     r.feed.Scorer,
		Principal:   wire.FeedPrincipal(r.feed.Business, r.feed.Name),
		Method:      http.MethodPost,
		Path:        pathScore,
		ContentType: contentJSON,
		Body:        body,
		Idempotent:  true,
		Cost:        tokenSeconds,
	})
}

func maxTokens(feed decl.Feed) int {
	if feed.MaxTokens > 0 {
		return feed.MaxTokens
	}
	return defaultMaxTokens
}

func promptOf(feed decl.Feed, id sample.ID) string {
	if len(feed.Prompts) == 0 {
		return ""
	}
	template := feed.Prompts[int(id.Group)%len(feed.Prompts)]
	return strings.NewReplacer(
		"{step}", strconv.FormatInt(id.Step, 10),
		"{group}", strconv.FormatInt(id.Group, 10),
		"{index}", strconv.FormatInt(int64(id.Index), 10),
	).Replace(template)
}

// seedOf makes a second run of a sample draw the same tokens on the same weights.
func seedOf(deployment, feed string, id sample.ID) int64 {
	return int64(xxhash.Sum64String(id.Name(deployment, feed)) >> 1)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
