package tokens_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/tokens"
)

func TestTokens(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tokens")
}

var _ = Describe("Text", func() {
	// A stream is resumed by its tokens, not by its text. If tokens were joined, or an
	// empty one left out, the engine would count them differently.
	It("returns exactly the tokens that were added, including empty ones", func() {
		t := tokens.NewText([]string{"po", "", "lite"})
		t.Append([]string{" reminder"})
		Expect(t.Len()).To(Equal(4))
		Expect(t.List()).To(Equal([]string{"po", "", "lite", " reminder"}))
		Expect(t.String()).To(Equal("polite reminder"))
	})
	It("has an empty zero value", func() {
		var t tokens.Text
		Expect(t.Len()).To(BeZero())
		Expect(t.List()).To(BeEmpty())
	})
})
