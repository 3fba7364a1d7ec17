package observe

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "observe")
}

var _ = Describe("metrics as text", func() {
	It("contains counters, and timers with their quantiles in milliseconds", func() {
		registry := metrics.NewRegistry()
		metrics.GetOrRegisterCounter("b.counter", registry).Inc(7)
		timer := metrics.GetOrRegisterTimer("a.timer", registry)
		for range 10 {
			timer.Update(20 * time.Millisecond)
		}
		var out strings.Builder
		writeText(&out, registry)
		Expect(out.String()).To(Equal("a.timer.count 10\na.timer.ms.p100 20.0\na.timer.ms.p50 20.0\na.timer.ms.p95 20.0\na.timer.ms.p99 20.0\nb.counter 7\n"))
	})
})
