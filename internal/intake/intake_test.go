package intake_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/intake"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "intake")
}

var _ = Describe("a server whose callers are bounded", func() {
	const (
		memory      = 8 << 20 // a quarter of it is for requests
		connections = 16      // the least
		headerLimit = 8 << 10
		bodyLimit   = 2 << 20
	)
	var address string
	var registry metrics.Registry
	var held *atomic.Int64 // requests to /hold that have arrived

	BeforeEach(func() {
		registry = metrics.NewRegistry()
		holding := &atomic.Int64{}
		held = holding
		released := make(chan struct{}) // requests to /hold are answered once it is closed
		in := intake.New(intake.Options{Memory: memory, Descriptors: 210, HeaderBytes: func() int { return headerLimit }}, discardLog(), registry)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		server := &http.Server{ConnContext: intake.Context, ConnState: intake.ConnState, Handler: intake.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			timeout := time.Hour
			if r.URL.Path == "/brief" {
				timeout = 50 * time.Millisecond
			}
			body, err := intake.ReadBody(w, r, bodyLimit, time.Now().Add(timeout))
			if err != nil {
				w.Header().Set("Connection", "close")
				http.Error(w, err.Error(), statusOf(err))
				return
			}
			if r.URL.Path == "/hold" {
				holding.Add(1)
				<-released
			}
			_, _ = fmt.Fprint(w, body.Len())
		}))}
		go func() { _ = server.Serve(in.Listen(listener)) }()
		DeferCleanup(server.Close)
		DeferCleanup(func() { close(released) })
	})

	open := func() net.Conn {
		conn, err := net.Dial("tcp", address)
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		return conn
	}
	send := func(conn net.Conn, parts ...string) {
		for _, part := range parts {
			_, _ = io.WriteString(conn, part) // the server may close the connection
		}
	}
	answerOf := func(conn net.Conn) (int, string) {
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		body, err := io.ReadAll(answer.Body)
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		return answer.StatusCode, string(body)
	}
	gauge := func(name string) func() int64 {
		return func() int64 { return metrics.GetOrRegisterGauge(name, registry).Value() }
	}
	refused := func(reason string) int64 {
		return metrics.GetOrRegisterCounter("callers.refused."+reason, registry).Count()
	}
	post := func(path string, length int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
	}

	It("reads bodies of every length and framing, several on one connection", func() {
		conn := open()
		for _, n := range []int{0, 1, 600, intake.FreeBodyBytes, intake.FreeBodyBytes + 1, 1 << 20, bodyLimit} {
			send(conn, post("/", n), strings.Repeat("a", n))
			status, body := answerOf(conn)
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(Equal(fmt.Sprint(n)))
			send(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			if n > 0 {
				send(conn, fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("a", n)))
			}
			send(conn, "0\r\n\r\n")
			status, body = answerOf(conn)
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(Equal(fmt.Sprint(n)))
		}
		Eventually(gauge("callers.memory")).Should(BeZero())
		Expect(gauge("callers.connections")()).To(Equal(int64(1)))
		_ = conn.Close()
		Eventually(gauge("callers.connections")).Should(BeZero())
	})

	// Guards against a caller that sends a body that can't be accepted, for minutes perhaps, before it
	// is told.
	It("refuses an announced length above the limit before any of it is sent, and an unannounced one at the limit", func() {
		conn := open()
		send(conn, post("/", bodyLimit+1))
		status, _ := answerOf(conn)
		Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
		conn = open()
		send(conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s", bodyLimit+1, strings.Repeat("a", bodyLimit+1)))
		status, _ = answerOf(conn)
		Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
	})

	// Guards against a body that stops short of its end and is held for as long as its sender likes.
	It("refuses a body that has not arrived when the request's time is over", func() {
		conn := open()
		send(conn, post("/brief", 10), "a")
		status, _ := answerOf(conn)
		Expect(status).To(Equal(http.StatusRequestTimeout))
		Expect(refused("slow")).To(Equal(int64(1)))
	})

	It("refuses a head above the operator's limit, and still reads one at the limit", func() {
		conn := open()
		send(conn, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("a", headerLimit-20)+"\r\n\r\n")
		status, _ := answerOf(conn)
		Expect(status).To(Equal(http.StatusOK))
		conn = open()
		send(conn, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("a", 1<<20)) // without an end
		Eventually(func() int64 { return refused("head") }).Should(Equal(int64(1)))
	})

	// Guards against ordinary requests that are refused since unfinished ones hold the memory; the
	// senders of these may repeat them, as they were not run.
	It("gives up the largest unfinished body for another request", func() {
		large := open()
		send(large, post("/", bodyLimit), strings.Repeat("a", bodyLimit-1))
		Eventually(gauge("callers.memory")).Should(BeNumerically(">", bodyLimit-intake.FreeBodyBytes-1))
		conn := open()
		send(conn, post("/", 100<<10), strings.Repeat("a", 100<<10))
		status, _ := answerOf(conn)
		Expect(status).To(Equal(http.StatusOK))
		status, body := answerOf(large)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(body).To(ContainSubstring(intake.ErrNoMemory.Error()))
		Expect(refused("memory")).To(Equal(int64(1)))
	})

	// Guards against bodies of requests that wait for a slow endpoint and take all memory.
	It("refuses a body while requests that are being served hold the memory, and not a small one", func() {
		served := open()
		send(served, post("/hold", bodyLimit), strings.Repeat("a", bodyLimit))
		Eventually(held.Load).Should(Equal(int64(1)))
		Expect(gauge("callers.memory")()).To(Equal(int64(bodyLimit - intake.FreeBodyBytes)))
		conn := open()
		send(conn, post("/", 100<<10), strings.Repeat("a", 100<<10))
		status, _ := answerOf(conn)
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		conn = open()
		send(conn, post("/", 600), strings.Repeat("a", 600))
		status, _ = answerOf(conn)
		Expect(status).To(Equal(http.StatusOK))
	})

	// Guards against a caller that finds no connection, as others keep theirs open and send nothing.
	It("closes a silent connection for a new one, and refuses a new one while all are served", func() {
		for range connections {
			open()
		}
		Eventually(gauge("callers.connections")).Should(Equal(int64(connections)))
		for range connections {
			send(open(), "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		Eventually(func() int64 { return refused("connections") }).Should(Equal(int64(connections)))
		Consistently(gauge("callers.connections"), "50ms").Should(Equal(int64(connections)))
		// It is not answered, as its request is not known: a repeat of one that ran must not be told
		// that it was not run.
		answer, err := io.ReadAll(open())
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(BeEmpty())
	})
})

func statusOf(err error) int {
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, intake.ErrNoMemory):
		return http.StatusServiceUnavailable
	case errors.Is(err, intake.ErrTooSlow):
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
