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

var _ = Describe("the loads that owners tell each other", func() {
	It("say what runs where while it runs, and then that nothing does", func() {
		// Two owners, one with a job whose runs stand still in the middle. The other one
		// is told what it has at the engines; once the job is ended it is told that
		// there is nothing more.
		llm := &engines{sent: map[string]int{}, hold: make(chan struct{})}
		store := standin.NewShared()
		told := make(chan batchrun.LoadArgs, 1000)
		p := newProcess("a", store, llm)
		p.owner.Directory.Declare(withModels(p.owner.Directory.Table().Declaration))
		p.owner.OtherOwners = func([]string) []string { return []string{"b"} }
		p.owner.SendLoad = func(_ context.Context, to string, args batchrun.LoadArgs) error {
			Expect(to).To(Equal("b"))
			told <- args
			return nil
		}
		p.run()
		Eventually(func() int { return len(p.members.Live()) }).WithTimeout(patience).Should(Equal(1))
		Expect(p.desk.Submit(context.Background(), spec("j", 4))).To(Succeed())
		running := func(args batchrun.LoadArgs) int {
			n := 0
			for _, share := range args.Shares {
				n += share.InFlight
			}
			return n
		}
		Eventually(func() int { return running(<-told) }).WithTimeout(patience).Should(Equal(4))
		args := <-told
		Expect(args.From).To(Equal("a"))
		Expect(args.Service).To(Equal("llm"))
		Expect(args.Load.Work).To(BeNumerically(">", 0))
		Expect(p.desk.End(context.Background(), "j")).To(Succeed())
		close(llm.hold)
		Eventually(func() int { return running(<-told) }).WithTimeout(patience).Should(BeZero())
		drain(told)
		Consistently(told).WithTimeout(300*time.Millisecond).ShouldNot(Receive(), "nothing is told of nothing")
	})
})

// withModels returns the declaration as the next version, with the service's models.
func withModels(d *deployment.Declaration) *deployment.Declaration {
	next := *d
	next.Version++
	next.Services = map[string]deployment.Service{"llm": {Models: []string{"m"}}}
	return &next
}

func drain(told chan batchrun.LoadArgs) {
	for {
		select {
		case <-told:
		case <-time.After(250 * time.Millisecond):
			return
		}
	}
}
