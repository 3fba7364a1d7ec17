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
	sampleFeed   = "drafts"
	scorer       = "scorer"
	sampleTokens = 150
	sampleGroups = 16
	sampleSize   = 8
	sampleSteps  = 4 // measured, after one to warm up
	sampleLimit  = 2 * time.Minute
	// looseBound keeps every sample: the engine stays at one version.
	looseBound = 1 << 20
)

// SampleBenchmark measures the processor time of a sample through generation at
// an engine of 50 tokens a second and stream, scoring and hand-over to a trainer,
// beside the same tokens streamed straight from the engine.
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
	whole, err := s.feedCost()
	if err != nil {
		return nil, errors.Wrap(err, "feed")
	}
	added := whole.cpu - direct.cpu*whole.tokens
	return []bounds.Figure{
		{Name: "bench.sample_cpu_ms", Value: added * 1e3},
		{Name: "bench.sample_cpu_ms.baseline", Value: direct.cpu * whole.tokens * 1e3},
		{Name: "bench.sample_tokens", Value: whole.tokens},
		{Name: "bench.samples_per_core_s", Value: 1 / added},
		{Name: "bench.samples_per_s", Value: whole.perSecond},
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
	return startBefore(engine, backend{service: scorer, kind: decl.KindPlain, endpoint: scoringAddress, crash: scoring.Crash})
}

// feedResult is what a feed's samples took of the whole process.
type feedResult struct {
	cpu       float64 // processor seconds a sample
	tokens    float64 // of a sample, in the mean
	perSecond float64 // samples
}

// feedCost runs a feed and its trainer for some steps.
func (s *site) feedCost() (feedResult, error) {
	store, stop, err := memoryStore()
	if err != nil {
		return feedResult{}, err
	}
	defer stop()
	s.declareFeed()
	feeds := feedrun.New(feedrun.Options{
		Instance: "entry", Store: store, Duties: holder{}, Config: config{s.deployment},
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
	ctx, cancel := context.WithTimeout(context.Background(), sampleLimit)
	defer cancel()
	go func() { _ = feeds.Run(ctx) }()
	trainer, err := standin.NewTrainer(standin.TrainerOptions{
		Entries: []string{listener.Addr().String()}, Key: callerKey, Deployment: s.deployment.Name, Feed: sampleFeed,
		Version: 1, StalenessBound: looseBound, AnnounceInterval: looseBound,
	})
	if err != nil {
		return feedResult{}, err
	}
	go trainer.Run(ctx)
	return measureSteps(ctx, trainer)
}

// measureSteps measures from the end of the first step on.
func measureSteps(ctx context.Context, trainer *standin.Trainer) (feedResult, error) {
	if err := awaitSteps(ctx, trainer, 1); err != nil {
		return feedResult{}, err
	}
	began, cpu, before := time.Now(), processorTime(), trainer.Report()
	if err := awaitSteps(ctx, trainer, 1+sampleSteps); err != nil {
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
		perSecond: samples / time.Since(began).Seconds(),
	}, nil
}

func awaitSteps(ctx context.Context, trainer *standin.Trainer, n int) error {
	for trainer.Report().Steps < n {
		if ctx.Err() != nil {
			return errors.Errorf("%d of %d steps within %s", trainer.Report().Steps, n, sampleLimit)
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func (s *site) declareFeed() {
	digest := sha256.Sum256([]byte(callerKey))
	s.deployment.Feeds = []decl.Feed{{
		Name: sampleFeed, Service: service, Business: "b", Model: service, Scorer: scorer,
		TrainerSHA256: hex.EncodeToString(digest[:]), StalenessBound: looseBound,
		GroupSize: sampleSize, GroupsPerStep: sampleGroups, LotSize: sampleSize * sampleGroups, MaxTokens: sampleTokens,
		WeightIdle: 1, Share: 1, Prompts: []string{"remind {step} {group} {index}"},
	}}
}

// memoryStore is a client of a key-value service of this process.
func memoryStore() (kv.Store, func(), error) {
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

// holder holds every duty for good.
type holder struct{}

func (holder) KnownHolder(string) (string, int64, bool) { return "", 1, true }
func (holder) LeaseState(string) duties.LeaseState      { return duties.Holder }
func (holder) OnChange(_ string, fn func(duties.Change)) {
	fn(duties.Change{Duty: wire.FeedDuty("bench", sampleFeed), Epoch: 1, LeaseState: duties.Holder})
}
