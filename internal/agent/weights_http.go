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
	// weightsListen is where an agent without a data folder serves weights: the
	// engine beside it is the only reader, and no other instance reaches it.
	weightsListen = "127.0.0.1:0"
	weightsPath   = "/weights/"

	// One engine reads a version at a time, over a few connections at most. A
	// reader that stalls keeps a chunk in memory until the write times out.
	weightsConns       = 8
	weightsReadLimit   = 5 * time.Second
	weightsWriteLimit  = 30 * time.Second
	weightsRequestSize = 1 << 10
)

// weightsServer gives the engine the chunks that its agent holds in memory.
type weightsServer struct {
	table    *chunkTable
	listener net.Listener
	server   *fasthttp.Server
}

func newWeightsServer(table *chunkTable) (*weightsServer, error) {
	listener, err := net.Listen("tcp4", weightsListen)
	if err != nil {
		return nil, errors.Wrap(err, "agent: weights")
	}
	s := &weightsServer{table: table, listener: listener}
	s.server = &fasthttp.Server{
		Handler:               s.handle,
		Concurrency:           weightsConns,
		GetOnly:               true,
		MaxRequestBodySize:    weightsRequestSize,
		ReadTimeout:           weightsReadLimit,
		WriteTimeout:          weightsWriteLimit,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return s, nil
}

// url is the address before a chunk's index.
func (s *weightsServer) url(model string, version int64) string {
	return "http://" + s.listener.Addr().String() + weightsPath + versionName(model, version) + "/"
}

// handle answers with a chunk of a version that is whole and matches its digest.
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

// ServeWeights gives the engine the weights held in memory until ctx ends. An
// agent with a data folder has nothing to serve.
func (s *OrderHandler) ServeWeights(ctx context.Context) error {
	if s.table.dir != "" {
		return nil
	}
	server, err := newWeightsServer(s.table)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.weights = server
	s.mu.Unlock()
	stop := context.AfterFunc(ctx, func() {
		_ = server.server.Shutdown()
		_ = server.listener.Close() // also if Serve has not begun
	})
	defer stop()
	err = server.server.Serve(server.listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "agent: weights")
}

// sourceOf tells the engine where the version lies and how to check it. Neither
// is told of a version that this agent does not hold whole: the engine would
// fail in the middle of a load.
func (s *OrderHandler) sourceOf(o wire.Order, order *engineapi.Order) {
	model := weightsName(o.Model, o.Adapter)
	v, held := s.table.whole(model, o.Version)
	if held {
		order.WeightsChunks = v.chunks
		order.WeightsSHA256 = hex.EncodeToString(v.digest)
	}
	if s.table.dir != "" {
		order.WeightsDir = s.table.folder(model, o.Version)
		return
	}
	s.mu.Lock()
	server := s.weights
	s.mu.Unlock()
	if held && server != nil {
		order.WeightsURL = server.url(model, o.Version)
	}
}
