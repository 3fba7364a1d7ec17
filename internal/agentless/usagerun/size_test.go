package usagerun_test

import (
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/usage"
)

// counting counts bytes.
type counting struct{ bytes int }

func (c *counting) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

var _ = Describe("what a process tells of its counts", func() {
	It("stays under 2 kB a second at 370 processes, 4,300 requests a second and 10,000 customers", func() {
		const (
			seconds   = 60
			listeners = 3 // the holder of the duty and two scouts
			gap       = 370 * 2 * time.Millisecond
			every     = time.Second * 370 / 4300
		)
		rules := usage.Config{WindowLength: 5 * time.Second, DueAfter: 10 * time.Second}
		rnd := rand.New(rand.NewPCG(1, 2))
		now := time.Unix(1_000_000, 0)
		meter := usage.NewMeter(rules, now)
		sent := &counting{}
		encoder := gob.NewEncoder(sent)
		version, told := int64(0), now
		for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(every) {
			meter.CountStart(fmt.Sprintf("customer-%d", rnd.IntN(10_000)), now)
			if now.Sub(told) < gap {
				continue
			}
			through := meter.FinalThrough(now)
			Expect(encoder.Encode(usage.Update{Process: "edge-failure-domain-a-17", Boot: now.UnixNano(), Through: through, Tallies: meter.Since(version)})).To(Succeed())
			version, told = meter.Version(), now
		}
		Expect(listeners * sent.bytes / seconds).To(BeNumerically("<", 2000))
		AddReportEntry("bytes a second", listeners*sent.bytes/seconds)
	})
})
