package demo

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"siskinloom.example/siskinloom/api/operatorpb"
	"siskinloom.example/siskinloom/internal/engineapi"
)

const (
	poisonSubmissions = 6
	resendInterval    = 500 * time.Millisecond
)

// countHealthy counts the site's endpoints of a service that answer.
func (s *runningSite) countHealthy(service string) int {
	n := 0
	for _, a := range s.Agents {
		if a.Service != service {
			continue
		}
		if status, _, err := fasthttp.GetTimeout(nil, "http://"+a.Endpoint+engineapi.PathHealth, time.Second); err == nil && status == fasthttp.StatusOK {
			n++
		}
	}
	return n
}

var _ = Describe("a request that crashes its endpoints", func() {
	// A draft crashes each engine that runs it, and its caller resends it repeatedly
	// through different entries, each time as a new request. After two crashes every
	// entry must refuse it, while other drafts are answered. Operators must see it in
	// quarantine and be able to release it.
	It("reaches two endpoints at most, is shown to operators and can be released", func() {
		s := startSite()
		body, err := json.Marshal(engineapi.CompletionRequest{Model: s.Model, Prompt: "POISON for one debtor", MaxTokens: maxTokens})
		Expect(err).NotTo(HaveOccurred())
		request := loadRequest{method: "POST", path: engineapi.PathCompletions, body: body}
		class := trafficClass{site: s.Site, key: "demo-draft-studio", deadline: 10 * time.Second}
		client := newClient()
		var response loadResponse
		for i := range poisonSubmissions {
			response = client.sendOnce(class, request, s.Entries[i%len(s.Entries)])
			time.Sleep(resendInterval)
		}
		Expect(response.problem.Reason).To(Equal("quarantined"))
		Expect(response.problem.Outcome).To(Equal("not-run"))
		Expect(s.countHealthy(s.Model)).To(BeNumerically(">=", siteEngines-2))
		operators, ctx := s.operatorClient(s.Entries[2])
		listed, err := operators.ListQuarantine(ctx, &operatorpb.ListQuarantineRequest{Deployment: s.Deployment})
		Expect(err).NotTo(HaveOccurred())
		Expect(listed.Entries).To(HaveLen(1))
		results := s.runLoad(func() {})
		Expect(resultOf(results, "draft").NotRun+resultOf(results, "draft").Unknown).To(BeZero(), "innocent drafts")
		released, err := operators.ReleaseQuarantine(ctx, &operatorpb.ReleaseQuarantineRequest{Deployment: s.Deployment, Fingerprint: listed.Entries[0].Fingerprint})
		Expect(err).NotTo(HaveOccurred())
		Expect(released.Released).To(BeTrue())
	})
})
