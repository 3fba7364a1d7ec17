package rpcpool_test

import (
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/rpcpool"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rpcpool")
}

// Held is a net/rpc service whose method Wait blocks until the test releases it.
type Held struct{ release chan struct{} }

// Wait returns once release is closed.
func (h *Held) Wait(struct{}, *struct{}) error {
	<-h.release
	return nil
}

// Now returns immediately.
func (h *Held) Now(struct{}, *struct{}) error { return nil }

var _ = Describe("a connection shared by several calls", func() {
	var pool *rpcpool.Pool
	var address string
	var held *Held
	var dials atomic.Int64

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		address = listener.Addr().String()
		held = &Held{release: make(chan struct{})}
		server := rpc.NewServer()
		Expect(server.RegisterName("Held", held)).To(Succeed())
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go server.ServeConn(conn)
			}
		}()
		dials.Store(0)
		pool = rpcpool.New(func(ctx context.Context, to string) (net.Conn, error) {
			dials.Add(1)
			return new(net.Dialer).DialContext(ctx, "tcp", to)
		})
		DeferCleanup(pool.Close)
		Expect(pool.Call(context.Background(), address, "Held.Now", struct{}{}, &struct{}{})).To(Succeed())
	})

	// start starts a call of Wait and returns a channel for its error.
	start := func(ctx context.Context) chan error {
		ended := make(chan error, 1)
		go func() { ended <- pool.Call(ctx, address, "Held.Wait", struct{}{}, &struct{}{}) }()
		return ended
	}

	It("stays open when one of the callers cancels", func() {
		// A process reads results from a job's owner for several callers, and one of them
		// disconnects. If the connection to the owner were closed, the reads of all other
		// callers and the process's watches would be interrupted.
		stays := start(context.Background())
		ctx, leave := context.WithCancel(context.Background())
		leaves := start(ctx)
		leave()
		Eventually(leaves).Should(Receive(MatchError(context.Canceled)))
		close(held.release)
		Eventually(stays).Should(Receive(BeNil()))
		Expect(dials.Load()).To(BeEquivalentTo(1))
	})

	It("is closed when a call times out", func() {
		// A connection has gone silent forever. When one call times out on it, the
		// other calls must not keep waiting.
		stays := start(context.Background())
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		Eventually(start(ctx)).Should(Receive(MatchError(context.DeadlineExceeded)))
		Eventually(stays).Should(Receive(HaveOccurred()))
		Expect(pool.Call(context.Background(), address, "Held.Now", struct{}{}, &struct{}{})).To(Succeed())
		Expect(dials.Load()).To(BeEquivalentTo(2))
		close(held.release)
	})
})
