package periodic_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/periodic"
)

func TestPeriodic(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Periodic")
}

var _ = Describe("periodic work", func() {
	It("is called repeatedly until its context ends", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := 0
		periodic.Run(ctx, time.Millisecond, func(time.Time) {
			if done++; done == 3 {
				cancel()
			}
		})
		Expect(done).To(Equal(3))
	})
})
