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

// byteCounter counts the bytes written to it.
type byteCounter struct{ bytes int }

func (c *byteCounter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

var _ = Describe("updates of counts", func() {
	It("take less than 2 kB per second at 370 processes, 4,300 requests per second and 10,000 customers", func() {
		const (
			seconds         = 60
			receivers       = 3 // the holder of the duty and two relays
			interval        = 370 * 2 * time.Millisecond
			requestInterval = time.Second * 370 / 4300
		)
		config := usage.Config{WindowLength: 5 * time.Second, DueAfter: 10 * time.Second}
		rnd := rand.New(rand.NewPCG(1, 2))
		now := time.Unix(1_000_000, 0)
		meter := usage.NewMeter(config, now)
		sent := &byteCounter{}
		encoder := gob.NewEncoder(sent)
		version, sentAt := int64(0), now
		for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(requestInterval) {
			meter.CountStart(fmt.Sprintf("customer-%d", rnd.IntN(10_000)), now)
			if now.Sub(sentAt) < interval {
				continue
			}
			through := meter.FinalThrough(now)
			Expect(encoder.Encode(usage.Update{Process: "edge-failure-domain-a-17", Boot: now.UnixNano(), Through: through, Tallies: meter.Since(version)})).To(Succeed())
			version, sentAt = meter.Version(), now
		}
		Expect(receivers * sent.bytes / seconds).To(BeNumerically("<", 2000))
		AddReportEntry("bytes a second", receivers*sent.bytes/seconds)
	})
})
