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

// counting counts how often the list is read.
type counting struct{ reads int }

func (c *counting) Instances(context.Context, string) ([]kv.Instance, error) {
	c.reads++
	return []kv.Instance{{ID: "a"}}, nil
}

var _ = Describe("the list of instances", func() {
	// The entry that holds a weights duty costs the others' traffic twice over.
	// It asks for the list every two seconds beside the reader that all parts
	// share, and the list grows with the fleet.
	It("is read once for all that use it", func() {
		ctx := context.Background()
		p := peers.New(peers.Options{ID: "e0"})
		p.Attach(confstate.New(confstate.Options{Entry: true}), dutyrun.New(dutyrun.Options{}))
		source := &counting{}
		_, err := p.CachedLister().Instances(ctx, "d")
		Expect(err).To(HaveOccurred(), "nothing was read yet: a list without instances would be wrong")
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
