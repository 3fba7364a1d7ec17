package feedrun_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"siskinloom.example/siskinloom/api/trainerpb"
	"siskinloom.example/siskinloom/internal/standin"
)

func TestFeedrun(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "feedrun")
}

const samplesPerStep = 16

func expectSteps(t *standin.Trainer, steps int) {
	Eventually(func() int { return t.Report().Steps }, "30s", "10ms").Should(BeNumerically(">=", steps))
	expectNoFaults(t)
}

func expectNoFaults(t *standin.Trainer) {
	r := t.Report()
	ExpectWithOffset(2, r.Duplicates).To(BeZero())
	ExpectWithOffset(2, r.Mislabelled).To(BeZero())
	ExpectWithOffset(2, r.Stale).To(BeZero())
	ExpectWithOffset(2, r.Samples).To(BeNumerically(">=", r.Steps*samplesPerStep))
	ExpectWithOffset(2, r.Samples).To(BeNumerically("<=", (r.Steps+1)*samplesPerStep))
}

var _ = Describe("Feeds", func() {
	It("hands over scored, labelled samples to a trainer while weight versions change", func() {
		c := newCluster("one")
		c.setOwner("one", true)
		expectSteps(c.startTrainer(), 8)
		Expect(c.engines.current()).To(BeNumerically(">=", 7), "announced versions reach the engines")
	})

	It("accepts pulls through entries that do not own the feed", func() {
		c := newCluster("one", "two", "three")
		c.setOwner("two", true)
		expectSteps(c.startTrainer(), 4)
	})

	It("continues after the owner dies, without handing over anything twice", func() {
		// The trainer holds lots that the dead owner had not recorded. Its
		// pulls report them to the successor.
		c := newCluster("one", "two")
		c.setOwner("one", true)
		t := c.startTrainer()
		expectSteps(t, 2)
		c.crash("one")
		c.setOwner("two", true)
		expectSteps(t, 6)
	})

	It("tolerates a paused owner beside its successor", func() {
		// The old owner is not notified. It keeps generating samples and answering
		// the pulls that reach it, until its first write fails.
		c := newCluster("one", "two")
		c.setOwner("one", true)
		t := c.startTrainer()
		expectSteps(t, 2)
		c.setOwner("two", false)
		expectSteps(t, 6)
	})

	It("keeps serving the trainer during an outage of the key-value service", func() {
		c := newCluster("one", "two")
		c.setOwner("one", true)
		t := c.startTrainer()
		expectSteps(t, 1)
		c.store.setUnavailable(true)
		expectSteps(t, 6)
		c.store.setUnavailable(false)
		expectSteps(t, 8)
	})

	It("continues with a changed shape, also under the next owner", func() {
		// A step is changed to two groups of four samples instead of four groups;
		// then the owner dies. From the next step on, a step has eight samples, none
		// of them twice.
		c := newCluster("one", "two")
		c.setOwner("one", true)
		t := c.startTrainer()
		expectSteps(t, 2)
		c.declareGroups(2)
		stepsBefore := t.Report().Steps
		Eventually(func() int { return t.Report().Steps }, "30s", "10ms").Should(BeNumerically(">=", stepsBefore+4))
		c.crash("one")
		c.setOwner("two", true)
		stepsBefore = t.Report().Steps
		Eventually(func() int { return t.Report().Steps }, "30s", "10ms").Should(BeNumerically(">=", stepsBefore+4))
		before := t.Report()
		Eventually(func() int { return t.Report().Steps }, "30s", "10ms").Should(BeNumerically(">=", before.Steps+4))
		after := t.Report()
		Expect(after.Duplicates + after.Mislabelled + after.Stale).To(BeZero())
		Expect(after.Samples - before.Samples).To(BeNumerically("<=", (after.Steps-before.Steps+1)*samplesPerStep/2))
	})

	// The prompt of one group crashes every engine that runs it. Its samples
	// are quarantined for an hour. If the step waited for them, the trainer
	// would idle as long. So the trainer is notified, once for each sample, that
	// the sample can't be generated.
	It("reports the samples of a group as failed if its prompt crashes engines", func() {
		c := newCluster("one")
		c.engines.poison = "remind 1 2"
		c.setOwner("one", true)
		t := c.startTrainer()
		expectSteps(t, 4)
		Expect(t.Report().Failed).To(Equal(4))
	})

	It("refuses a trainer without the feed's key", func() {
		c := newCluster("one")
		c.setOwner("one", true)
		conn, err := grpc.NewClient(c.addresses()[0], grpc.WithTransportCredentials(insecure.NewCredentials()))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		ctx = metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer wrong")
		_, err = trainerpb.NewTrainerClient(conn).Pull(ctx, &trainerpb.PullRequest{Deployment: deployment, Feed: feed})
		Expect(status.Code(err)).To(Equal(codes.Unauthenticated))
	})
})
