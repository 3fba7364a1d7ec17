package node

import (
	"context"
	"io"
	stdlog "log"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
)

const (
	// balancerNoticeShare is the share of the stop timeout during which new callers are still
	// served: the balancer probes once a second and removes a process after two failures.
	balancerNoticeShare = 0.4
	// maxBalancerNotice bounds that time. The balancer has removed the process by then; a long
	// stream that begins later could not end before the process does.
	maxBalancerNotice = 2900 * time.Millisecond
	// drainShare is the share of the stop timeout after which requests in flight are
	// aborted; the remaining time is for closing.
	drainShare = 0.9
)

// discardLogger returns a logger for the HTTP server, whose messages add nothing to the log
// lines of the requests.
func discardLogger() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// stop shuts the process down: it hands over jobs and duties, serves new callers until the
// balancer has removed this process, completes requests in flight and deletes the registration.
func (n *Node) stop(s *servers) {
	start := time.Now()
	events.ProcessStopping.Log(n.log, logrus.Fields{"id": n.settings.ID, "limit_ms": n.settings.StopTimeout.Milliseconds()})
	n.stopping.Store(true)
	limit := n.settings.StopTimeout
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(time.Duration(drainShare*float64(limit))))
	defer cancel()
	n.handOver(ctx)
	if s.callers != nil {
		timer := time.NewTimer(max(0, time.Until(start.Add(noticePeriod(limit)))))
		defer timer.Stop()
		<-timer.C
		if end, limited := ctx.Deadline(); limited {
			n.gate.Leave(end)
		}
		n.shutdown(ctx, s.callers)
	}
	n.usage.flush(ctx)
	if s.ready != nil {
		_ = s.ready.Close() // the balancer has removed this process already
	}
	if err := n.registrar.Deregister(ctx); err != nil {
		events.StoreLost.Log(n.log, logrus.Fields{"error": err.Error(), "while": "ending the registration"})
	}
}

// noticePeriod returns for how long a process that stops within limit still serves new callers.
func noticePeriod(limit time.Duration) time.Duration {
	return min(time.Duration(balancerNoticeShare*float64(limit)), maxBalancerNotice)
}

// shutdown completes the requests in flight of a server until ctx ends, then closes it.
func (n *Node) shutdown(ctx context.Context, server *http.Server) {
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close() // the deadline passed with requests still in flight
	}
}

// handOver hands the process's duties and jobs over to others.
func (n *Node) handOver(ctx context.Context) {
	if err := n.registrar.Leave(ctx); err != nil {
		events.StoreLost.Log(n.log, logrus.Fields{"error": err.Error(), "while": "leaving"})
	}
	if n.leader != nil {
		if err := n.leader.Release(ctx); err != nil {
			events.StoreLost.Log(n.log, logrus.Fields{"error": err.Error(), "while": "releasing the duty of weight orders"})
		}
	}
	if err := n.mover.MoveAll(ctx, n.settings.ID); err != nil {
		events.StoreLost.Log(n.log, logrus.Fields{"error": err.Error(), "while": "handing over jobs"})
	}
}
