package daemon

import (
	"context"

	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/agent"
)

// runAgent runs the agent of one endpoint. Metrics and probes are served until the
// agent has stopped, so that a graceful stop can be observed.
func (p *process) runAgent(ctx context.Context) error {
	a := agent.New(p.settings, p.log, p.metrics)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	if err := p.serveMetrics(background, &group, a.Ready); err != nil {
		return err
	}
	err := a.Run(ctx)
	stop()
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	return err
}
