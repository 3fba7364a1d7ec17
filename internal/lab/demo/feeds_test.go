package demo

import (
	"context"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/standin"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	trainTime = 300 * time.Millisecond
	stepLimit = time.Minute
)

// train runs a trainer of the site's feed until the spec ends.
func (s *site) train() *standin.Trainer {
	var entries []string
	for _, e := range s.Entries {
		entries = append(entries, e.GRPC)
	}
	trainer, err := standin.NewTrainer(standin.TrainerOptions{
		Entries: entries, Key: plans[0].trainerKey, Deployment: s.Deployment, Feed: s.Feed,
		Model: plans[0].weights, Version: 1, StalenessBound: int64(plans[0].bound), TrainTime: trainTime,
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		trainer.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		Eventually(done).WithTimeout(stepLimit).Should(BeClosed())
	})
	return trainer
}

// reach waits until the trainer has trained so many more steps.
func reach(trainer *standin.Trainer, more int) {
	want := trainer.Report().Steps + more
	Eventually(func() int { return trainer.Report().Steps }).WithTimeout(stepLimit).Should(BeNumerically(">=", want))
}

func holdsFeed(trainer *standin.Trainer) {
	r := trainer.Report()
	Expect(r.Duplicates).To(BeZero(), "samples handed over twice")
	Expect(r.Mislabelled).To(BeZero(), "samples with a wrong label")
	Expect(r.Stale).To(BeZero(), "samples older than the bound")
	Expect(r.Samples).To(BeNumerically(">=", r.Steps*32), "samples missing from steps")
}

var _ = Describe("a trainer of a deployment of real processes", func() {
	// The feed's owner is killed while it hands samples over. Its successor does
	// not know which lot the trainer got last; the trainer's next pull tells it.
	It("gets each sample once when the feed's owner is killed", func() {
		s := startSite()
		trainer := s.train()
		reach(trainer, 2)
		s.signal(syscall.SIGKILL, s.owner(wire.FeedDuty(s.Deployment, s.Feed)))
		reach(trainer, 3)
		holdsFeed(trainer)
	})
	// The owner is stopped past its lease, a successor hands samples over, and
	// the old owner goes on and serves pulls as if nothing had happened.
	It("gets each sample once when the feed's owner is paused past its lease", func() {
		s := startSite()
		trainer := s.train()
		reach(trainer, 2)
		owner := s.owner(wire.FeedDuty(s.Deployment, s.Feed))
		s.signal(syscall.SIGSTOP, owner)
		reach(trainer, 2)
		s.signal(syscall.SIGCONT, owner)
		reach(trainer, 3)
		holdsFeed(trainer)
	})
	// The key-value service is away while the owner lives. The trainer goes on
	// pulling; what cannot be recorded meanwhile is told by its own pulls.
	It("goes on through an outage of the key-value service", func() {
		s := startSite()
		trainer := s.train()
		reach(trainer, 2)
		Expect(Outage(s.layout, true)).To(Succeed())
		reach(trainer, 1)
		Expect(Outage(s.layout, false)).To(Succeed())
		reach(trainer, 3)
		holdsFeed(trainer)
	})
	// An engine and the agent beside it die in the middle of samples, and
	// weights are swapped all along. Lost samples are generated again.
	It("gets whole and rightly labelled samples when an engine and an agent die", func() {
		s := startSite()
		trainer := s.train()
		reach(trainer, 1)
		s.signal(syscall.SIGKILL, "ledgerwise-tone-model-1-endpoint")
		reach(trainer, 2)
		s.signal(syscall.SIGKILL, "ledgerwise-tone-model-1")
		reach(trainer, 2)
		holdsFeed(trainer)
		Expect(trainer.Report().Announced).To(BeNumerically(">", 1))
	})
})
