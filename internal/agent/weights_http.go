package agent

import (
	"context"
	"encoding/hex"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	// weightsListenAddr is where an agent without a data directory serves
	// weights. The engine beside it is the only reader; no other instance can
	// reach it.
	weightsListenAddr = "127.0.0.1:0"
	weightsPath       = "/weights/"

	// One engine reads a version at a time, over a few connections at most. A
	// reader that stalls keeps a chunk in memory until the write timeout.
	maxWeightsConns        = 8
	weightsReadTimeout     = 5 * time.Second
	weightsWriteTimeout    = 30 * time.Second
	maxWeightsRequestBytes = 1 << 10
)

// weightsServer serves the engine the chunks that its agent holds in memory.
type weightsServer struct {
	table    *chunkTable
	listener net.Listener
	server   *fasthttp.Server
}

func newWeightsServer(table *chunkTable) (*weightsServer, error) {
	listener, err := net.Listen("tcp4", weightsListenAddr)
	if err != nil {
		return nil, errors.Wrap(err, "agent: weights")
	}
	s := &weightsServer{table: table, listener: listener}
	s.server = &fasthttp.Server{
		Handler:               s.handle,
		Concurrency:           maxWeightsConns,
		GetOnly:               true,
		MaxRequestBodySize:    maxWeightsRequestBytes,
		ReadTimeout:           weightsReadTimeout,
		WriteTimeout:          weightsWriteTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return s, nil
}

// url returns a version's URL prefix, to which a chunk's index is appended.
func (s *weightsServer) url(model string, version int64) string {
	return "http://" + s.listener.Addr().String() + weightsPath + versionName(model, version) + "/"
}

// handle serves a chunk of a version that is complete and matches its digest.
func (s *weightsServer) handle(ctx *fasthttp.RequestCtx) {
	rest, ok := strings.CutPrefix(string(ctx.Path()), weightsPath)
	name, index, found := strings.Cut(rest, "/")
	number, err := strconv.Atoi(index)
	if !ok || !found || err != nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	data, held := s.table.verifiedChunk(name, number)
	if !held {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.Response.SetBodyRaw(data)
}

// ServeWeights serves the weights held in memory to the engine until ctx is
// done. It returns immediately if the agent has a data directory.
func (h *OrderHandler) ServeWeights(ctx context.Context) error {
	if h.table.dir != "" {
		return nil
	}
	server, err := newWeightsServer(h.table)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.weightsServer = server
	h.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		_ = server.server.Shutdown()
		_ = server.listener.Close() // needed if Serve has not started yet
	})
	defer stop()
	err = server.server.Serve(server.listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "agent: weights")
}

// setWeightsSource sets where the engine finds the version and the digest to
// check it with. The URL and the digest are set only if this agent holds a
// complete version: otherwise the engine would fail in the middle of a load.
func (h *OrderHandler) setWeightsSource(o wire.Order, order *engineapi.Order) {
	model := weightsName(o.Model, o.Adapter)
	v, held := h.table.findVerified(model, o.Version)
	if held {
		order.WeightsChunks = v.chunks
		order.WeightsSHA256 = hex.EncodeToString(v.digest)
	}
	if h.table.dir != "" {
		order.WeightsDir = h.table.versionDir(model, o.Version)
		return
	}
	h.mu.Lock()
	server := h.weightsServer
	h.mu.Unlock()
	if held && server != nil {
		order.WeightsURL = server.url(model, o.Version)
	}
}
