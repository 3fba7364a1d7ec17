package sse_test

import (
	"io"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/sse"
)

var _ = Describe("reading events", func() {
	It("returns complete events with their bytes, IDs, data and other fields", func() {
		raw := "x-version: 7\nid: 1\ndata: a\ndata: b\n\n: comment\n\r\nid: 2\r\ndata:c\r\n\r\n"
		r := sse.NewReader(strings.NewReader(raw))
		e, err := r.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(e.ID).To(Equal(int64(1)))
		Expect(string(e.Data)).To(Equal("a\nb"))
		Expect(e.Fields).To(Equal(map[string]string{"x-version": "7"}))
		Expect(string(e.Raw)).To(Equal("x-version: 7\nid: 1\ndata: a\ndata: b\n\n"))
		_, err = r.Next() // the comment alone
		Expect(err).NotTo(HaveOccurred())
		e, err = r.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(e.ID).To(Equal(int64(2)))
		Expect(string(e.Data)).To(Equal("c"))
		_, err = r.Next()
		Expect(err).To(Equal(io.EOF))
	})

	DescribeTable("distinguishes a stream that was cut off within an event from one that ended",
		func(raw string, want error) {
			r := sse.NewReader(strings.NewReader(raw))
			_, err := r.Next()
			Expect(err).To(Equal(want))
		},
		Entry("nothing", "", io.EOF),
		Entry("half a line", "id: 1", io.ErrUnexpectedEOF),
		Entry("no blank line", "id: 1\ndata: a\n", io.ErrUnexpectedEOF),
		Entry("blank lines", "\n\n", io.EOF),
	)

	It("fails on an event that never ends", func() {
		_, err := sse.NewReader(io.LimitReader(endless{}, 16<<20)).Next()
		Expect(err).To(Equal(sse.ErrTooLong))
	})

	It("distinguishes empty data from none", func() {
		e, err := sse.NewReader(strings.NewReader("data:\n\n")).Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Data).NotTo(BeNil())
		Expect(e.Data).To(BeEmpty())
	})
})

type endless struct{}

func (endless) Read(p []byte) (int, error) { return copy(p, "data: x\n"), nil }

func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("data: a\rid: 2\n\n\n")
	f.Add(":\n:\n\nid: 99999999999999999999\n\n")
	f.Fuzz(func(t *testing.T, raw string) {
		r := sse.NewReader(strings.NewReader(raw))
		total := 0
		for {
			e, err := r.Next()
			if err != nil {
				return
			}
			total += len(e.Raw)
			if total > len(raw) {
				t.Fatalf("events of %d bytes from %d", total, len(raw))
			}
		}
	})
}

// endlessLine is a stream whose first line never ends.
type endlessLine struct{ read int }

func (l *endlessLine) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	l.read += len(b)
	return len(b), nil
}

var _ = Describe("a line that never ends", func() {
	// Guards against an endpoint that fills the memory of the process which reads its stream.
	It("is not read any further than an event may be long", func() {
		in := &endlessLine{}
		_, err := sse.NewReader(in).Next()
		Expect(err).To(MatchError(sse.ErrTooLong))
		Expect(in.read).To(BeNumerically("<=", sse.MaxEventBytes+4096))
	})
})
