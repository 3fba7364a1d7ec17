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

// chunkTimeout limits the reading of one chunk from the agent.
const chunkTimeout = 10 * time.Second

// handleOrder carries out an order before it replies. Concurrent loads are not
// ordered: the one that ends last takes effect, whatever its version.
func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var o engineapi.Order
	if !decode(ctx, &o) {
		return
	}
	if !e.checkFence(o) {
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

func (e *Engine) checkFence(o engineapi.Order) bool {
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
	duration := e.options.LoadTime
	deadline := time.Duration(o.DeadlineMilli) * time.Millisecond
	timedOut := deadline > 0 && duration > deadline
	if timedOut {
		duration = deadline
	}
	time.Sleep(duration)
	bytesRead, mismatch := readWeights(o)
	e.mu.Lock()
	e.weightsRead += bytesRead
	e.loading--
	failed := timedOut || mismatch || e.failLoads > 0 || e.listener == nil
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

// readWeights reads a version from the agent, if the order names a URL. It returns
// the number of bytes read, and whether reading failed or the digest differs from
// the announced one.
func readWeights(o engineapi.Order) (bytes int, mismatch bool) {
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

// Version returns the weight version that the engine generates with.
func (e *Engine) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Adapter returns the version of an adapter, 0 if it was never loaded.
func (e *Engine) Adapter(name string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.adapters[name]
}

// Role returns the role that was ordered last, empty if none was.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}
