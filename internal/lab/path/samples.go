package path

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"google.golang.org/grpc"

	"siskinloom.example/siskinloom/api/trainerpb"
	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/feedrun"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/standin"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	sampleFeed      = "drafts"
	scorer          = "scorer"
	sampleTokens    = 150
	sampleGroups    = 16
	sampleGroupSize = 8
	sampleSteps     = 4 // measured steps, after one to warm up
	sampleTimeout   = 2 * time.Minute
	// unlimitedStaleness keeps every sample although the engine stays at one version
	// while the trainer's version advances.
	unlimitedStaleness = 1 << 20
)

// SampleBenchmark measures the processor time of a sample: generation at an engine
// of 50 tokens a second, streaming, scoring and handover to a trainer. The baseline
// is the processor time of the same tokens streamed directly from the engine.
func SampleBenchmark() ([]bounds.Figure, error) {
	s, err := startFeedSite()
	if err != nil {
		return nil, err
	}
	defer s.stop()
	client := &fasthttp.Client{MaxConnsPerHost: 2 * streams, StreamResponseBody: true}
	direct, err := tokenCost(overHTTP(client, "http://"+s.endpoint+completionPath))
	if err != nil {
		return nil, errors.Wrap(err, "direct")
	}
	feed, err := s.feedCost()
	if err != nil {
		return nil, errors.Wrap(err, "feed")
	}
	added := feed.cpu - direct.cpu*feed.tokens
	return []bounds.Figure{
		{Name: "bench.sample_cpu_ms", Value: added * 1e3},
		{Name: "bench.sample_cpu_ms.baseline", Value: direct.cpu * feed.tokens * 1e3},
		{Name: "bench.sample_tokens", Value: feed.tokens},
		{Name: "bench.samples_per_core_s", Value: 1 / added},
		{Name: "bench.samples_per_s", Value: feed.perSecond},
	}, nil
}

// startFeedSite runs an engine and a scorer with their agents and an entry.
func startFeedSite() (*site, error) {
	engine, err := startEngine()
	if err != nil {
		return nil, err
	}
	scoring := standin.NewService(standin.ServiceOptions{Name: scorer, Scorer: true})
	scoringAddress, err := scoring.Start("127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "path")
	}
	return startAgents(engine, backend{service: scorer, kind: decl.KindPlain, endpoint: scoringAddress, crash: scoring.Crash})
}

// feedResult is the cost of the samples of a feed, over the whole process.
type feedResult struct {
	cpu       float64 // processor seconds per sample
	tokens    float64 // mean number of tokens of a sample
	perSecond float64 // samples per second
}

// feedCost runs a feed and its trainer and measures some of its steps.
func (s *site) feedCost() (feedResult, error) {
	store, stop, err := newStore()
	if err != nil {
		return feedResult{}, err
	}
	defer stop()
	s.declareFeed()
	feeds := feedrun.New(feedrun.Options{
		Instance: "entry", Store: store, Duties: permanentHolder{}, Config: fixedConfig{s.deployment},
		Generator: s.server, Scorer: s.server, Engines: s.pool, Log: s.log, Metrics: metrics.NewRegistry(),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return feedResult{}, errors.Wrap(err, "path")
	}
	server := grpc.NewServer()
	trainerpb.RegisterTrainerServer(server, feedrun.NewTrainer(feeds))
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	go func() { _ = feeds.Run(ctx) }()
	trainer, err := standin.NewTrainer(standin.TrainerOptions{
		Entries: []string{listener.Addr().String()}, Key: callerKey, Deployment: s.deployment.Name, Feed: sampleFeed,
		Version: 1, StalenessBound: unlimitedStaleness, AnnounceInterval: unlimitedStaleness,
	})
	if err != nil {
		return feedResult{}, err
	}
	go trainer.Run(ctx)
	return measureSteps(ctx, trainer)
}

// measureSteps measures sampleSteps steps, beginning after the first one.
func measureSteps(ctx context.Context, trainer *standin.Trainer) (feedResult, error) {
	if err := waitForSteps(ctx, trainer, 1); err != nil {
		return feedResult{}, err
	}
	startedAt, cpu, before := time.Now(), processorTime(), trainer.Report()
	if err := waitForSteps(ctx, trainer, 1+sampleSteps); err != nil {
		return feedResult{}, err
	}
	cpu = processorTime() - cpu
	after := trainer.Report()
	samples := float64(after.Samples - before.Samples)
	if after.Mislabelled+after.Duplicates > 0 {
		return feedResult{}, errors.Errorf("%d mislabelled, %d duplicates", after.Mislabelled, after.Duplicates)
	}
	return feedResult{
		cpu:       cpu / samples,
		tokens:    float64(after.Tokens-before.Tokens) / samples,
		perSecond: samples / time.Since(startedAt).Seconds(),
	}, nil
}

func waitForSteps(ctx context.Context, trainer *standin.Trainer, n int) error {
	for trainer.Report().Steps < n {
		if ctx.Err() != nil {
			return errors.Errorf("%d of %d steps within %s", trainer.Report().Steps, n, sampleTimeout)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (s *site) declareFeed() {
	digest := sha256.Sum256([]byte(callerKey))
	s.deployment.Feeds = []decl.Feed{{
		Name: sampleFeed, Service: service, Business: "b", Model: service, Scorer: scorer,
		TrainerSHA256: hex.EncodeToString(digest[:]), StalenessBound: unlimitedStaleness,
		GroupSize: sampleGroupSize, GroupsPerStep: sampleGroups, LotSize: sampleGroupSize * sampleGroups, MaxTokens: sampleTokens,
		WeightIdle: 1, Share: 1, Prompts: []string{"remind {step} {group} {index}"},
	}}
}

// newStore starts an in-memory key-value service and returns a client of it and a
// function that stops both.
func newStore() (kv.Store, func(), error) {
	platform := standin.NewPlatform(standin.PlatformOptions{})
	address, err := platform.Start("127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "path")
	}
	store, err := kv.NewClient(kv.Options{Address: address, Writer: "entry", CallsPerSec: 100})
	if err != nil {
		return nil, nil, err
	}
	return store, func() {
		_ = store.Close()
		platform.Close()
	}, nil
}

// permanentHolder holds every duty permanently.
type permanentHolder struct{}

func (permanentHolder) KnownHolder(string) (string, int64, bool) { return "", 1, true }
func (permanentHolder) LeaseState(string) duties.LeaseState      { return duties.Holder }
func (permanentHolder) OnChange(_ string, fn func(duties.Change)) {
	fn(duties.Change{Duty: wire.FeedDuty("bench", sampleFeed), Epoch: 1, LeaseState: duties.Holder})
}
