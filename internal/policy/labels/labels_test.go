package labels_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/labels"
	"siskinloom.example/siskinloom/internal/wire"
)

func TestLabels(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "labels")
}

func read(offset int, versions ...int64) wire.ReadReply {
	return wire.ReadReply{Offset: offset, Versions: versions, Tokens: make([]string, len(versions))}
}

var _ = Describe("Builder", func() {
	var b *labels.Builder
	BeforeEach(func() { b = &labels.Builder{} })

	It("starts a segment at a version swap within a read and ignores repeated tokens", func() {
		Expect(b.Add(read(0, 4, 4, 5))).To(Succeed())
		Expect(b.Add(read(1, 4, 5, 5, 6))).To(Succeed())
		Expect(b.Finish(5, []wire.Segment{{Version: 4, From: 0, To: 2}})).To(Equal([]wire.Segment{
			{Version: 4, From: 0, To: 2}, {Version: 5, From: 2, To: 4}, {Version: 6, From: 4, To: 5},
		}))
	})

	It("keeps the labels of delivered tokens when another engine resumes the sample", func() {
		// The first engine fails after five tokens, of which three are delivered. An
		// engine with an older version resumes after the third. Tokens four and
		// five of the failed engine are not in the text and must not be labelled.
		Expect(b.Add(read(0, 7, 7, 8, 8, 8))).To(Succeed())
		Expect(b.Resume(3)).To(Succeed())
		Expect(b.Add(read(0, 6, 6))).To(Succeed())
		Expect(b.Finish(5, []wire.Segment{{Version: 6, From: 0, To: 2}})).To(Equal([]wire.Segment{
			{Version: 7, From: 0, To: 2}, {Version: 8, From: 2, To: 3}, {Version: 6, From: 3, To: 5},
		}))
	})

	It("accepts an imported cache whose version has a segment", func() {
		Expect(b.Add(read(0, 7))).To(Succeed())
		Expect(b.Resume(1)).To(Succeed())
		Expect(b.Import(7)).To(Succeed())
		Expect(b.Add(read(0, 8))).To(Succeed())
		Expect(b.Finish(2, nil)).To(HaveLen(2))
	})

	DescribeTable("rejects tokens that cannot be attributed",
		func(want error, steps ...func() error) {
			var err error
			for _, step := range steps {
				if err = step(); err != nil {
					break
				}
			}
			Expect(err).To(MatchError(want))
			Expect(b.Segments()).To(BeNil())
			Expect(b.Add(read(0, 1))).To(MatchError(want), "a later read must not clear the error")
		},
		Entry("a gap", labels.ErrGap, func() error { return b.Add(read(1, 4)) }),
		Entry("a resume past the tokens read", labels.ErrGap, func() error { return b.Resume(1) }),
		Entry("missing final tokens", labels.ErrGap,
			func() error { return b.Add(read(0, 4)) }, func() error { _, err := b.Finish(2, nil); return err }),
		Entry("a token without a version", labels.ErrUnattributed, func() error { return b.Add(read(0, 4, 0)) }),
		Entry("fewer versions than tokens", labels.ErrUnattributed,
			func() error { return b.Add(wire.ReadReply{Tokens: []string{"a"}}) }),
		Entry("a repeated read with another version", labels.ErrConflict,
			func() error { return b.Add(read(0, 4)) }, func() error { return b.Add(read(0, 5)) }),
		Entry("a final response with another version", labels.ErrConflict,
			func() error { return b.Add(read(0, 4)) },
			func() error { _, err := b.Finish(1, []wire.Segment{{Version: 3, From: 0, To: 1}}); return err }),
		Entry("a prompt cache of another version", labels.ErrForeignCache,
			func() error { return b.Import(3) }, func() error { return b.Add(read(0, 4)) }),
		Entry("a cache of an unknown version", labels.ErrForeignCache, func() error { return b.Import(0) }),
		Entry("an empty sample", labels.ErrEmpty, func() error { _, err := b.Finish(0, nil); return err }),
	)
})
