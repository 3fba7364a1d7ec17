package agent

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/api/platformpb"
	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/policy/weights"
	"siskinloom.example/siskinloom/internal/rpcpool"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// DefaultWeightsMemory is how many bytes of weights an agent without a data
	// folder keeps for its engine and for other agents.
	DefaultWeightsMemory = 1 << 30

	storePause = 100 * time.Millisecond
)

// OrderHandlerOptions are what the orders to one endpoint need.
type OrderHandlerOptions struct {
	Incarnation     string // of this agent process
	Endpoint        string // address of the engine
	Store           platformpb.WeightStoreClient
	Dial            rpcpool.DialFunc // to other agents; nil: plain TCP
	DataDir         string           // empty: weights are kept in memory
	MemoryBytes     int              // 0: DefaultWeightsMemory
	MaxOrderTimeout time.Duration
	Log             *logrus.Logger
	Metrics         metrics.Registry // nil: the default registry
}

// OrderHandler carries out a weights owner's orders at the endpoint, and passes chunks
// of weights on to other agents. It is safe for concurrent use.
type OrderHandler struct {
	endpoint *endpoint
	table    *chunkTable
	fetcher  *fetcher
	log      *logrus.Logger
	metrics  metrics.Registry

	mu      sync.Mutex
	weights *weightsServer // nil: none runs
	guard   *weights.OrderFilter
	loading time.Time     // when the load in progress began; zero: none
	took    time.Duration // of the last load
}

// NewOrderHandler returns the orders of an agent that starts now.
func NewOrderHandler(o OrderHandlerOptions) *OrderHandler {
	if o.MemoryBytes == 0 {
		o.MemoryBytes = DefaultWeightsMemory
	}
	if o.MaxOrderTimeout == 0 {
		o.MaxOrderTimeout = weights.MaxOrderTimeout
	}
	table := newChunkTable(o.DataDir, o.MemoryBytes)
	return &OrderHandler{
		endpoint: newEndpoint(o.Endpoint),
		table:    table,
		fetcher:  &fetcher{store: o.Store, table: table, peers: rpcpool.New(o.Dial)},
		log:      o.Log,
		metrics:  o.Metrics,
		guard:    weights.NewOrderFilter(o.Incarnation, o.MaxOrderTimeout, time.Now()),
	}
}

// ObserveFences notes epochs heard on a heartbeat.
func (s *OrderHandler) ObserveFences(all []wire.Fence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range all {
		s.guard.ObserveFence(f)
	}
}

// RecordReport notes the engine's own report, asked for at the time asked.
func (s *OrderHandler) RecordReport(load engineapi.Load, asked time.Time) {
	taken := asked.Add(-time.Duration(load.AgeMilli) * time.Millisecond)
	versions := map[string]int64{"": load.WeightVersion}
	for adapter, version := range load.Adapters {
		versions[adapter] = version
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.ReportRole(load.Role, taken)
	s.guard.ReportVersions(versions, taken)
}

// RemainingLoadTime returns how long the load in progress will probably last; 0 without one.
// It counts as queued work, so that entries choose other endpoints meanwhile.
func (s *OrderHandler) RemainingLoadTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loading.IsZero() {
		return 0
	}
	return max(s.took-time.Since(s.loading), time.Millisecond)
}

// Handle carries an order out, or says why not. A load goes on until the order's
// deadline even if ctx ends before.
func (s *OrderHandler) Handle(ctx context.Context, o wire.Order) wire.OrderReply {
	s.mu.Lock()
	verdict := s.guard.Accept(o, time.Now())
	s.mu.Unlock()
	if !verdict.Run {
		return verdict.Reply
	}
	if o.Kind == wire.OrderPrepare {
		return s.prepare(ctx, o, verdict.Deadline)
	}
	return s.load(o, verdict.Deadline)
}

func (s *OrderHandler) prepare(ctx context.Context, o wire.Order, deadline time.Time) wire.OrderReply {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	began := time.Now()
	if err := s.fetcher.prepare(ctx, o); err != nil {
		s.count("fetch_failed")
		events.WeightsFetchFailed.Log(s.log, fields(o, err))
		return wire.OrderReply{Outcome: wire.NotRun, Reason: wire.ReasonLoadFailed, Detail: err.Error()}
	}
	metrics.GetOrRegisterTimer("weights.fetch", s.metrics).UpdateSince(began)
	events.WeightsFetched.Log(s.log, fields(o, nil))
	return wire.OrderReply{Outcome: wire.Answered, Version: o.Version}
}

