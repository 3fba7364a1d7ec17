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
	// directory stores for its engine and for other agents.
	DefaultWeightsMemory = 1 << 30

	storeRetryDelay = 100 * time.Millisecond
)

// OrderHandlerOptions configures an OrderHandler.
type OrderHandlerOptions struct {
	Incarnation     string // of this agent process
	Endpoint        string // address of the engine
	Store           platformpb.WeightStoreClient
	Dial            rpcpool.DialFunc // to other agents; nil: plain TCP
	DataDir         string           // empty: weights are stored in memory
	MemoryBytes     int              // 0: DefaultWeightsMemory
	MaxOrderTimeout time.Duration    // longest timeout of an order that changes the engine; 0: weights.MaxOrderTimeout
	Log             *logrus.Logger
	Metrics         metrics.Registry // nil: the default registry
}

// OrderHandler executes a weights owner's orders at the endpoint and serves
// chunks of weights to other agents. It is safe for concurrent use.
type OrderHandler struct {
	endpoint *endpointClient
	table    *chunkTable
	fetcher  *fetcher
	log      *logrus.Logger
	metrics  metrics.Registry

	mu               sync.Mutex
	weightsServer    *weightsServer // nil: not running
	filter           *weights.OrderFilter
	loadStartedAt    time.Time // when the load in progress started; zero: none
	lastLoadDuration time.Duration
}

// NewOrderHandler returns the order handler of an agent that starts now.
func NewOrderHandler(o OrderHandlerOptions) *OrderHandler {
	if o.MemoryBytes == 0 {
		o.MemoryBytes = DefaultWeightsMemory
	}
	if o.MaxOrderTimeout == 0 {
		o.MaxOrderTimeout = weights.MaxOrderTimeout
	}
	table := newChunkTable(o.DataDir, o.MemoryBytes)
	return &OrderHandler{
		endpoint: newEndpointClient(o.Endpoint),
		table:    table,
		fetcher:  &fetcher{store: o.Store, table: table, peers: rpcpool.New(o.Dial)},
		log:      o.Log,
		metrics:  o.Metrics,
		filter:   weights.NewOrderFilter(o.Incarnation, o.MaxOrderTimeout, time.Now()),
	}
}

// ObserveFences records epochs received with a heartbeat.
func (h *OrderHandler) ObserveFences(all []wire.Fence) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range all {
		h.filter.ObserveFence(f)
	}
}

// RecordReport records the engine's own report, which was requested at sentAt.
func (h *OrderHandler) RecordReport(load engineapi.Load, sentAt time.Time) {
	taken := sentAt.Add(-time.Duration(load.AgeMilli) * time.Millisecond)
	versions := map[string]int64{"": load.WeightVersion}
	for adapter, version := range load.Adapters {
		versions[adapter] = version
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.filter.ReportRole(load.Role, taken)
	h.filter.ReportVersions(versions, taken)
}

// RemainingLoadTime returns the estimated remaining time of the load in
// progress, or 0 if there is none. It counts as queued work, so that entries
// prefer other endpoints meanwhile.
func (h *OrderHandler) RemainingLoadTime() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.loadStartedAt.IsZero() {
		return 0
	}
	return max(h.lastLoadDuration-time.Since(h.loadStartedAt), time.Millisecond)
}

// Handle executes an order or returns why it can't. A load continues until the
// order's deadline even if ctx is done earlier.
func (h *OrderHandler) Handle(ctx context.Context, o wire.Order) wire.OrderReply {
	h.mu.Lock()
	verdict := h.filter.Accept(o, time.Now())
	h.mu.Unlock()
	if !verdict.Run {
		return verdict.Reply
	}
	if o.Kind == wire.OrderPrepare {
		return h.prepare(ctx, o, verdict.Deadline)
	}
	return h.load(o, verdict.Deadline)
}

func (h *OrderHandler) prepare(ctx context.Context, o wire.Order, deadline time.Time) wire.OrderReply {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	began := time.Now()
	if err := h.fetcher.prepare(ctx, o); err != nil {
		h.incCounter("fetch_failed")
		events.WeightsFetchFailed.Log(h.log, logFields(o, err))
		return wire.OrderReply{Outcome: wire.NotRun, Reason: wire.ReasonLoadFailed, Detail: err.Error()}
	}
	metrics.GetOrRegisterTimer("weights.fetch", h.metrics).UpdateSince(began)
	events.WeightsFetched.Log(h.log, logFields(o, nil))
	return wire.OrderReply{Outcome: wire.Answered, Version: o.Version}
}

func (h *OrderHandler) incCounter(name string) {
	metrics.GetOrRegisterCounter("weights."+name, h.metrics).Inc(1)
}

func logFields(o wire.Order, err error) logrus.Fields {
	f := logrus.Fields{"model": o.Model, "adapter": o.Adapter, "version": o.Version, "epoch": o.Fence.Epoch}
	if o.Kind == wire.OrderRole {
		f = logrus.Fields{"role": o.Role, "epoch": o.Fence.Epoch}
	}
	if err != nil {
		f["error"] = err.Error()
	}
	return f
}

func (h *OrderHandler) load(o wire.Order, deadline time.Time) wire.OrderReply {
	began := time.Now()
	h.mu.Lock()
	h.loadStartedAt = began
	h.mu.Unlock()
	result, reason, err := h.sendLoad(o, deadline)
	h.mu.Lock()
	now := time.Now()
	reply := h.filter.Finish(result, now)
	h.loadStartedAt = time.Time{}
	h.lastLoadDuration = now.Sub(began)
	h.mu.Unlock()
	if err == nil {
		metrics.GetOrRegisterTimer("weights.load", h.metrics).UpdateSince(began)
		events.WeightsLoaded.Log(h.log, logFields(o, nil))
		return reply
	}
	h.incCounter("load_failed")
	events.WeightsLoadFailed.Log(h.log, logFields(o, err))
	reply.Detail = err.Error()
	if reason != wire.ReasonNone {
		reply.Reason = reason
	}
	return reply
}

// sendLoad sends a load to the engine and waits until it ends.
func (h *OrderHandler) sendLoad(o wire.Order, deadline time.Time) (weights.LoadResult, wire.Reason, error) {
	h.mu.Lock()
	valid := h.filter.StillValid(time.Now())
	h.mu.Unlock()
	if !valid {
		return weights.LoadFailed, wire.ReasonDeadline, errors.New("agent: the order's deadline has passed")
	}
	h.table.pin(weightsName(o.Model, o.Adapter), o.Version)
	defer h.table.unpin()
	status, body, err := h.endpoint.postOrder(h.engineOrder(o, deadline), deadline)
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

func (h *OrderHandler) engineOrder(o wire.Order, deadline time.Time) engineapi.Order {
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
	h.setWeightsSource(o, &order)
	return order
}

// postOrder posts an order. The error errNotSent means that the engine never
// saw it.
func (e *endpointClient) postOrder(o engineapi.Order, deadline time.Time) (int, []byte, error) {
	text, err := json.Marshal(o)
	if err != nil {
		return 0, nil, errors.Wrap(errNotSent, err.Error())
	}
	return e.postWithDeadline(engineapi.PathOrder, text, deadline)
}

// Chunk returns a chunk of weights to another agent. If the chunk is not stored
// yet, it waits at most weights.ChunkHoldTimeout for it.
func (h *OrderHandler) Chunk(ctx context.Context, id wire.ChunkRequest) wire.ChunkReply {
	data, found := h.table.wait(ctx, id, weights.ChunkHoldTimeout)
	if found {
		h.incCounter("chunks_given")
	}
	return wire.ChunkReply{Found: found, Data: data}
}
