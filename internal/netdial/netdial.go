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
	// way. The kernel counts probes in whole seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	userTimeout   = 2500 * time.Millisecond
	// patientProbes are for connections with work on them: one lost packet must
	// not end a run.
	patientProbes = 2
	// quickProbes are for connections on which news are awaited: it is found dead
	// after two seconds, so that news are at most three late. Ending one for a
	// single lost probe costs no more than a new connection.
	quickProbes = 1
)

// Dialer returns a dialer that gives up after limit.
func Dialer(limit time.Duration) *net.Dialer { return dialer(limit, patientProbes) }

// LongPollDialer returns a dialer for connections on which news are awaited.
func LongPollDialer(limit time.Duration) *net.Dialer { return dialer(limit, quickProbes) }

func dialer(limit time.Duration, probes int) *net.Dialer {
	return &net.Dialer{Timeout: limit, KeepAliveConfig: keepAlive(probes), Control: setUserTimeout}
}

// ListenConfig returns the options for accepted connections.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: keepAlive(patientProbes), Control: setUserTimeout}
}

// Dial opens a connection of the inner protocol.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	const limit = time.Second // a peer within the region answers in milliseconds
	return Dialer(limit).DialContext(ctx, "tcp", address)
}

func keepAlive(probes int) net.KeepAliveConfig {
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

// IsReusable tells whether a kept connection is still open and nothing has arrived on
// it. Between two requests an end, or bytes that belong to no request, rule it
// out; a request that was written to a closed one would end without a word
// whether it ran. The read deadline is cleared, as the look itself would fail
// past one.
func IsReusable(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil || conn.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
