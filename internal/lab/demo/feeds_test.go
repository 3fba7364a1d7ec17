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
	trainDuration = 300 * time.Millisecond
	stepTimeout   = time.Minute
)

// startTrainer runs a trainer of the site's feed until the spec ends.
func (s *runningSite) startTrainer() *standin.Trainer {
	var entries []string
	for _, e := range s.Entries {
		entries = append(entries, e.GRPC)
	}
	trainer, err := standin.NewTrainer(standin.TrainerOptions{
		Entries: entries, Key: exampleSpecs[0].trainerKey, Deployment: s.Deployment, Feed: s.Feed,
		Model: exampleSpecs[0].weightModel, Version: 1, StalenessBound: int64(exampleSpecs[0].stalenessBound), TrainTime: trainDuration,
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		trainer.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		Eventually(stopped).WithTimeout(stepTimeout).Should(BeClosed())
	})
	return trainer
}

// awaitSteps waits until the trainer has trained the given number of further steps.
func awaitSteps(trainer *standin.Trainer, more int) {
	want := trainer.Report().Steps + more
	Eventually(func() int { return trainer.Report().Steps }).WithTimeout(stepTimeout).Should(BeNumerically(">=", want))
}

// checkSamples checks the invariants of the samples that the trainer received.
func checkSamples(trainer *standin.Trainer) {
	r := trainer.Report()
	Expect(r.Duplicates).To(BeZero(), "samples handed over twice")
	Expect(r.Mislabelled).To(BeZero(), "samples with a wrong label")
	Expect(r.Stale).To(BeZero(), "samples older than the bound")
	Expect(r.Samples).To(BeNumerically(">=", r.Steps*32), "samples missing from steps")
}

var _ = Describe("a trainer of a deployment of real processes", func() {
	// The feed's owner is killed while it hands over samples. Its successor does not know
	// which lot the trainer received last. It learns it from the trainer's next pull.
	It("gets each sample once when the feed's owner is killed", func() {
		s := startSite()
		trainer := s.startTrainer()
		awaitSteps(trainer, 2)
		s.signal(syscall.SIGKILL, s.dutyOwner(wire.FeedDuty(s.Deployment, s.Feed)))
		awaitSteps(trainer, 3)
		checkSamples(trainer)
	})
	// The owner is paused for longer than its lease, and a successor hands over samples.
	// The old owner then resumes and still serves pulls.
	It("gets each sample once when the feed's owner is paused past its lease", func() {
		s := startSite()
		trainer := s.startTrainer()
		awaitSteps(trainer, 2)
		owner := s.dutyOwner(wire.FeedDuty(s.Deployment, s.Feed))
		s.signal(syscall.SIGSTOP, owner)
		awaitSteps(trainer, 2)
		s.signal(syscall.SIGCONT, owner)
		awaitSteps(trainer, 3)
		checkSamples(trainer)
	})
	// The key-value service is down while the owner runs. The trainer continues to pull.
	// Its pulls carry the cursor that cannot be recorded meanwhile.
	It("continues during an outage of the key-value service", func() {
		s := startSite()
		trainer := s.startTrainer()
		awaitSteps(trainer, 2)
		Expect(SetOutage(s.layout, true)).To(Succeed())
		awaitSteps(trainer, 1)
		Expect(SetOutage(s.layout, false)).To(Succeed())
		awaitSteps(trainer, 3)
		checkSamples(trainer)
	})
	// An engine and then its agent are killed while they generate samples, and new
	// weights are loaded meanwhile. Lost samples must be generated again.
	It("gets complete and correctly labelled samples when an engine and an agent are killed", func() {
		s := startSite()
		trainer := s.startTrainer()
		awaitSteps(trainer, 1)
		s.signal(syscall.SIGKILL, "ledgerwise-tone-model-1-endpoint")
		awaitSteps(trainer, 2)
		s.signal(syscall.SIGKILL, "ledgerwise-tone-model-1")
		awaitSteps(trainer, 2)
		checkSamples(trainer)
		Expect(trainer.Report().Announced).To(BeNumerically(">", 1))
	})
})
