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

// Held answers calls when it is told to.
type Held struct{ answer chan struct{} }

// Wait answers when it may.
func (h *Held) Wait(struct{}, *struct{}) error {
	<-h.answer
	return nil
}

// Now answers at once.
func (h *Held) Now(struct{}, *struct{}) error { return nil }

var _ = Describe("calls on one connection", func() {
	var pool *rpcpool.Pool
	var address string
	var held *Held
	var dials atomic.Int64

	BeforeEach(func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		address = listener.Addr().String()
		held = &Held{answer: make(chan struct{})}
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

	// start makes a call that waits, and returns how it ends.
	start := func(ctx context.Context) chan error {
		ended := make(chan error, 1)
		go func() { ended <- pool.Call(ctx, address, "Held.Wait", struct{}{}, &struct{}{}) }()
		return ended
	}

	It("goes on when another call's caller leaves", func() {
		// What callers see: a process reads results for one that leaves. Its connection
		// to the owner was closed for that, and the reads of all others and the news
		// that it waited for broke off.
		stays := start(context.Background())
		ctx, leave := context.WithCancel(context.Background())
		leaves := start(ctx)
		leave()
		Eventually(leaves).Should(Receive(MatchError(context.Canceled)))
		close(held.answer)
		Eventually(stays).Should(Receive(BeNil()))
		Expect(dials.Load()).To(BeEquivalentTo(1))
	})

	It("is given up when an answer stays out", func() {
		// What happens: a connection is silent for good. The call that finds out must
		// not leave the others waiting on it.
		stays := start(context.Background())
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		Eventually(start(ctx)).Should(Receive(MatchError(context.DeadlineExceeded)))
		Eventually(stays).Should(Receive(HaveOccurred()))
		Expect(pool.Call(context.Background(), address, "Held.Now", struct{}{}, &struct{}{})).To(Succeed())
		Expect(dials.Load()).To(BeEquivalentTo(2))
		close(held.answer)
	})
})