func (s *OrderHandler) count(name string) {
	metrics.GetOrRegisterCounter("weights."+name, s.metrics).Inc(1)
}

func fields(o wire.Order, err error) logrus.Fields {
	f := logrus.Fields{"model": o.Model, "adapter": o.Adapter, "version": o.Version, "epoch": o.Fence.Epoch}
	if o.Kind == wire.OrderRole {
		f = logrus.Fields{"role": o.Role, "epoch": o.Fence.Epoch}
	}
	if err != nil {
		f["error"] = err.Error()
	}
	return f
}

func (s *OrderHandler) load(o wire.Order, deadline time.Time) wire.OrderReply {
	began := time.Now()
	s.mu.Lock()
	s.loading = began
	s.mu.Unlock()
	result, reason, err := s.give(o, deadline)
	s.mu.Lock()
	now := time.Now()
	reply := s.guard.Finish(result, now)
	s.loading = time.Time{}
	s.took = now.Sub(began)
	s.mu.Unlock()
	if err == nil {
		metrics.GetOrRegisterTimer("weights.load", s.metrics).UpdateSince(began)
		events.WeightsLoaded.Log(s.log, fields(o, nil))
		return reply
	}
	s.count("load_failed")
	events.WeightsLoadFailed.Log(s.log, fields(o, err))
	reply.Detail = err.Error()
	if reason != wire.ReasonNone {
		reply.Reason = reason
	}
	return reply
}

// give hands a load to the engine and waits for its end.
func (s *OrderHandler) give(o wire.Order, deadline time.Time) (weights.LoadResult, wire.Reason, error) {
	s.mu.Lock()
	due := s.guard.StillValid(time.Now())
	s.mu.Unlock()
	if !due {
		return weights.LoadFailed, wire.ReasonDeadline, errors.New("agent: the order's deadline has passed")
	}
	s.table.pin(weightsName(o.Model, o.Adapter), o.Version)
	defer s.table.unpin()
	status, body, err := s.endpoint.order(s.engineOrder(o, deadline), deadline)
	switch {
	case errors.Is(err, errNotSent):
		return weights.LoadFailed, wire.ReasonNoEndpoint, err
	case err != nil:
		return weights.LoadUnknown, wire.ReasonNone, err
	case status == fasthttp.StatusOK:
		return weights.LoadDone, wire.ReasonNone, nil
	case status == fasthttp.StatusConflict:
		return weights.LoadFailed, wire.ReasonStaleEpoch, errors.Errorf("engine: %s", body)
	default:
		return weights.LoadFailed, wire.ReasonNone, errors.Errorf("engine: status %d: %s", status, body)
	}
}

func (s *OrderHandler) engineOrder(o wire.Order, deadline time.Time) engineapi.Order {
	order := engineapi.Order{
		Kind:          string(o.Kind),
		Model:         o.Model,
		Version:       o.Version,
		Role:          o.Role,
		FenceDuty:     o.Fence.Duty,
		Fence:         o.Fence.Epoch,
		DeadlineMilli: time.Until(deadline).Milliseconds(),
	}
	if o.Kind == wire.OrderRole {
		return order
	}
	order.Adapter = o.Adapter
	s.sourceOf(o, &order)
	return order
}

// order posts an order; errNotSent means that the engine never saw it.
func (e *endpoint) order(o engineapi.Order, deadline time.Time) (int, []byte, error) {
	text, err := json.Marshal(o)
	if err != nil {
		return 0, nil, errors.Wrap(errNotSent, err.Error())
	}
	return e.postUntil(engineapi.PathOrder, text, deadline)
}

// Chunk gives a piece of weights to another agent, waiting a little for one that
// is on its way.
func (s *OrderHandler) Chunk(ctx context.Context, id wire.ChunkRequest) wire.ChunkReply {
	data, found := s.table.wait(ctx, id, weights.ChunkHoldTimeout)
	if found {
		s.count("chunks_given")
	}
	return wire.ChunkReply{Found: found, Data: data}
}
