package demo

import (
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/api/platformpb"
)

var _ = Describe("an entry that starts", func() {
	// An entry is restarted while the instance list lags and does not contain the agents.
	// It receives a configuration from the other entries immediately. If it listened
	// then, it would answer a caller that there is no endpoint, although the other
	// entries could serve the request. So it listens only when its services have
	// endpoints.
	It("accepts no requests before it has endpoints", func() {
		s := startSite()
		entry := s.Entries[0]
		cmd := s.processes[entry.ID]
		s.signal(syscall.SIGKILL, entry.ID)
		_ = cmd.Wait()
		s.publishEntriesOnly()
		s.start(entry.ID, cmd.Args)
		publish := time.AfterFunc(time.Second, func() { _ = PublishInstances(s.dir, s.layout) })
		defer publish.Stop()

		lookups := trafficOf(s.Site)[0]
		var first loadResponse
		Eventually(func() error {
			first = newClient().sendOnce(lookups, lookups.newRequest(1), entry)
			return first.err
		}).WithTimeout(startTimeout).Should(Succeed())
		Expect(first.problem.Reason).To(BeEmpty())
		Expect(first.status).To(Equal(200))
	})
})

// publishEntriesOnly sends the platform an instance list without the site's agents.
func (s *runningSite) publishEntriesOnly() {
	text, err := os.ReadFile(filepath.Join(s.dir, "instances-"+s.Deployment+".json"))
	Expect(err).NotTo(HaveOccurred())
	var all, entries []*platformpb.Instance
	Expect(json.Unmarshal(text, &all)).To(Succeed())
	for _, instance := range all {
		if instance.Role == "entry" {
			entries = append(entries, instance)
		}
	}
	text, err = json.Marshal(entries)
	Expect(err).NotTo(HaveOccurred())
	Expect(post(s.Control, "/instances", text)).To(Succeed())
	time.Sleep(time.Second) // twice the lag of the instance list
}
