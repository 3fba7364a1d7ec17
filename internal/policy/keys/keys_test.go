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

var _ = Describe("a ring of keys", func() {
	It("knows each key's owner, and no other key", func() {
		r := keys.NewIndex[string](0)
		for _, key := range []string{"one", "two"} {
			_, added := r.Add(keys.Hash(key), "desk")
			Expect(added).To(BeTrue())
		}
		owner, found := r.Owner("two")
		Expect(found).To(BeTrue())
		Expect(owner).To(Equal("desk"))
		for _, key := range []string{"", "tw", "two ", "TWO", string(make([]byte, 100_000))} {
			_, found := r.Owner(key)
			Expect(found).To(BeFalse())
		}
		Expect(r.Len()).To(Equal(2))
	})

	It("leaves a key with its first owner", func() {
		r := keys.NewIndex[string](0)
		r.Add(keys.Hash("k"), "first")
		holder, added := r.Add(keys.Hash("k"), "second")
		Expect(added).To(BeFalse())
		Expect(holder).To(Equal("first"))
	})

	It("has nobody's keys while there is none", func() {
		var none *keys.Index[string]
		_, found := none.Owner("k")
		Expect(found).To(BeFalse())
		Expect(none.Len()).To(BeZero())
	})
})

var _ = Describe("a digest", func() {
	It("is read from hexadecimal", func() {
		want := keys.Hash("k")
		Expect(keys.Parse(hex.EncodeToString(want[:]))).To(Equal(want))
	})

	DescribeTable("is refused when it is malformed", func(text string) {
		_, err := keys.Parse(text)
		Expect(err).To(MatchError(keys.ErrMalformed))
	}, Entry("empty", ""), Entry("short", "ab"), Entry("no hexadecimal", fmt.Sprintf("%064s", "x")))
})

// A deployment of 10,000 customers with three keys each.
func ring() *keys.Index[int] {
	const customers, each = 10_000, 3
	r := keys.NewIndex[int](customers * each)
	for c := range customers {
		for k := range each {
			r.Add(keys.Hash(fmt.Sprintf("key-%d-%d", c, k)), c)
		}
	}
	return r
}

func BenchmarkOwner(b *testing.B) {
	r := ring()
	for b.Loop() {
		if _, found := r.Owner("key-5000-1"); !found {
			b.Fatal("key is not known")
		}
	}
}

func BenchmarkFill(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		ring()
	}
}
