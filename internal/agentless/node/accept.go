package node

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
)

const (
	// minAcceptDelay and maxAcceptDelay bound the delay before another connection is accepted
	// after a failure; it doubles with each failure in a row.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// serveCalls serves calls between processes until ctx ends. A connection that can't be accepted,
// for example without a free file descriptor, says nothing about the next one: the process goes
// on with its other work and tries again.
func serveCalls(ctx context.Context, server *rpc.Server, listener net.Listener, log *logrus.Logger) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	delay := time.Duration(0)
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "node: inner address")
		case err != nil:
			delay = min(max(2*delay, minAcceptDelay), maxAcceptDelay)
			events.AcceptFailed.Log(log, logrus.Fields{"error": err.Error(), "retry_ms": delay.Milliseconds()})
			pause(ctx, delay)
		default:
			delay = 0
			go server.ServeConn(conn)
		}
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
