package logout_test

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/logout"
)

// syncBuffer is an output that can be read while it is written.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

var _ = Describe("the log writer", func() {
	It("writes lines in order", func() {
		out := &syncBuffer{}
		w := logout.New(out)
		for i := range 3 {
			fmt.Fprintln(w, i)
		}
		Eventually(out.String).Should(Equal("0\n1\n2\n"))
	})

	It("never blocks when the reader of the output has stalled", func() {
		// The process that reads standard output has stopped reading. Every request logs
		// lines: no request may block, and the memory of queued lines stays bounded.
		stalled, unread := io.Pipe()
		defer stalled.Close()
		w := logout.New(unread)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for range 100_000 {
				fmt.Fprintln(w, "line")
			}
		}()
		Eventually(done).WithTimeout(time.Minute).Should(BeClosed())
		Expect(w.Dropped()).To(BeNumerically(">", 0))
	})

	It("limits a burst and reports how many lines it dropped", func() {
		out := &syncBuffer{}
		w := logout.New(out)
		for range 5000 {
			fmt.Fprintln(w, "line")
		}
		Eventually(out.String).WithTimeout(time.Minute).Should(ContainSubstring("log lines dropped"))
		Expect(bytes.Count([]byte(out.String()), []byte("line\n"))).To(BeNumerically("<=", 800))
	})
})
