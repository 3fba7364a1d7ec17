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
	defaultMaxTokens      = 256
	runTimeout            = 30 * time.Minute // a step must be complete within 28 minutes
	maxAttempts           = 4                // number of attempts of one run that may break off
	scoreTimeout          = 10 * time.Second
	maxScoreAttempts      = 4
	retryDelay            = 100 * time.Millisecond
	pathScore             = "/score"
	contentJSON           = "application/json"
	estimatedTokenSeconds = 0.01 // initial estimate of engine time per token, for fair queueing
)

var (
	errGeneration = errors.New("feedrun: generation failed")
	errNoScore    = errors.New("feedrun: no score")
	errPoisoned   = errors.New("feedrun: the prompt crashes engines")
)

// run is the generation of one sample, possibly on several engines in turn.
type run struct {
	generation *generation
	owner      *owner
	feed       decl.Feed
	id         sample.ID
	engine     string // guarded by generation.mu
	prompt     string
	ctx        context.Context
	cancel     context.CancelFunc

	mu            sync.Mutex
	builder       labels.Builder
	tokens        tokens.Text
	stream        string // ID of the stream being read
	firstTokenAt  time.Time
	targetEngine  string             // preferred engine of the next attempt; empty: any
	moving        bool               // the current attempt was cancelled in order to move
	cancelAttempt context.CancelFunc // cancels the current attempt
	nextCache     importedCache      // for the next attempt
	usedCache     importedCache      // used by the current attempt
	attempts      int                // number of attempts so far
}

func newRun(g *generation, o *owner, id sample.ID, engine string) *run {
	ctx, cancel := context.WithTimeout(o.ctx, runTimeout)
	feed := o.declaration()
	return &run{
		generation:   g,
		owner:        o,
		feed:         feed,
		id:           id,
		engine:       engine,
		targetEngine: engine,
		prompt:       promptOf(feed, id),
		ctx:          ctx,
		cancel:       cancel,
	}
}

// run generates, labels and scores the sample and delivers it to the owner. On
// a failure, the scheduler starts the sample again under the same ID.
func (r *run) run() {
	defer r.cancel()
	s, err := r.generate()
	if errors.Is(err, errPoisoned) {
		s, err = r.failedSample(), nil
	} else if err == nil {
		s.Score, err = r.score(s)
	}
	if err != nil {
		r.discard(err)
		sleep(r.ctx, retryDelay)
		r.generation.runEnded(r, 0, false)
		return
	}
	r.owner.deliver(handover.Completed{Sample: s})
	r.generation.runEnded(r, r.tokens.Len(), true)
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

// generate generates the complete sample. It resumes after the last token if
// the run is moved and if its engine left or failed.
func (r *run) generate() (sample.Sample, error) {
	var last wire.Answer
	for lostAttempts := 0; lostAttempts < maxAttempts && r.ctx.Err() == nil; {
		if r.generation.isPoisoned(r) {
			return sample.Sample{}, errPoisoned
		}
		ctx, cancel := context.WithCancel(r.ctx)
		req := r.nextRequest(cancel)
		startedAt := time.Now()
		before := len(req.Resume.Tokens)
		answer := r.owner.options.Generator.Generate(ctx, req, r.addTokens)
		cancel()
		r.mu.Lock()
		moved := r.moving
		r.moving = false
		after := r.tokens.Len()
		r.mu.Unlock()
		r.generation.pace.observe(time.Since(startedAt), after-before)
		if answer.Outcome == wire.Answered && answer.Status == http.StatusOK {
			return r.finish(answer)
		}
		if answer.Reason == wire.ReasonQuarantined {
			r.generation.markPoisoned(r)
			return sample.Sample{}, errPoisoned
		}
		last = answer
		if moved {
			continue
		}
		lostAttempts++
		sleep(r.ctx, retryDelay)
		r.clearTarget()
	}
	return sample.Sample{}, errors.Wrapf(errGeneration, "%s %s", last.Outcome, last.Reason)
}

// clearTarget allows the next attempt on any engine.
func (r *run) clearTarget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targetEngine = ""
}

// nextRequest starts an attempt and returns its request.
func (r *run) nextRequest(cancel context.CancelFunc) wire.Request {
	body, err := json.Marshal(engineapi.CompletionRequest{
		Model:     r.feed.Model,
		Prompt:    r.prompt,
		MaxTokens: maxTokens(r.feed),
		Seed:      seedOf(r.owner.deployment, r.feed.Name, r.id),
		Stream:    true,
	})
	if err != nil {
		panic(err) // encoding a struct of strings and numbers can't fail
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelAttempt = cancel
	r.usedCache, r.nextCache = r.nextCache, importedCache{}
	r.attempts++
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
		Cost:        estimatedTokenSeconds * float64(maxTokens(r.feed)),
		Resume:      wire.Resume{Tokens: r.tokens.List(), Cache: r.usedCache.id},
		Prefer:      r.targetEngine,
	}
}

// addTokens adds the tokens of a read. A new stream continues after the tokens
// of the previous one. Every stream has its own ID, so that a change of stream
// is detected.
func (r *run) addTokens(reply wire.ReadReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stream != reply.ID {
		r.stream = reply.ID
		_ = r.builder.Resume(r.builder.Tokens()) // the builder keeps the first error
		if r.usedCache.id != "" {
			_ = r.builder.Import(r.usedCache.version)
		}
	}
	if len(reply.Tokens) > 0 && r.firstTokenAt.IsZero() {
		r.firstTokenAt = time.Now()
	}
	_ = r.builder.Add(reply) // finish returns the error
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
		FirstTokenAt: r.firstTokenAt,
	}, nil
}

func (r *run) progress() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens.Len()
}

// moveTo ends the current attempt so that generate resumes at another engine,
// which recomputes the KV cache of the tokens so far.
func (r *run) moveTo(to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moveLocked(to)
}

func (r *run) moveLocked(to string) {
	r.targetEngine = to
	r.moving = true
	if r.cancelAttempt != nil {
		r.cancelAttempt()
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
	for range maxScoreAttempts {
		last = r.callScorer(name, body)
		var reply scoreReply
		if last.Status == http.StatusOK && json.Unmarshal(last.Body, &reply) == nil && reply.Score != nil {
			return *reply.Score, nil
		}
		sleep(r.ctx, retryDelay)
	}
	return 0, errors.Wrapf(errNoScore, "%s %s %d", last.Outcome, last.Reason, last.Status)
}

func (r *run) callScorer(name string, body []byte) wire.Answer {
	ctx, cancel := context.WithTimeout(r.ctx, scoreTimeout)
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
		Cost:        estimatedTokenSeconds,
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

// seedOf returns a sample's seed. A second run of the sample draws the same
// tokens on the same weights.
func seedOf(deployment, feed string, id sample.ID) int64 {
	return int64(xxhash.Sum64String(id.Name(deployment, feed)) >> 1)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
