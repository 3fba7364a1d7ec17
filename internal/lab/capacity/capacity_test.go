package capacity_test

import (
	"bytes"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/lab/capacity"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "capacity")
}

var _ = Describe("the figures at the expected size", func() {
	sample := func(role string, entries, agents int, cpu, kilobytes, busiest float64) capacity.Sample {
		return capacity.Sample{Role: role, Entries: entries, Agents: agents, CPUPercent: cpu, Kilobytes: kilobytes, Busiest: busiest, Megabytes: 25}
	}
	figure := func(samples []capacity.Sample, name string) float64 {
		for _, f := range capacity.Figures(samples) {
			if f.Name == name {
				return f.Value
			}
		}
		Fail("no figure " + name)
		return 0
	}
	samples := []capacity.Sample{
		sample("entry", 10, 90, 1.5, 8, 9),
		sample("entry", 20, 180, 1.0, 8, 10),
		sample("agent", 10, 90, 0.2, 2, 2),
		sample("agent", 20, 180, 0.2, 2, 2),
	}

	// A cost that is shared among few processes falls at first as the fleet grows. A
	// line through such samples would predict less than any measured cost, or even a
	// negative one.
	It("are extrapolated if they rise with the size, and are those of the largest size if they fall", func() {
		Expect(figure(samples, "control.cpu_share")).To(Equal(1.0))
		Expect(figure(samples, "control.bytes_per_s")).To(BeNumerically("~", (10+0.01*(1670-200))*1024, 1))
	})

	It("can be written to a file, loaded and printed with the bytes by use", func() {
		path := filepath.Join(GinkgoT().TempDir(), "samples")
		samples[0].Uses = map[string]float64{"traffic.list": 2600}
		Expect(capacity.Append(path, samples[:2])).To(Succeed())
		Expect(capacity.Append(path, samples[2:])).To(Succeed())
		loaded, err := capacity.Load(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded).To(Equal(samples))
		var out bytes.Buffer
		Expect(capacity.Report(&out, loaded)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("traffic.list"))
	})

	It("fail if they exceed the bounds", func() {
		limits, err := bounds.Load("../../../bench/capacity.ini")
		Expect(err).NotTo(HaveOccurred())
		var out bytes.Buffer
		Expect(bounds.Report(&out, capacity.Figures(samples), limits, false)).To(Equal(1), "the busiest entry's bytes")
	})
})
