package agent

import (
	"context"
	"io"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/rpcpool"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	methodExport = wire.AgentService + ".Export"
	// cachePieceBytes is how much of a KV cache one message carries. Exports
	// hold at most maxExports times this much memory of an agent.
	cachePieceBytes = 4 << 20
	maxExports      = 4
	// exportIdleTimeout ends an export if its next piece is not requested in
	// time.
	exportIdleTimeout = 5 * time.Second
)

var (
	errNoExport   = errors.New("agent: the engine gave no KV cache")
	errNoImport   = errors.New("agent: the engine took no KV cache")
	errPieceOrder = errors.New("agent: piece of a KV cache out of order")
)

// cacheTransfers transfers KV caches of running streams between engines piece
// by piece, so that no agent holds a complete one. It is safe for concurrent
// use.
type cacheTransfers struct {
	endpoint *endpointClient
	peers    *rpcpool.Pool

	mu      sync.Mutex
	exports map[string]*export
}

// export is a KV cache that is being read from the engine.
type export struct {
	mu        sync.Mutex
	resp      *fasthttp.Response
	version   int64
	nextPiece int
	idleTimer *time.Timer
	closed    bool
}

func newCacheTransfers(e *endpointClient, dial rpcpool.DialFunc) *cacheTransfers {
	return &cacheTransfers{endpoint: e, peers: rpcpool.New(dial), exports: map[string]*export{}}
}

// Export returns the next piece of a stream's KV cache to another agent.
func (s *rpcServer) Export(req wire.ExportRequest, reply *wire.ExportReply) error {
	*reply = s.a.cacheTransfers.piece(req)
	return nil
}

// Import fetches a KV cache from another agent and passes it to this agent's
// engine.
func (s *rpcServer) Import(req wire.ImportRequest, reply *wire.ImportReply) error {
	a := s.a
	if a.isLeaving() || a.down.Load() {
		reply.Detail = string(wire.ReasonNotReady)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), req.Remaining)
	defer cancel()
	version, bytes, err := a.cacheTransfers.fetch(ctx, req)
	if err != nil {
		events.CacheNotImported.Log(a.log, logrus.Fields{"request": req.Request, "source": req.Source, "error": err.Error()})
		reply.Detail = err.Error()
		return nil
	}
	*reply = wire.ImportReply{Imported: true, Version: version, Bytes: bytes}
	return nil
}

// piece returns the requested piece. Any failure ends the export.
func (c *cacheTransfers) piece(req wire.ExportRequest) wire.ExportReply {
	e, err := c.findOrStart(req)
	if err != nil {
		return wire.ExportReply{}
	}
	data, last, err := e.read(req.Piece)
	if err != nil || last {
		c.endExport(req.Cache)
	}
	if err != nil {
		return wire.ExportReply{}
	}
	return wire.ExportReply{Found: true, Version: e.version, Last: last, Data: data}
}

// findOrStart returns a running export. A request for the first piece starts
// one.
func (c *cacheTransfers) findOrStart(req wire.ExportRequest) (*export, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.exports[req.Cache]; e != nil {
		return e, nil
	}
	if req.Piece != 0 || len(c.exports) >= maxExports {
		return nil, errNoExport
	}
	e := &export{resp: fasthttp.AcquireResponse()}
	e.mu.Lock() // held until the engine has answered; other pieces wait
	c.exports[req.Cache] = e
	e.idleTimer = time.AfterFunc(exportIdleTimeout, func() { c.endExport(req.Cache) })
	go func() {
		defer e.mu.Unlock()
		if err := c.endpoint.export(req.Request, e); err != nil {
			e.closed = true
		}
	}()
	return e, nil
}

// endExport closes an export and removes it.
func (c *cacheTransfers) endExport(cache string) {
	c.mu.Lock()
	e := c.exports[cache]
	delete(c.exports, cache)
	c.mu.Unlock()
	if e != nil {
		e.close()
	}
}

