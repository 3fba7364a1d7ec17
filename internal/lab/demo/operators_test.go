package demo

import (
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/api/operatorpb"
)

const applyTimeout = 30 * time.Second

// declarationsWithWeight returns the declarations with the weight for one agency.
func (s *runningSite) declarationsWithWeight(weight string) []*operatorpb.File {
	files := s.declarations()
	for _, f := range files {
		f.Text = strings.Replace(f.Text, "[agency nadiad-desk]\nbusiness = collections", "[agency nadiad-desk]\nbusiness = collections\nweight = "+weight, 1)
	}
	return files
}

// revisions returns the lowest and the highest revision that instances use, as the entry
// reports them.
func (s *runningSite) revisions(through Instance) (low, high int64) {
	client, ctx := s.operatorClient(through)
	reply, err := client.Status(ctx, &operatorpb.StatusRequest{Deployment: s.Deployment})
	if err != nil || len(reply.Instances) == 0 {
		return 0, 0
	}
	low = reply.Instances[0].Revision
	for _, in := range reply.Instances {
		if in.State == stateUnreachable {
			continue
		}
		low = min(low, in.Revision)
		high = max(high, in.Revision)
	}
	return low, high
}

const stateUnreachable = "unreachable"

var _ = Describe("operators of a deployment of real processes", func() {
	// Two operators change the same revision concurrently through different entries. One
	// change must be accepted. The other one must be refused, with a list of the changes
	// that were made instead, and must not take effect.
	It("accepts one of two concurrent changes", func() {
		s := startSite()
		outcomes := make([]*operatorpb.ApplyResponse, 2)
		var wg sync.WaitGroup
		for i, weight := range []string{"2", "3"} {
			wg.Go(func() {
				defer GinkgoRecover()
				client, ctx := s.operatorClient(s.Entries[i])
				reply, err := client.Apply(ctx, &operatorpb.ApplyRequest{Deployment: s.Deployment, Files: s.declarationsWithWeight(weight), ExpectedRevision: 1, ChangeId: "race-" + weight})
				Expect(err).NotTo(HaveOccurred())
				outcomes[i] = reply
			})
		}
		wg.Wait()
		Expect([]operatorpb.ApplyOutcome{outcomes[0].Outcome, outcomes[1].Outcome}).To(ConsistOf(
			operatorpb.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, operatorpb.ApplyOutcome_APPLY_OUTCOME_REFUSED))
		for _, o := range outcomes {
			if o.Outcome == operatorpb.ApplyOutcome_APPLY_OUTCOME_REFUSED {
				Expect(o.Changes).NotTo(BeEmpty(), "what changed instead")
			}
		}
	})
	// The entry that accepted a change is killed immediately afterwards. All remaining
	// instances must use the change, and its audit record must be kept.
	It("keeps an accepted change when the entry that accepted it is killed", func() {
		s := startSite()
		client, ctx := s.operatorClient(s.Entries[1])
		reply, err := client.Apply(ctx, &operatorpb.ApplyRequest{Deployment: s.Deployment, Files: s.declarationsWithWeight("5"), ExpectedRevision: 1, ChangeId: "kept"})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Outcome).To(Equal(operatorpb.ApplyOutcome_APPLY_OUTCOME_ACCEPTED))
		s.signal(syscall.SIGKILL, s.Entries[1].ID)
		Eventually(func(g Gomega) {
			low, high := s.revisions(s.Entries[0])
			g.Expect(low).To(Equal(reply.Revision))
			g.Expect(high).To(Equal(reply.Revision))
		}).WithTimeout(applyTimeout).Should(Succeed())
		client, ctx = s.operatorClient(s.Entries[2])
		audit, err := client.Audit(ctx, &operatorpb.AuditRequest{Deployment: s.Deployment})
		Expect(err).NotTo(HaveOccurred())
		last := audit.Records[len(audit.Records)-1]
		Expect(last.ChangeId).To(Equal("kept"))
		Expect(last.Operator).To(Equal("demo"))
	})
})
