package standin

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/api/platformpb"
)

// StartControl serves the switches of the platform's faults over HTTP at address,
// for use by other processes, and returns the bound address. It serves
// POST /outage?on=1, /lose?n=1, /slow?ms=5, /instances (JSON list) and GET /stats.
func (p *Platform) StartControl(address string) (string, error) {
	l, err := listen(address)
	if err != nil {
		return "", err
	}
	server := &fasthttp.Server{Handler: p.handleControl}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (p *Platform) handleControl(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	switch string(ctx.Path()) {
	case "/outage":
		p.SetDown(args.GetBool("on"))
	case "/lose":
		p.LoseAnswers(args.GetUintOrZero("n"))
	case "/slow":
		p.SetCallDelay(time.Duration(args.GetUintOrZero("ms")) * time.Millisecond)
	case "/instances":
		p.handleInstances(ctx)
	case PathStats:
		reply(ctx, fasthttp.StatusOK, p.Calls())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *Platform) handleInstances(ctx *fasthttp.RequestCtx) {
	var all []*platformpb.Instance
	if err := json.Unmarshal(ctx.PostBody(), &all); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.SetInstances(all)
}