func (e *export) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idleTimer.Stop()
	if e.resp == nil {
		return
	}
	// Otherwise CloseBodyStream would read a broken or unread body to its end.
	e.resp.SetConnectionClose()
	_ = e.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(e.resp)
	e.resp = nil
	e.closed = true
}

// read returns the given piece, which must be the next one.
func (e *export) read(piece int) (data []byte, last bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, false, errNoExport
	}
	if piece != e.nextPiece {
		return nil, false, errPieceOrder
	}
	e.nextPiece++
	e.idleTimer.Reset(exportIdleTimeout)
	return readPiece(e.resp.BodyStream())
}

// readPiece reads up to cachePieceBytes; last is true at the proper end of the
// body. It doesn't use io.ReadFull, which returns the same error for a proper
// end and for a body that broke off: the truncated cache of an engine that died
// would pass for a complete one.
func readPiece(body io.Reader) (data []byte, last bool, err error) {
	data = make([]byte, cachePieceBytes)
	for n := 0; n < len(data); {
		read, err := body.Read(data[n:])
		n += read
		if err == io.EOF {
			return data[:n], true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return data, false, nil
}

// fetch requests the pieces from the other agent and streams them to the
// engine. It returns the weight version and the size of the cache.
func (c *cacheTransfers) fetch(ctx context.Context, req wire.ImportRequest) (version, bytes int64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	out, in := io.Pipe()
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		var failed error
		version, bytes, failed = c.copyPieces(ctx, req, in)
		_ = in.CloseWithError(failed) // nil ends the body properly
	}()
	deadline, _ := ctx.Deadline()
	err = c.endpoint.importCache(req.Cache, out, deadline)
	cancel()
	_ = out.CloseWithError(errNoImport)
	<-copied
	return version, bytes, err
}

// copyPieces requests all pieces of a cache in order and writes them to the
// writer.
func (c *cacheTransfers) copyPieces(ctx context.Context, req wire.ImportRequest, to io.Writer) (version, bytes int64, err error) {
	for piece := 0; ; piece++ {
		var reply wire.ExportReply
		request := wire.ExportRequest{Cache: req.Cache, Request: req.Request, Piece: piece}
		if err := c.peers.Call(ctx, req.Source, methodExport, request, &reply); err != nil {
			return version, bytes, err
		}
		if !reply.Found {
			return version, bytes, errNoExport
		}
		version = reply.Version
		bytes += int64(len(reply.Data))
		if _, err := to.Write(reply.Data); err != nil {
			return version, bytes, err
		}
		if reply.Last {
			return version, bytes, nil
		}
	}
}

// export requests the KV cache of a running request from the engine. The body
// is then read piece by piece.
func (e *endpointClient) export(request string, into *export) error {
	httpReq := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpReq)
	httpReq.SetRequestURI("http://" + e.addr + engineapi.PathExport + "?request_id=" + url.QueryEscape(request))
	if err := e.streams.Do(httpReq, into.resp); err != nil {
		return err
	}
	if into.resp.StatusCode() != fasthttp.StatusOK || into.resp.BodyStream() == nil {
		return errNoExport
	}
	version, err := strconv.ParseInt(string(into.resp.Header.Peek(engineapi.HeaderVersion)), 10, 64)
	into.version = version
	return errors.Wrap(err, "agent: version of a KV cache")
}

// importCache sends a KV cache to the engine. The engine rejects a body that
// breaks off, as the chunked encoding then has no end.
func (e *endpointClient) importCache(cache string, body io.Reader, deadline time.Time) error {
	httpReq := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpReq)
	httpResp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(httpResp)
	httpReq.SetRequestURI("http://" + e.addr + engineapi.PathImport + "?cache_id=" + url.QueryEscape(cache))
	httpReq.Header.SetMethod(fasthttp.MethodPost)
	httpReq.SetBodyStream(body, -1)
	if err := e.unary.DoDeadline(httpReq, httpResp, deadline); err != nil {
		return err
	}
	if httpResp.StatusCode() != fasthttp.StatusNoContent {
		return errors.Wrapf(errNoImport, "status %d", httpResp.StatusCode())
	}
	return nil
}
