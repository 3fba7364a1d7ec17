package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/upstream"
)

// closeTimeout is how long a spec waits until an endpoint notices that its connection is closed.
const closeTimeout = 20 * time.Second

// startEndless starts an endpoint that answers with a beginning and then repeats a text until the
// caller closes the connection. The channel tells how many bytes it sent.
func startEndless(beginning, repeated string) (address string, sent <-chan int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	total := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		n, _ := io.WriteString(conn, beginning)
		chunk := bytes.Repeat([]byte(repeated), max(1, 4096/len(repeated)))
		for {
			k, err := conn.Write(chunk)
			n += k
			if err != nil {
				total <- n
				return
			}
		}
	}()
	return listener.Addr().String(), total
}

var _ = Describe("an answer whose head never ends", func() {
	// socketBytes is more than the kernel buffers for a connection on loopback.
	const socketBytes = 32 << 20

	// Guards against a faulty endpoint that fills the memory of each process which sends it a request.
	DescribeTable("ends the call and its connection after a bounded number of bytes",
		func(beginning, repeated string, want error) {
			address, sent := startEndless(beginning, repeated)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			_, err := upstream.NewPool(nil, nil).Do(ctx, address, &upstream.Call{Method: http.MethodGet, Target: "/", Host: "h"})
			Expect(err).To(HaveOccurred())
			if want != nil {
				Expect(err).To(MatchError(want))
			}
			var send *upstream.SendError
			Expect(err).To(BeAssignableToTypeOf(send))
			var total int
			Eventually(sent).WithTimeout(closeTimeout).Should(Receive(&total))
			Expect(total).To(BeNumerically("<", socketBytes))
		},
		Entry("one line", "", "x", upstream.ErrHeadTooLong),
		Entry("a status line without end", "HTTP/1.1 200 ", "x", upstream.ErrHeadTooLong),
		Entry("one header", "HTTP/1.1 200 OK\r\nX: ", "x", upstream.ErrHeadTooLong),
		Entry("headers", "HTTP/1.1 200 OK\r\n", "X: x\r\n", nil),
		Entry("interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", nil),
		Entry("headers of an interim answer", "HTTP/1.1 103 Early Hints\r\n", "X: x\r\n", nil),
	)

	// Guards against a body that counts against the limit of the head, and against trailers and chunk
	// sizes without end.
	DescribeTable("has a body that is read as far as the caller wants",
		func(beginning, repeated string, complete bool) {
			address, sent := startEndless(beginning, repeated)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			answer, err := upstream.NewPool(nil, nil).Do(ctx, address, &upstream.Call{Method: http.MethodGet, Target: "/", Host: "h"})
			Expect(err).NotTo(HaveOccurred())
			n, err := io.CopyN(io.Discard, answer.Body, 1<<20)
			if complete {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(And(HaveOccurred(), Not(MatchError(io.EOF))))
				Expect(n).To(BeNumerically("<", 1<<20))
			}
			Expect(answer.Body.Close()).To(Succeed())
			Eventually(sent).WithTimeout(closeTimeout).Should(Receive(BeNumerically("<", socketBytes)))
		},
		Entry("without a length", "HTTP/1.1 200 OK\r\n\r\n", "x", true),
		Entry("in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n", true),
		Entry("a chunk size without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", false),
		Entry("a chunk extension without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=", "x", false),
		Entry("trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n", false),
	)
})
