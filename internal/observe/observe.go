// Package observe serves a process's metrics, health and readiness over HTTP.
package observe

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/intake"
)

const (
	// stopTimeout limits how long a stop waits for requests in flight.
	stopTimeout = 2 * time.Second
	// readTimeout limits how long a request may take to arrive.
	readTimeout = 10 * time.Second
	// maxRequestBytes limits the body of a request, which is not used.
	maxRequestBytes = 4 << 10
)

// Server serves /metrics (JSON), /metrics.txt (one value per line), /healthz, /readyz and, if
// Load is set, /load.json.
type Server struct {
	Registry metrics.Registry
	Ready    func() bool
	Load     func() any // returns the report of the process's load, encoded as JSON; may be nil
	Log      *logrus.Logger
}

// Serve serves requests from the listener until ctx ends.
func (s Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &fasthttp.Server{
		Handler: s.handle, Name: "siskinloom", CloseOnShutdown: true, ConnState: intake.FastConnState,
		GetOnly: true, MaxRequestBodySize: maxRequestBytes, ReadTimeout: readTimeout,
	}
	bounded := intake.NewInternal(s.Log, metrics.NewRegistry()).Listen(listener)
	var group errgroup.Group
	group.Go(func() error { return server.Serve(bounded) })
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := server.ShutdownWithContext(stopCtx); err != nil {
		return errors.Wrap(err, "observe")
	}
	return group.Wait()
}

func (s Server) handle(ctx *fasthttp.RequestCtx) {
	if !intake.ConnOf(ctx.Conn()).HeadArrived(false) {
		ctx.SetConnectionClose()
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	switch string(ctx.Path()) {
	case "/metrics":
		ctx.SetContentType("application/json")
		metrics.WriteJSONOnce(s.Registry, ctx)
	case "/metrics.txt":
		ctx.SetContentType("text/plain; charset=utf-8")
		writeText(ctx, s.Registry)
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		s.serveReady(ctx)
	case "/load.json":
		s.serveLoad(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s Server) serveReady(ctx *fasthttp.RequestCtx) {
	if s.Ready() {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready\n")
}

func (s Server) serveLoad(ctx *fasthttp.RequestCtx) {
	if s.Load == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	body, err := json.Marshal(s.Load())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
