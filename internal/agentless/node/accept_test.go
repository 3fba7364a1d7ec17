package node

import (
	"context"
	"net"
	"net/rpc"
	"sync/atomic"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/sirupsen/logrus"
)

// exhaustedListener fails to accept some connections, as a process without free file descriptors.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int64 // left
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

type echo struct{}

// Same is a call between processes.
func (echo) Same(n int, reply *int) error {
	*reply = n
	return nil
}

var _ = Describe("a process that can't accept a connection", func() {
	// Guards against a process that ends, with its jobs and its callers' requests, because it was out
	// of file descriptors for a moment.
	It("goes on, and serves calls as soon as it can", func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener := &exhaustedListener{Listener: inner}
		listener.failures.Store(5)
		output := gbytes.NewBuffer()
		log := logrus.New()
		log.SetOutput(output)
		server := rpc.NewServer()
		Expect(server.RegisterName("Echo", echo{})).To(Succeed())
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- serveCalls(ctx, server, listener, log) }()
		client, err := rpc.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		var reply int
		Expect(client.Call("Echo.Same", 7, &reply)).To(Succeed())
		Expect(reply).To(Equal(7))
		Expect(client.Close()).To(Succeed())
		Expect(output).To(gbytes.Say("event=1010"))
		stop()
		Eventually(ended).Should(Receive(BeNil()))
	})
})
