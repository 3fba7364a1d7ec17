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

// stoppingContext is a context that ends during a call of its Err method.
type stoppingContext struct {
	context.Context
	done   chan struct{}
	once   sync.Once
	closed chan struct{} // the listener is closed
}

func (s *stoppingContext) Deadline() (time.Time, bool) { return time.Time{}, false }
func (s *stoppingContext) Done() <-chan struct{}       { return s.done }
func (s *stoppingContext) Value(any) any               { return nil }

func (s *stoppingContext) Err() error {
	first := false
	s.once.Do(func() { first = true })
	if !first {
		return context.Canceled
	}
	close(s.done)
	<-s.closed
	return nil
}

// singleConnListener is a listener that accepts a single connection.
type singleConnListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *singleConnListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

var _ = Describe("an entry that stops", func() {
	It("closes a connection that arrives during the stop", func() {
		// If it were served, the other entries would see a stopped entry that still
		// answers on one connection, stays a member and holds its duties forever.
		ours, theirs := net.Pipe()
		listener := &singleConnListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		listener.conns <- ours
		ctx := &stoppingContext{done: make(chan struct{}), closed: listener.closed}
		Expect(peers.New(peers.Options{ID: "e"}).Serve(ctx, listener, nil)).To(Succeed())
		ended := make(chan error, 1)
		go func() {
			_, err := theirs.Read(make([]byte, 1))
			ended <- err
		}()
		Eventually(ended).Should(Receive(HaveOccurred()))
	})
})
