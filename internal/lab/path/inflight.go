package path

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/entry"
	"siskinloom.example/siskinloom/internal/feedrun"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	inFlightGroups  = 512 // groups of sampleSize: the 4,096 samples of a step
	inFlightTimeout = time.Minute
	// Numbers of tokens of each sample when the memory is measured. The memory of a
	// token is the slope between the two measurements.
	shortTokens = 256
	longTokens  = 2048
)

// stalledGenerator generates a fixed number of tokens of each sample and then blocks
// until the call is cancelled, so that all samples of a step are in flight at once.
type stalledGenerator struct {
	tokens   int
	inFlight atomic.Int64
}

// Generate implements entry.Generator.
func (s *stalledGenerator) Generate(ctx context.Context, req wire.Request, onTokens func(wire.ReadReply)) wire.Answer {
	for position := range s.tokens {
		onTokens(wire.ReadReply{
			ID: req.CallID, Offset: position,
			Tokens: []string{fmt.Sprintf(" token%d", position)}, Versions: []int64{1},
		})
	}
	s.inFlight.Add(1)
	<-ctx.Done()
	return wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonCancelled}
}

// Engines implements entry.EngineLister. It returns one engine with a slot for every
// sample.
func (s *stalledGenerator) Engines(string) []entry.EngineState {
	return []entry.EngineState{{ID: "agent", Load: wire.Load{Slots: inFlightGroups * sampleGroupSize, WeightVersion: 1}}}
}

// InFlightBenchmark measures the memory, heap and stacks, that the owner of a feed
// uses for each sample while all samples of a step are in flight.
func InFlightBenchmark() ([]bounds.Figure, error) {
	short, err := bytesInFlight(shortTokens)
	if err != nil {
		return nil, err
	}
	long, err := bytesInFlight(longTokens)
	if err != nil {
		return nil, err
	}
	perToken := (long - short) / (longTokens - shortTokens)
	return []bounds.Figure{
		{Name: "bench.sample_in_flight_bytes", Value: short - perToken*shortTokens},
		{Name: "bench.sample_in_flight_bytes_per_token", Value: perToken},
	}, nil
}

// bytesInFlight returns the bytes used per sample if each has the number of tokens.
func bytesInFlight(tokens int) (float64, error) {
	store, stop, err := newStore()
	if err != nil {
		return 0, err
	}
	defer stop()
	log := logrus.New()
	log.SetOutput(io.Discard)
	generator := &stalledGenerator{tokens: tokens}
	s := &site{deployment: deployment([]backend{{service: service, kind: decl.KindModel}})}
	s.declareFeed()
	feed := &s.deployment.Feeds[0]
	feed.GroupsPerStep, feed.LotSize, feed.MaxTokens = inFlightGroups, inFlightGroups*sampleGroupSize, 2*tokens
	before := memoryInUse()
	feeds := feedrun.New(feedrun.Options{
		Instance: "entry", Store: store, Duties: permanentHolder{}, Config: fixedConfig{s.deployment},
		Generator: generator, Engines: generator, Log: log, Metrics: metrics.NewRegistry(),
	})
	ctx, cancel := context.WithTimeout(context.Background(), inFlightTimeout)
	defer cancel()
	go func() { _ = feeds.Run(ctx) }()
	const samples = inFlightGroups * sampleGroupSize
	for generator.inFlight.Load() < samples {
		if ctx.Err() != nil {
			return 0, errors.Errorf("%d of %d samples in flight within %s", generator.inFlight.Load(), samples, inFlightTimeout)
		}
		time.Sleep(time.Millisecond)
	}
	return float64(memoryInUse()-before) / samples, nil
}

// memoryInUse returns the bytes of live heap and of stacks.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
