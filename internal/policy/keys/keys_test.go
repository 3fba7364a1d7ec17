package keys_test

import (
	"encoding/hex"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/keys"
)

func TestKeys(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Keys")
}

var _ = Describe("Index", func() {
	It("finds the owner of each key and of no other text", func() {
		x := keys.NewIndex[string](0)
		for _, key := range []string{"one", "two"} {
			_, added := x.Add(keys.Hash(key), "desk")
			Expect(added).To(BeTrue())
		}
		owner, found := x.Owner("two")
		Expect(found).To(BeTrue())
		Expect(owner).To(Equal("desk"))
		for _, key := range []string{"", "tw", "two ", "TWO", string(make([]byte, 100_000))} {
			_, found := x.Owner(key)
			Expect(found).To(BeFalse())
		}
		Expect(x.Len()).To(Equal(2))
	})

	It("leaves a key with its first owner", func() {
		x := keys.NewIndex[string](0)
		x.Add(keys.Hash("k"), "first")
		holder, added := x.Add(keys.Hash("k"), "second")
		Expect(added).To(BeFalse())
		Expect(holder).To(Equal("first"))
	})

	It("knows no keys if it is nil", func() {
		var none *keys.Index[string]
		_, found := none.Owner("k")
		Expect(found).To(BeFalse())
		Expect(none.Len()).To(BeZero())
	})
})

var _ = Describe("Digest", func() {
	It("is parsed from hexadecimal", func() {
		want := keys.Hash("k")
		Expect(keys.Parse(hex.EncodeToString(want[:]))).To(Equal(want))
	})

	DescribeTable("is rejected if it is malformed", func(text string) {
		_, err := keys.Parse(text)
		Expect(err).To(MatchError(keys.ErrMalformed))
	}, Entry("empty", ""), Entry("short", "ab"), Entry("not hexadecimal", fmt.Sprintf("%064s", "x")))
})

// filledIndex returns the index of a deployment of 10,000 customers with three keys each.
func filledIndex() *keys.Index[int] {
	const customers, each = 10_000, 3
	x := keys.NewIndex[int](customers * each)
	for c := range customers {
		for k := range each {
			x.Add(keys.Hash(fmt.Sprintf("key-%d-%d", c, k)), c)
		}
	}
	return x
}

func BenchmarkOwner(b *testing.B) {
	x := filledIndex()
	for b.Loop() {
		if _, found := x.Owner("key-5000-1"); !found {
			b.Fatal("key not found")
		}
	}
}

func BenchmarkFill(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		filledIndex()
	}
}
