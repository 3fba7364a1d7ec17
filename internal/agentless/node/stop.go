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
	// noticeShare of the time to stop passes while new callers are still served:
	// the balancer looks once a second and takes a process out after two misses.
	noticeShare = 0.4
	// finishShare of it is the latest for answers under way; the rest is for
	// closing what is left.
	finishShare = 0.9
)

// silent returns a logger for the HTTP server, which has nothing to say that
// the request's own log line does not.
func silent() *stdlog.Logger { return stdlog.New(io.Discard, "", 0) }

// stop ends the process's part in the system: no new callers, its jobs and
// duties to others, answers under way to their end.
func (n *Node) stop(s *servers) {
	began := time.Now()
	events.ProcessStopping.Log(n.log, logrus.Fields{"id": n.settings.ID, "limit_ms": n.settings.StopTimeout.Milliseconds()})
	n.stopping.Store(true)
	limit := n.settings.StopTimeout
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(time.Duration(finishShare*float64(limit))))
	defer cancel()
	n.handOn(ctx)
	if s.callers != nil {
		notice := time.Until(began.Add(time.Duration(noticeShare * float64(limit))))
		timer := time.NewTimer(max(0, notice))
		defer timer.Stop()
		<-timer.C
		n.shutdown(ctx, s.callers)
	}
	n.usage.flush(ctx)
	if s.ready != nil {
		_ = s.ready.Close() // the balancer took this process out already
	}
	if err := n.registrar.Deregister(ctx); err != nil {
		events.StoreLost.Log(n.log, logrus.Fields{"error": err.Error(), "while": "ending the registration"})
	}
}

func (n *Node) shutdown(ctx context.Context, server *http.Server) {
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close() // the time is over; what is left cannot be waited for
	}
}

// handOn gives duties and jobs to others.
func (n *Node) handOn(ctx context.Context) {
	if err := n.registrar.Leave(ctx); err != nil {
		events.StoreLost.Log(n.log, logrus.Fields{"error": err.Error(), "while": "leaving"})
	}
	if n.leader != nil {
		if err := n.leader.Release(ctx); err != nil {
			events.StoreLost.Log(n.log, logrus.Fields{"error": err.Error(), "while": "giving up weight orders"})
		}
	}
	if err := n.mover.MoveAll(ctx, n.settings.ID); err != nil {
		events.StoreLost.Log(n.log, logrus.Fields{"error": err.Error(), "while": "handing jobs on"})
	}
}
