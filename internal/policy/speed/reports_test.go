package speed_test

import (
	"errors"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/speed"
)

var _ = Describe("the exchange of speeds", func() {
	report := func(i int, seconds float64, age time.Duration) speed.Report {
		return speed.Report{Key: key(i), Seconds: seconds, Units: 100, Age: age}
	}
	merge := func(m *speed.Model, reports ...speed.Report) { Expect(m.Merge(start, "a", reports)).To(BeEmpty()) }
	seconds := func(m *speed.Model, i int) float64 { return m.Estimate(key(i)).Seconds }

	It("lets a process without measurements know uneven speeds, the changed ones first", func() {
		f := newFleet(1, 0.002, 6, mixed()...)
		f.run(7*time.Second, nil)
		standby := speed.NewModel()
		for range 2 {
			raw, err := speed.EncodeReports(f.model.Reports(f.now, 32))
			Expect(err).NotTo(HaveOccurred())
			Expect(len(raw)).To(BeNumerically("<=", 32*speed.ReportBytes))
			reports, err := speed.DecodeReports(raw)
			Expect(err).NotTo(HaveOccurred())
			Expect(standby.Merge(f.now, "a", reports)).To(BeEmpty())
		}
		Expect(f.model.Reports(f.now, 32)).To(BeEmpty(), "each has been reported")
		Expect(standby.Uneven()).To(BeTrue())
		for i := range f.seconds {
			Expect(seconds(standby, i)).To(BeNumerically("~", f.estimate(i), 1e-9))
		}
		for range 2 {
			f.model.Observe(speed.Observation{Key: key(5), At: f.now, Seconds: 0.18, Units: 8})
		}
		Expect(f.model.Reports(f.now, 100)).To(ConsistOf(HaveField("Key", key(5))))
		f.run(3*time.Second, nil)
		Expect(f.model.Reports(f.now, 30)).To(HaveLen(30))
		Expect(len(f.model.Reports(f.now, 100))).To(BeNumerically("<=", 14), "those that were not in the first part")
	})

	It("prefers own measurements of at least 16 units, then the newest report", func() {
		m := speed.NewModel()
		merge(m, report(0, 0.05, time.Second))
		merge(m, report(0, 0.2, 5*time.Second))
		for _, expected := range []float64{0.05, 0.03} {
			m.Observe(speed.Observation{Key: key(0), At: start, Seconds: 0.03, Units: 8})
			Expect(seconds(m, 0)).To(BeNumerically("~", expected, 1e-9))
		}
		merge(m, report(0, 0.05, 0))
		Expect(seconds(m, 0)).To(BeNumerically("~", 0.03, 1e-9))
	})

	It("drops reports after 10 s, and then decides by own measurements alone", func() {
		m := speed.NewModel()
		merge(m, report(0, 0.05, time.Second), report(1, 0.05, 11*time.Second))
		Expect(m.Estimate(key(0)).Units).To(Equal(100))
		Expect(m.Estimate(key(1)).Units).To(BeZero())
		m.Observe(speed.Observation{Key: key(2), At: start.Add(10 * time.Second), Seconds: 0.04, Units: 16})
		Expect(m.Estimate(key(0))).To(Equal(speed.Estimate{Seconds: 0.04}), "the median of own measurements")
	})

	It("names the sender and field of each value out of range and uses the rest", func() {
		bad, fields := []speed.Report{}, []string{}
		add := func(field string, r speed.Report) { bad, fields = append(bad, r), append(fields, field) }
		m := speed.NewModel()
		for _, value := range []float64{math.NaN(), math.Inf(1), 0, -1, speed.MaxSeconds + 1} {
			add("Seconds", report(1, value, 0))
			m.Observe(speed.Observation{Key: key(1), At: start, Seconds: value, Units: 8})
		}
		m.Observe(speed.Observation{Key: key(1), At: start, Seconds: 1, Units: 8, Others: math.NaN()})
		m.Observe(speed.Observation{Key: key(1), At: start, Seconds: 1, Units: 0})
		add("Age", report(1, 0.03, -time.Second))
		add("Units", speed.Report{Key: key(1), Seconds: 0.03})
		add("Key.Endpoint", speed.Report{Seconds: 0.03, Units: 20})
		add("Key.StartedAtMillis", speed.Report{Key: speed.Key{Endpoint: "e", StartedAtMillis: -1}, Seconds: 0.03, Units: 20})
		bad, fields = append(bad, make([]speed.Report, speed.MaxReports)...), append(fields, "Speeds")
		bad[len(fields)-1] = report(0, 0.05, 0)
		faults := m.Merge(start, "a", bad)
		for i, field := range fields[:len(fields)-1] {
			var fault *speed.FieldError
			Expect(errors.As(faults[i], &fault)).To(BeTrue())
			Expect([]string{fault.From, fault.Field}).To(Equal([]string{"a", field}))
		}
		Expect(faults[len(faults)-1]).To(MatchError(ContainSubstring("Speeds")), "more than 256 reports")
		Expect(m.Estimate(key(0)).Units).To(Equal(100))
		Expect(m.Estimate(key(1)).Units).To(BeZero())
	})
})

// FuzzDecodeReports checks that a message of another process is decoded or rejected without a
// panic, and that whatever is decoded leaves all estimates finite and positive.
func FuzzDecodeReports(f *testing.F) {
	raw, err := speed.EncodeReports([]speed.Report{{Key: key(0), Seconds: 0.03, Units: 16, Age: time.Second}, {Key: key(1), Seconds: math.NaN(), Units: -1, Age: -1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Add([]byte("torn"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		reports, err := speed.DecodeReports(raw)
		if err != nil {
			return
		}
		m := speed.NewModel()
		m.Merge(start, "a", reports)
		for _, r := range reports {
			if seconds := m.Estimate(r.Key).Seconds; !(seconds >= 0 && seconds <= speed.MaxSeconds) {
				t.Fatalf("estimate of %v after %v", seconds, r)
			}
		}
	})
}
