package peers_test

import (
	"context"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/peers"
)

// stopping is a context that ends while the entry looks whether it has.
type stopping struct {
	context.Context
	done   chan struct{}
	once   sync.Once
	closed chan struct{} // the listener is closed
}

func (s *stopping) Deadline() (time.Time, bool) { return time.Time{}, false }
func (s *stopping) Done() <-chan struct{}       { return s.done }
func (s *stopping) Value(any) any               { return nil }

func (s *stopping) Err() error {
	first := false
	s.once.Do(func() { first = true })
	if !first {
		return context.Canceled
	}
	close(s.done)
	<-s.closed
	return nil
}

// one is a listener with a single connection.
type one struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *one) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *one) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *one) Addr() net.Addr { return &net.TCPAddr{} }

var _ = Describe("an entry that stops", func() {
	It("closes a connection that comes in the moment of its stop", func() {
		// What the others see: the entry was stopped and still answers on one
		// connection, so it stays a member and holds its duties for good.
		ours, theirs := net.Pipe()
		listener := &one{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		listener.conns <- ours
		ctx := &stopping{done: make(chan struct{}), closed: listener.closed}
		Expect(peers.New(peers.Options{ID: "e"}).Serve(ctx, listener, nil)).To(Succeed())
		ended := make(chan error, 1)
		go func() {
			_, err := theirs.Read(make([]byte, 1))
			ended <- err
		}()
		Eventually(ended).Should(Receive(HaveOccurred()))
	})
})
