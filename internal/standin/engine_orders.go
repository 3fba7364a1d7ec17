package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/wire"
)

// chunkTimeout bounds the reading of one chunk from the agent.
const chunkTimeout = 10 * time.Second

// handleOrder carries an order out in its request. Loads are not put in order:
// of two at once, the one that ends last stands, whatever its version.
func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var o engineapi.Order
	if !read(ctx, &o) {
		return
	}
	if !e.passFence(o) {
		reply(ctx, fasthttp.StatusConflict, engineapi.OrderResult{Version: e.Version(), Detail: "old fencing number"})
		return
	}
	switch wire.OrderKind(o.Kind) {
	case wire.OrderSwap, wire.OrderAdapter, wire.OrderRole:
		e.swap(ctx, o)
	default:
		reply(ctx, fasthttp.StatusOK, engineapi.OrderResult{Version: e.Version()})
	}
}

func (e *Engine) passFence(o engineapi.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fencing && o.Fence < e.fences[o.FenceDuty] {
		return false
	}
	e.fences[o.FenceDuty] = max(o.Fence, e.fences[o.FenceDuty])
	return true
}

func (e *Engine) swap(ctx *fasthttp.RequestCtx, o engineapi.Order) {
	e.mu.Lock()
	e.loading++
	e.mu.Unlock()
	took := e.options.LoadTime
	deadline := time.Duration(o.DeadlineMilli) * time.Millisecond
	late := deadline > 0 && took > deadline
	if late {
		took = deadline
	}
	time.Sleep(took)
	read, unread := readWeights(o)
	e.mu.Lock()
	e.weightsRead += read
	e.loading--
	failed := late || unread || e.failLoads > 0 || e.listener == nil
	e.failLoads = max(0, e.failLoads-1)
	if !failed {
		e.apply(o)
	}
	e.mu.Unlock()
	if failed {
		reply(ctx, fasthttp.StatusInternalServerError, engineapi.OrderResult{Version: e.Version(), Detail: "load failed"})
		return
	}
	reply(ctx, fasthttp.StatusOK, engineapi.OrderResult{Version: o.Version})
}

// readWeights reads a version from its agent, if that gives it, and tells how
// many bytes there were and whether they are not what was announced.
func readWeights(o engineapi.Order) (bytes int, wrong bool) {
	if o.WeightsURL == "" {
		return 0, false
	}
	digest := sha256.New()
	for i := range o.WeightsChunks {
		status, chunk, err := fasthttp.GetTimeout(nil, o.WeightsURL+strconv.Itoa(i), chunkTimeout)
		if err != nil || status != fasthttp.StatusOK {
			return bytes, true
		}
		digest.Write(chunk)
		bytes += len(chunk)
	}
	return bytes, hex.EncodeToString(digest.Sum(nil)) != o.WeightsSHA256
}

// WeightsRead returns how many bytes of weights the engine read from its agent.
func (e *Engine) WeightsRead() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weightsRead
}

func (e *Engine) apply(o engineapi.Order) {
	if wire.OrderKind(o.Kind) == wire.OrderRole {
		e.role = o.Role
		return
	}
	if o.Adapter != "" {
		e.adapters[o.Adapter] = o.Version
		return
	}
	e.version = o.Version
	e.versions = append(e.versions, o.Version)
}

// Version returns the weight version in force.
func (e *Engine) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Adapter returns an adapter's version; 0 if it was never loaded.
func (e *Engine) Adapter(name string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.adapters[name]
}

// Role returns the role last ordered; empty if none was.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}
