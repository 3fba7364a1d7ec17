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
	flightGroups = 512 // of sampleSize: the 4,096 samples of a step
	flightLimit  = time.Minute
	// Tokens that each sample has when the memory is counted: a line through two
	// lengths tells what a token takes.
	flightShort = 256
	flightLong  = 2048
)

// stalled generates some tokens of each sample and no more, so that all samples
// of a step are in flight at once.
type stalled struct {
	tokens   int
	inFlight atomic.Int64
}

// Generate implements entry.Generator.
func (s *stalled) Generate(ctx context.Context, req wire.Request, onTokens func(wire.ReadReply)) wire.Answer {
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

// Engines implements entry.EngineLister: one engine with a slot for every sample.
func (s *stalled) Engines(string) []entry.EngineState {
	return []entry.EngineState{{ID: "agent", Load: wire.Load{Slots: flightGroups * sampleSize, WeightVersion: 1}}}
}

// InFlightBenchmark measures the memory that the owner of a feed has for each
// sample in flight, heap and stacks, with all samples of a step in flight.
func InFlightBenchmark() ([]bounds.Figure, error) {
	short, err := bytesInFlight(flightShort)
	if err != nil {
		return nil, err
	}
	long, err := bytesInFlight(flightLong)
	if err != nil {
		return nil, err
	}
	perToken := (long - short) / (flightLong - flightShort)
	return []bounds.Figure{
		{Name: "bench.sample_in_flight_bytes", Value: short - perToken*flightShort},
		{Name: "bench.sample_in_flight_bytes_per_token", Value: perToken},
	}, nil
}

// bytesInFlight returns the memory of each sample with so many tokens.
func bytesInFlight(tokens int) (float64, error) {
	store, stop, err := memoryStore()
	if err != nil {
		return 0, err
	}
	defer stop()
	log := logrus.New()
	log.SetOutput(io.Discard)
	fleet := &stalled{tokens: tokens}
	s := &site{deployment: deployment([]backend{{service: service, kind: decl.KindModel}})}
	s.declareFeed()
	feed := &s.deployment.Feeds[0]
	feed.GroupsPerStep, feed.LotSize, feed.MaxTokens = flightGroups, flightGroups*sampleSize, 2*tokens
	before := memory()
	feeds := feedrun.New(feedrun.Options{
		Instance: "entry", Store: store, Duties: holder{}, Config: config{s.deployment},
		Generator: fleet, Engines: fleet, Log: log, Metrics: metrics.NewRegistry(),
	})
	ctx, cancel := context.WithTimeout(context.Background(), flightLimit)
	defer cancel()
	go func() { _ = feeds.Run(ctx) }()
	const all = flightGroups * sampleSize
	for fleet.inFlight.Load() < all {
		if ctx.Err() != nil {
			return 0, errors.Errorf("%d of %d samples in flight within %s", fleet.inFlight.Load(), all, flightLimit)
		}
		time.Sleep(time.Millisecond)
	}
	return float64(memory()-before) / all, nil
}

// memory returns the bytes of live heap and of stacks.
func memory() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
