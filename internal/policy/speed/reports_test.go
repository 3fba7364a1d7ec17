package speed_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/speed"
)

func badObservations() []speed.Observation {
	return []speed.Observation{
		{Key: key(0), At: start, Seconds: math.NaN(), Units: 8},
		{Key: key(0), At: start, Seconds: math.Inf(1), Units: 8},
		{Key: key(0), At: start, Seconds: 0, Units: 8},
		{Key: key(0), At: start, Seconds: -1, Units: 8},
		{Key: key(0), At: start, Seconds: speed.MaxSeconds + 1, Units: 8},
		{Key: key(0), At: start, Seconds: 1, Units: 0},
		{Key: key(0), At: start, Seconds: 1, Units: 8, Others: math.NaN()},
		{Key: key(0), At: start, Seconds: 1, Units: 8, Others: -1},
		{At: start, Seconds: 1, Units: 8},
	}
}

var _ = Describe("the exchange of speeds", func() {
	report := func(i int, seconds float64) speed.Report {
		return speed.Report{Key: key(i), Seconds: seconds, Units: 100, Age: time.Second}
	}

	It("lets a process without measurements know uneven speeds and decide at once", func() {
		f := newFleet(1, 0.002, mixed(11, 33)...)
		f.startAll(6)
		f.run(stepTime, func() {})
		standby := speed.NewModel()
		for range 2 {
			reports := f.model.Reports(f.now, 32)
			raw, err := speed.EncodeReports(reports)
			Expect(err).NotTo(HaveOccurred())
			Expect(len(raw)).To(BeNumerically("<=", speed.ReportBytes*len(reports)+150))
			decoded, err := speed.DecodeReports(raw)
			Expect(err).NotTo(HaveOccurred())
			Expect(standby.Merge(f.now, "a", decoded)).To(BeEmpty())
		}
		Expect(f.model.Reports(f.now, 32)).To(BeEmpty(), "each has been reported")
		Expect(standby.Uneven()).To(BeTrue())
		for i := range f.seconds {
			Expect(standby.Estimate(key(i)).Seconds).To(BeNumerically("~", f.estimate(i), 1e-9))
		}
	})

	It("reports a change at once and before others", func() {
		f := newFleet(2, 0, equal(8, 0.03)...)
		f.startAll(2)
		f.run(4*time.Second, func() {})
		Expect(f.model.Reports(f.now, 100)).To(HaveLen(8))
		f.model.Observe(speed.Observation{Key: key(5), At: f.now, Seconds: 0.18, Units: 8})
		f.model.Observe(speed.Observation{Key: key(5), At: f.now, Seconds: 0.18, Units: 8})
		reports := f.model.Reports(f.now, 100)
		Expect(reports).To(HaveLen(1))
		Expect(reports[0].Key).To(Equal(key(5)))
		f.run(3*time.Second, func() {})
		Expect(f.model.Reports(f.now, 3)).To(HaveLen(3))
		Expect(f.model.Reports(f.now, 100)).To(HaveLen(5), "the others come next")
	})

	It("prefers own measurements of at least 16 units to reports", func() {
		m := speed.NewModel()
		m.Observe(speed.Observation{Key: key(0), At: start, Seconds: 0.03, Units: 8})
		Expect(m.Merge(start, "a", []speed.Report{report(0, 0.05)})).To(BeEmpty())
		Expect(m.Estimate(key(0)).Seconds).To(Equal(0.05))
		m.Observe(speed.Observation{Key: key(0), At: start, Seconds: 0.03, Units: 8})
		Expect(m.Estimate(key(0)).Seconds).To(BeNumerically("~", 0.03, 1e-9))
		Expect(m.Merge(start, "a", []speed.Report{report(0, 0.05)})).To(BeEmpty())
		Expect(m.Estimate(key(0)).Seconds).To(BeNumerically("~", 0.03, 1e-9))
	})

	It("drops reports after 10 s, and then decides by own measurements alone", func() {
		m := speed.NewModel()
		Expect(m.Merge(start, "a", []speed.Report{report(0, 0.05), {Key: key(1), Seconds: 0.05, Units: 20, Age: 11 * time.Second}})).To(BeEmpty())
		Expect(m.Estimate(key(0)).Units).To(Equal(100))
		Expect(m.Estimate(key(1)).Units).To(BeZero(), "too old when it arrived")
		m.Observe(speed.Observation{Key: key(2), At: start.Add(10 * time.Second), Seconds: 0.04, Units: 16})
		Expect(m.Estimate(key(0))).To(Equal(speed.Estimate{Seconds: 0.04}), "the median of own measurements")
	})

	It("keeps the newer of two reports that arrive out of order", func() {
		m := speed.NewModel()
		newer, older := report(0, 0.05), report(0, 0.2)
		older.Age = 5 * time.Second
		Expect(m.Merge(start, "a", []speed.Report{newer})).To(BeEmpty())
		Expect(m.Merge(start, "b", []speed.Report{older})).To(BeEmpty())
		Expect(m.Estimate(key(0)).Seconds).To(Equal(0.05))
	})

	It("names the sender and field of each value out of range and uses the rest", func() {
		m := speed.NewModel()
		change := func(edit func(*speed.Report)) speed.Report {
			r := report(1, 0.03)
			edit(&r)
			return r
		}
		faults := m.Merge(start, "a", []speed.Report{
			change(func(r *speed.Report) { r.Seconds = math.NaN() }),
			change(func(r *speed.Report) { r.Seconds = math.Inf(1) }),
			change(func(r *speed.Report) { r.Seconds = 0 }),
			change(func(r *speed.Report) { r.Seconds = -1 }),
			change(func(r *speed.Report) { r.Seconds = 1e9 }),
			change(func(r *speed.Report) { r.Units = 0 }),
			change(func(r *speed.Report) { r.Age = -time.Second }),
			change(func(r *speed.Report) { r.Key.Endpoint = "" }),
			change(func(r *speed.Report) { r.Key.StartedAtMillis = -1 }),
			report(0, 0.05),
		})
		var fields []string
		for _, fault := range faults {
			var field *speed.FieldError
			Expect(fault).To(BeAssignableToTypeOf(field))
			field = fault.(*speed.FieldError)
			Expect(field.From).To(Equal("a"))
			fields = append(fields, field.Field)
		}
		Expect(fields).To(Equal([]string{"Seconds", "Seconds", "Seconds", "Seconds", "Seconds", "Units", "Age", "Key.Endpoint", "Key.StartedAtMillis"}))
		Expect(m.Estimate(key(0)).Seconds).To(Equal(0.05))
		Expect(m.Estimate(key(1)).Units).To(BeZero())
	})

	It("uses at most 256 reports of a message", func() {
		reports := make([]speed.Report, speed.MaxReports+10)
		for i := range reports {
			reports[i] = report(i, 0.03)
		}
		m := speed.NewModel()
		Expect(m.Merge(start, "a", reports)).To(HaveLen(1))
		Expect(m.Estimate(key(speed.MaxReports)).Units).To(BeZero())
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
				t.Fatal(fmt.Sprint("estimate of ", seconds, " after ", r))
			}
		}
	})
}
