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
	// A stream is resumed by its tokens, not by its text: joined ones, or an empty
	// one left out, would count differently at the engine.
	It("gives back the very tokens, empty ones among them", func() {
		t := tokens.NewText([]string{"po", "", "lite"})
		t.Append([]string{" reminder"})
		Expect(t.Len()).To(Equal(4))
		Expect(t.List()).To(Equal([]string{"po", "", "lite", " reminder"}))
		Expect(t.String()).To(Equal("polite reminder"))
	})
	It("is empty at first", func() {
		var t tokens.Text
		Expect(t.Len()).To(BeZero())
		Expect(t.List()).To(BeEmpty())
	})
})
