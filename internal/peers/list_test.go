package peers_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/confstate"
	"siskinloom.example/siskinloom/internal/dutyrun"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/peers"
)

// countingLister counts how often the list is read.
type countingLister struct{ reads int }

func (c *countingLister) Instances(context.Context, string) ([]kv.Instance, error) {
	c.reads++
	return []kv.Instance{{ID: "a"}}, nil
}

var _ = Describe("the list of instances", func() {
	// A holder of a weights duty requests the list every two seconds. If it
	// read the list itself, beside the reader that all parts share, its control
	// traffic would double, and the list grows with the fleet.
	It("is read once for all its users", func() {
		ctx := context.Background()
		p := peers.New(peers.Options{ID: "e0"})
		p.Attach(confstate.New(confstate.Options{Entry: true}), dutyrun.New(dutyrun.Options{}))
		source := &countingLister{}
		_, err := p.CachedLister().Instances(ctx, "d")
		Expect(err).To(HaveOccurred(), "the list has not been read yet: an empty list would be wrong")
		_, err = p.WrapLister(source).Instances(ctx, "d")
		Expect(err).NotTo(HaveOccurred())
		for range 10 {
			list, err := p.CachedLister().Instances(ctx, "d")
			Expect(err).NotTo(HaveOccurred())
			Expect(list).To(Equal([]kv.Instance{{ID: "a"}}))
		}
		Expect(source.reads).To(Equal(1))
	})
})
