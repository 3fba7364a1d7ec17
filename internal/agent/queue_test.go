package agent

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/wire"
)

func TestAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agent")
}

var _ = Describe("Queue", func() {
	var q *Queue
	oneSlot := decl.Deployment{Services: []decl.Service{{Name: "s", Slots: 1, QueueLimit: 10}}}

	BeforeEach(func() {
		q = NewQueue("s", metrics.NewRegistry())
		q.Configure(oneSlot)
	})

	// hold runs a request that keeps its slot until release is closed.
	hold := func(id string) (release chan struct{}, answer chan wire.Answer) {
		release, answer = make(chan struct{}), make(chan wire.Answer, 1)
		started := make(chan struct{})
		go func() {
			answer <- q.Run(context.Background(), wire.Request{ID: id, Cost: 0.01}, func(context.Context) wire.Answer {
				close(started)
				<-release
				return wire.Answer{ID: id, Outcome: wire.Answered}
			})
		}()
		Eventually(started, "5s").Should(BeClosed())
		return release, answer
	}

	It("preempts a rollout for a caller's request and runs it again", func() {
		// The caller gets its answer although a rollout held the only slot; the
		// rollout is cancelled with ErrPreempted and run a second time.
		runs := make(chan error, 4)
		end := make(chan wire.Answer, 1)
		go func() {
			first := true
			end <- q.Run(context.Background(), wire.Request{ID: "r", Rollout: true, Cost: 10}, func(ctx context.Context) wire.Answer {
				if !first {
					return wire.Answer{ID: "r", Outcome: wire.Answered}
				}
				first = false
				runs <- nil
				<-ctx.Done()
				runs <- context.Cause(ctx)
				return wire.Answer{ID: "r", Outcome: wire.Unknown, Reason: wire.ReasonCancelled}
			})
		}()
		Eventually(runs, "5s").Should(Receive(BeNil()))
		release, answer := hold("lookup")
		Eventually(runs, "5s").Should(Receive(Equal(ErrPreempted)))
		Consistently(end, "50ms").ShouldNot(Receive())
		close(release)
		Eventually(answer, "5s").Should(Receive(HaveField("Outcome", wire.Answered)))
		Eventually(end, "5s").Should(Receive(HaveField("Outcome", wire.Answered)))
	})

	It("returns NotRun immediately if the deadline can't be met", func() {
		release, _ := hold("running")
		defer close(release)
		// A request of an unknown class is estimated to hold a slot for 50 ms.
		req := wire.Request{ID: "hopeless", Remaining: 40 * time.Millisecond}
		answer := q.Run(context.Background(), req, func(context.Context) wire.Answer {
			panic("a refused request ran")
		})
		Expect(answer.Outcome).To(Equal(wire.NotRun))
		Expect(answer.Reason).To(Equal(wire.ReasonDeadline))
		// It is refused by the estimate and not by a timeout: a request that
		// had to wait gets a RetryAfter.
		Expect(answer.RetryAfter).To(BeZero())
	})

	It("returns NotRun for a waiting request whose caller gave up", func() {
		release, _ := hold("running")
		defer close(release)
		ctx, cancel := context.WithCancel(context.Background())
		answer := make(chan wire.Answer, 1)
		go func() {
			answer <- q.Run(ctx, wire.Request{ID: "waiting"}, func(context.Context) wire.Answer { return wire.Answer{} })
		}()
		Eventually(func() int { return q.Load().Queued }, "5s").Should(Equal(1))
		cancel()
		Eventually(answer, "5s").Should(Receive(HaveField("Outcome", wire.NotRun)))
		Expect(q.Load().Queued).To(Equal(0))
	})

	It("finishes accepted requests during a graceful stop and refuses new ones", func() {
		release, answer := hold("running")
		drained := q.Drain()
		refused := q.Run(context.Background(), wire.Request{ID: "late"}, nil)
		Expect(refused.Outcome).To(Equal(wire.NotRun))
		Expect(refused.Reason).To(Equal(wire.ReasonLeaving))
		Consistently(drained, "50ms").ShouldNot(BeClosed())
		close(release)
		Eventually(answer, "5s").Should(Receive(HaveField("Outcome", wire.Answered)))
		Eventually(drained, "5s").Should(BeClosed())
	})
})
