package node

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Node")
}

var _ = Describe("a caller of a process that has just started", func() {
	const never, patience = time.Hour, 20 * time.Second

	// await calls await in the background and returns what is closed at its end.
	await := func(s *starting, ctx context.Context, limit time.Duration) chan struct{} {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.await(ctx, limit)
		}()
		return ended
	}

	It("is kept until the process knows the fleet, and not at all from then on", func() {
		s := newStarting()
		kept := await(s, context.Background(), never)
		Consistently(kept).WithTimeout(50 * time.Millisecond).ShouldNot(BeClosed())
		s.done()
		s.done()
		Eventually(kept).WithTimeout(patience).Should(BeClosed())
		Eventually(await(s, context.Background(), never)).WithTimeout(patience).Should(BeClosed())
	})

	It("is let go when it leaves, and when the process does not come to know the fleet", func() {
		s := newStarting()
		ctx, leave := context.WithCancel(context.Background())
		kept := await(s, ctx, never)
		leave()
		Eventually(kept).WithTimeout(patience).Should(BeClosed())
		Eventually(await(s, context.Background(), time.Millisecond)).WithTimeout(patience).Should(BeClosed())
	})
})
