package agent

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a pooled connection", func() {
	// A request had a deadline, which the client left on the connection, and
	// was answered. The next request comes after that deadline. If the
	// connection were considered closed then, each connection would serve only
	// one request.
	It("is considered open after the deadline of the previous request", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		dialled, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer dialled.Close()
		server, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer server.Close()

		conn := newStaleCheckConn(dialled)
		_, err = server.Write([]byte("a"))
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(-time.Second))).To(Succeed())
		_, err = conn.Write([]byte("b"))
		Expect(err).NotTo(HaveOccurred())
	})
})
