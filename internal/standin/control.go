package standin

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/api/platformpb"
)

// StartControl serves the platform's switches over HTTP on its own address, for use
// from another process, and returns the address bound:
// POST /outage?on=1, /lose?n=1, /slow?ms=5, /instances (JSON list); GET /stats.
func (p *Platform) StartControl(address string) (string, error) {
	l, err := listen(address)
	if err != nil {
		return "", err
	}
	server := &fasthttp.Server{Handler: p.control}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (p *Platform) control(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	switch string(ctx.Path()) {
	case "/outage":
		p.SetDown(args.GetBool("on"))
	case "/lose":
		p.LoseAnswers(args.GetUintOrZero("n"))
	case "/slow":
		p.SetCallDelay(time.Duration(args.GetUintOrZero("ms")) * time.Millisecond)
	case "/instances":
		p.controlInstances(ctx)
	case PathStats:
		reply(ctx, fasthttp.StatusOK, p.Calls())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *Platform) controlInstances(ctx *fasthttp.RequestCtx) {
	var all []*platformpb.Instance
	if err := json.Unmarshal(ctx.PostBody(), &all); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.SetInstances(all)
}
