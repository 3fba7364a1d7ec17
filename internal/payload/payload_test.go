package payload_test

import (
	"io"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/payload"
)

func TestPayload(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "payload")
}

var _ = Describe("a body in segments", func() {
	It("is read in order, any number of times", func() {
		var body payload.Body
		for _, segment := range []string{"ab", "", "c", "def"} {
			body.Append([]byte(segment))
		}
		Expect(body.Len()).To(Equal(6))
		Expect(body.Segments()).To(HaveLen(3))
		for range 2 {
			Expect(io.ReadAll(body.Reader())).To(BeEquivalentTo("abcdef"))
			Expect(body.Bytes()).To(BeEquivalentTo("abcdef"))
		}
	})

	It("is not copied if it is in one piece", func() {
		whole := []byte("abc")
		Expect(&payload.Of(whole).Bytes()[0]).To(BeIdenticalTo(&whole[0]))
		Expect(payload.Body{}.Bytes()).To(BeEmpty())
	})
})
