package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/upstream"
	"siskinloom.example/siskinloom/internal/payload"
)

// scriptedEndpoint answers each request of a connection with the next raw answer, and closes
// the connection after the last one.
type scriptedEndpoint struct {
	listener net.Listener
	accepted atomic.Int64
	requests chan *http.Request
	bodies   chan string
}

func startEndpoint(answers ...string) *scriptedEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &scriptedEndpoint{listener: listener, requests: make(chan *http.Request, 16), bodies: make(chan string, 16)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go s.serveConn(conn, answers)
		}
	}()
	DeferCleanup(func() { _ = listener.Close() })
	return s
}

func (s *scriptedEndpoint) serveConn(conn net.Conn, answers []string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for _, answer := range answers {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.requests <- r
		s.bodies <- string(body)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

func (s *scriptedEndpoint) address() string { return s.listener.Addr().String() }

const ok = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"

func call() *upstream.Call {
	return &upstream.Call{Method: "POST", Target: "/p?q=1", Host: "h.example", Header: http.Header{"X-A": {"b"}}, Body: payload.Of([]byte("body"))}
}

func read(p *upstream.Pool, address string, c *upstream.Call) (string, error) {
	answer, err := p.Do(context.Background(), address, c)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

func sent(err error) bool {
	var send *upstream.SendError
	ExpectWithOffset(1, errors.As(err, &send)).To(BeTrue(), "%v", err)
	return send.Sent
}

var _ = Describe("a pool of connections", func() {
	It("sends the request unchanged and keeps the connection", func() {
		s := startEndpoint(ok, ok)
		p := upstream.NewPool(nil, nil)
		for range 2 {
			Expect(read(p, s.address(), call())).To(Equal("ok"))
			r := <-s.requests
			Expect(r.Method + " " + r.RequestURI + " " + r.Host + " " + r.Header.Get("X-A")).To(Equal("POST /p?q=1 h.example b"))
			Expect(<-s.bodies).To(Equal("body"))
		}
		Expect(s.accepted.Load()).To(Equal(int64(1)))
	})

	It("opens a new connection when the endpoint has closed the idle one, and retries nothing", func() {
		// The endpoint closes idle connections. If a request were written to a closed one,
		// it would be unknown whether it ran.
		s := startEndpoint(ok)
		p := upstream.NewPool(nil, nil)
		Expect(read(p, s.address(), call())).To(Equal("ok"))
		Eventually(func() error { _, err := read(p, s.address(), call()); return err }).Should(Succeed())
		Expect(s.accepted.Load()).To(BeNumerically(">=", 2))
	})

	It("does not reuse a connection with bytes after the answer", func() {
		// A faulty engine sends a second answer that belongs to no request. The next call on
		// that connection must not receive it.
		s := startEndpoint(ok+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", ok)
		p := upstream.NewPool(nil, nil)
		Expect(read(p, s.address(), call())).To(Equal("ok"))
		Expect(read(p, s.address(), call())).To(Equal("ok"))
		Expect(s.accepted.Load()).To(Equal(int64(2)))
	})

	It("skips a late answer to another request", func() {
		s := startEndpoint("HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nwrong" + ok)
		c := call()
		c.Matches = func(h http.Header) bool { return h.Get("X-Id") == "1" }
		Expect(read(upstream.NewPool(nil, nil), s.address(), c)).To(Equal("ok"))
	})

	It("fails if it receives only answers to other requests", func() {
		s := startEndpoint(strings.Repeat("HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 0\r\n\r\n", 5))
		c := call()
		c.Matches = func(h http.Header) bool { return h.Get("X-Id") == "1" }
		_, err := read(upstream.NewPool(nil, nil), s.address(), c)
		Expect(sent(err)).To(BeTrue())
	})

	DescribeTable("returns an error for an incomplete answer",
		func(answer string) {
			s := startEndpoint(answer)
			_, err := read(upstream.NewPool(nil, nil), s.address(), call())
			Expect(err).To(HaveOccurred())
		},
		Entry("no answer", ""),
		Entry("not HTTP", "garbage\r\n\r\n"),
		Entry("cut header", "HTTP/1.1 200 OK\r\nContent-Le"),
		Entry("cut body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
		Entry("cut chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"),
	)

	It("treats the end of the connection as the end of a body without length", func() {
		s := startEndpoint("HTTP/1.1 200 OK\r\n\r\nall of it")
		Expect(read(upstream.NewPool(nil, nil), s.address(), call())).To(Equal("all of it"))
	})

	It("reports that nothing was sent when no connection can be opened", func() {
		s := startEndpoint()
		Expect(s.listener.Close()).To(Succeed())
		_, err := read(upstream.NewPool(nil, nil), s.address(), call())
		Expect(sent(err)).To(BeFalse())
	})

	It("rejects a target that would smuggle in a second request", func() {
		c := call()
		c.Target = "/p HTTP/1.1\r\nHost: x\r\n\r\nGET /q"
		_, err := read(upstream.NewPool(nil, nil), "127.0.0.1:1", c)
		Expect(sent(err)).To(BeFalse())
	})

	// Guards against bytes on a connection that the endpoint reads as another request than was
	// meant, whatever checked the call before.
	DescribeTable("opens no connection for a call that is no single request",
		func(change func(c *upstream.Call)) {
			c := call()
			change(c)
			dials := 0
			_, err := read(upstream.NewPool(func() { dials++ }, nil), "127.0.0.1:1", c)
			Expect(err).To(MatchError(upstream.ErrMalformed))
			Expect(sent(err)).To(BeFalse())
			Expect(dials).To(BeZero())
		},
		Entry("empty method", func(c *upstream.Call) { c.Method = "" }),
		Entry("method with a space", func(c *upstream.Call) { c.Method = "GET /q" }),
		Entry("tunnel", func(c *upstream.Call) { c.Method = http.MethodConnect }),
		Entry("empty target", func(c *upstream.Call) { c.Target = "" }),
		Entry("target with a space", func(c *upstream.Call) { c.Target = "/p q" }),
		Entry("target with a line feed", func(c *upstream.Call) { c.Target = "/p\nX: y" }),
		Entry("target with a tabulator", func(c *upstream.Call) { c.Target = "/p\tHTTP/1.1" }),
		Entry("target with a zero byte", func(c *upstream.Call) { c.Target = "/p\x00" }),
		Entry("empty host", func(c *upstream.Call) { c.Host = "" }),
		Entry("host with a line break", func(c *upstream.Call) { c.Host = "h\r\nX: y" }),
		Entry("host with a zero byte", func(c *upstream.Call) { c.Host = "h\x00" }),
		Entry("second length", func(c *upstream.Call) { c.Header = http.Header{"Content-Length": {"4"}} }),
		Entry("second host in lower case", func(c *upstream.Call) { c.Header = http.Header{"host": {"x"}} }),
		Entry("transfer coding", func(c *upstream.Call) { c.Header = http.Header{"Transfer-Encoding": {"chunked"}} }),
		Entry("header name with a space", func(c *upstream.Call) { c.Header = http.Header{"Transfer-Encoding ": {"chunked"}} }),
		Entry("header name with a line break", func(c *upstream.Call) { c.Header = http.Header{"X\r\nY": {"v"}} }),
		Entry("header value with a line break", func(c *upstream.Call) { c.Header = http.Header{"X": {"v\r\nY: z"}} }),
		Entry("header value with a zero byte", func(c *upstream.Call) { c.Header = http.Header{"X": {"v\x00"}} }),
	)

	It("closes the connection when the caller cancels, so that the endpoint stops", func() {
		// The caller cancels half a second into a long run. The engine sees the connection close and
		// gives the slot to another request.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		closed := make(chan struct{})
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, conn)
			close(closed)
		}()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err = upstream.NewPool(nil, nil).Do(ctx, listener.Addr().String(), call())
		Expect(sent(err)).To(BeTrue())
		Eventually(closed).Should(BeClosed())
	})

	It("keeps an idle connection no longer than its endpoint declares", func() {
		s := startEndpoint("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", ok)
		p := upstream.NewPool(nil, nil)
		Expect(read(p, s.address(), call())).To(Equal("ok"))
		Expect(read(p, s.address(), call())).To(Equal("ok"))
		Expect(s.accepted.Load()).To(Equal(int64(2)))
	})
})
