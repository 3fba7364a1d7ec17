// Package netdial opens TCP connections that detect when the peer has gone silent.
package netdial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// A connection may go silent forever while new ones work, because a device
	// between the two ends lost its state. Keep-alive probes detect this on an idle
	// connection after probeIdle + probes*probeInterval, userTimeout on a connection
	// with unacknowledged bytes. The kernel counts probe times in whole seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	userTimeout   = 2500 * time.Millisecond
	// defaultProbes is the number of probes on connections that carry requests: a
	// single lost packet must not interrupt a run.
	defaultProbes = 2
	// longPollProbes is the number of probes on connections that wait for updates. A
	// dead connection is detected after two seconds, so that updates are at most
	// three seconds late. Closing a connection after a single lost probe costs only a
	// new connection.
	longPollProbes = 1

	// callerBufferBytes is the receive buffer of a caller's connection. Bytes that arrive faster than
	// they are read, or after a request was refused, lie in it and count as memory of the process.
	callerBufferBytes = 32 << 10
)

// Dialer returns a dialer whose attempts fail after timeout.
func Dialer(timeout time.Duration) *net.Dialer { return dialer(timeout, defaultProbes) }

// LongPollDialer returns a dialer for connections that wait for updates. They are
// detected as dead earlier than those of Dialer.
func LongPollDialer(timeout time.Duration) *net.Dialer { return dialer(timeout, longPollProbes) }

func dialer(timeout time.Duration, probes int) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive(probes), Control: setUserTimeout}
}

// ListenConfig returns the options for listeners and the connections they accept.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: keepAlive(defaultProbes), Control: setUserTimeout}
}

// ListenCallers listens at an address for callers, whose connections get a bounded receive buffer.
func ListenCallers(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setReceiveBuffer}
	return config.Listen(context.Background(), "tcp", address)
}

// Dial opens a connection of the inner protocol (package wire).
func Dial(ctx context.Context, address string) (net.Conn, error) {
	const timeout = time.Second // a peer within the region answers in milliseconds
	return Dialer(timeout).DialContext(ctx, "tcp", address)
}

func keepAlive(probes int) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probes}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setOption(raw, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
}

func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return setOption(raw, unix.SOL_SOCKET, unix.SO_RCVBUF, callerBufferBytes)
}

func setOption(raw syscall.RawConn, level, option, value int) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), level, option, value) })
	if err != nil {
		return err
	}
	return failed
}

// IsReusable reports whether an idle connection is still open and no bytes have
// arrived on it. A connection that was closed between two requests, or that has
// received bytes that belong to no request, cannot be reused: a request written to
// a closed connection would fail without telling whether it ran. IsReusable clears
// the read deadline, because the check itself fails after an expired one.
func IsReusable(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil || conn.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
