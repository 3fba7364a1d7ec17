package batchrun_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("the loads that owners send each other", func() {
	It("contain the requests in flight, and afterwards that there are none", func() {
		// One of two owners has a job whose runs pause in the middle. It sends the other one
		// its requests in flight, and once the job is ended, that there are none. Without the
		// last message the other owner would count the earlier load until that is too old.
		llm := &engines{sent: map[string]int{}, hold: make(chan struct{})}
		store := standin.NewTransactionalStore()
		sent := make(chan batchrun.LoadArgs, 1000)
		p := newProcess("a", store, llm)
		p.owner.Directory.Declare(withModels(p.owner.Directory.Table().Declaration))
		p.owner.OtherOwners = func([]string) []string { return []string{"b"} }
		p.owner.SendLoad = func(_ context.Context, to string, args batchrun.LoadArgs) error {
			Expect(to).To(Equal("b"))
			sent <- args
			return nil
		}
		p.run()
		Eventually(func() int { return len(p.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(1))
		Expect(p.frontend.Submit(context.Background(), spec("j", 4))).To(Succeed())
		running := func(args batchrun.LoadArgs) int {
			n := 0
			for _, share := range args.Shares {
				n += share.InFlight
			}
			return n
		}
		Eventually(func() int { return running(<-sent) }).WithTimeout(eventuallyTimeout).Should(Equal(4))
		args := <-sent
		Expect(args.From).To(Equal("a"))
		Expect(args.Service).To(Equal("llm"))
		Expect(args.Load.Work).To(BeNumerically(">", 0))
		Expect(p.frontend.End(context.Background(), "j")).To(Succeed())
		close(llm.hold)
		Eventually(func() int { return running(<-sent) }).WithTimeout(eventuallyTimeout).Should(BeZero())
		drain(sent)
		Consistently(sent).WithTimeout(300*time.Millisecond).ShouldNot(Receive(), "a service without load is not reported")
	})
})

// withModels returns the declaration as the next version, with the service's models.
func withModels(d *deployment.Declaration) *deployment.Declaration {
	next := *d
	next.Version++
	next.Services = map[string]deployment.Service{"llm": {Models: []string{"m"}}}
	return &next
}

func drain(sent chan batchrun.LoadArgs) {
	for {
		select {
		case <-sent:
		case <-time.After(250 * time.Millisecond):
			return
		}
	}
}
