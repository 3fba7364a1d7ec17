// Package netdial opens TCP connections that notice a peer which went silent.
package netdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// A connection may go silent for good while new ones work, because something
	// between the ends lost track of it. Keep-alive probes find an idle one dead
	// after probeIdle + probes*probeInterval, and userTimeout one with bytes under
	// way; both together stay under the 3 s after which clients of a recovered
	// network expect service again.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probes        = 3
	userTimeout   = 2500 * time.Millisecond
)

// Dialer returns a dialer that gives up after limit.
func Dialer(limit time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: limit, KeepAliveConfig: keepAlive(), Control: setUserTimeout}
}

// ListenConfig returns the options for accepted connections.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
}

// Dial opens a connection of the inner protocol.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	const limit = time.Second // a peer within the region answers in milliseconds
	return Dialer(limit).DialContext(ctx, "tcp", address)
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probes}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
