package fairshare_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/fairshare"
)

// demand returns the demand of a customer of weight 1.
func demand(customer string, waiting int) fairshare.Demand {
	return fairshare.Demand{Customer: customer, Weight: 1, Waiting: waiting}
}

func report(process string, slots int, demands ...fairshare.Demand) fairshare.Report {
	return fairshare.Report{Process: process, Service: service, At: start, Slots: slots, Demands: demands}
}

var _ = Describe("a division", func() {
	It("gives customers that ask for less than the level all of it, and the others the same", func() {
		got := fairshare.Divide(12, []fairshare.Report{
			report("p0", 12, demand("small", 2), demand("large", 30)),
			report("p1", 12, demand("large", 10), demand("middle", 20)),
		})
		Expect(got["p0"].Level).To(Equal(5.0))
		Expect(got["p0"].Slots).To(Equal(6), "2 and three quarters of 5")
		Expect(got["p1"].Slots).To(Equal(6), "5 and a quarter of 5")
		Expect(got["p0"].Customers).To(HaveKey("large"))
		Expect(got["p0"].Customers["large"] + got["p1"].Customers["large"]).To(BeNumerically("~", 5, 1))
		Expect(got["p1"].Customers).To(HaveKeyWithValue("middle", 5))
	})

	It("is by weight", func() {
		heavy := demand("heavy", 50)
		heavy.Weight = 3
		got := fairshare.Divide(12, []fairshare.Report{report("p0", 12, heavy), report("p1", 12, demand("light", 50))})
		Expect(got["p0"].Slots).To(Equal(9))
		Expect(got["p1"].Slots).To(Equal(3))
	})

	It("lends every process what nobody asks for", func() {
		got := fairshare.Divide(12, []fairshare.Report{report("p0", 12, demand("a", 4)), report("p1", 12, demand("b", 1))})
		Expect(got["p0"]).To(Equal(fairshare.Allotment{Slots: 11, Processes: 2}))
		Expect(got["p1"]).To(Equal(fairshare.Allotment{Slots: 8, Processes: 2}))
	})

	It("gives no process more slots than it can use", func() {
		got := fairshare.Divide(12, []fairshare.Report{report("p0", 10, demand("a", 30)), report("p1", 12, demand("b", 1))})
		Expect(got["p0"].Slots).To(Equal(10))
		Expect(fairshare.Divide(12, []fairshare.Report{report("p0", 10, demand("a", 1))})["p0"].Slots).To(Equal(10))
	})

	It("gives each process a slot", func() {
		var reports []fairshare.Report
		for i := range 17 {
			reports = append(reports, report(fmt.Sprint("p", i), 0, demand(fmt.Sprint("c", i), 3)))
		}
		for _, capacity := range []int{0, 12} {
			for _, a := range fairshare.Divide(capacity, reports) {
				Expect(a.Slots).To(Equal(1))
			}
		}
	})

	It("counts unlisted customers as many small ones", func() {
		unlisted := report("p0", 10, demand("a", 1))
		unlisted.Rest = 9
		got := fairshare.Divide(11, []fairshare.Report{unlisted, report("p1", 11, demand("large", 100))})
		Expect(got["p0"].Slots).To(Equal(10))
	})
})

var _ = Describe("the reports of a large fleet", func() {
	const processes, customers = 440, 10_000

	DescribeTable("take at most 3 kB each and 10 kB per second", func(silent ...string) {
		client := fairshare.NewClient("edge-failure-domain-a-17")
		view := fairshare.View{Service: "service-with-a-name", Slots: 7800}
		for i := range customers {
			d := demand(fmt.Sprint("customer-with-a-name-", i), 1000+i%70_000)
			d.Weight, d.InFlight = 1.1, 70_000
			view.Demands = append(view.Demands, d)
		}
		var sent bytes.Buffer
		encoder := gob.NewEncoder(&sent)
		largest, before, answered := 0, 0, 0
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(checkEvery) {
			for i := range 3 {
				view.Service = fmt.Sprint("service-with-a-name-", i)
				calls, _ := client.Check(now, view, fairshare.Fleet{Workers: []string{"w0", "w1"}})
				for _, call := range calls {
					Expect(len(call.Report.Demands)).To(BeNumerically("<=", 64))
					Expect(encoder.Encode(call.Report)).To(Succeed())
					if before > 0 { // the first one contains the description of the types
						largest = max(largest, sent.Len()-before)
					}
					before = sent.Len()
					if slices.Contains(silent, call.Worker) {
						client.Failed(now, call)
						continue
					}
					answered++
					client.Answered(now, call, fairshare.Allotment{Slots: 1, Processes: 1})
				}
			}
		}
		AddReportEntry("largest report, bytes per second, answers", fmt.Sprint(largest, " ", sent.Len()/10, " ", answered))
		Expect(largest).To(BeNumerically("<=", 3000))
		Expect(sent.Len() / 10).To(BeNumerically("<=", 10_000))
		Expect(answered > 0).To(Equal(len(silent) < 2))
	},
		Entry("all workers answer"),
		Entry("one does not", "w0"),
		Entry("the other one does not", "w1"),
		Entry("none answers", "w0", "w1"),
	)

	It("become rarer with the number of processes, and stay valid for longer than the time between them", func() {
		Expect(fairshare.Interval(40)).To(Equal(100 * time.Millisecond))
		Expect(fairshare.Interval(processes)).To(Equal(1100 * time.Millisecond))
		for n := range 2000 {
			Expect(fairshare.Validity(n)).To(BeNumerically(">=", 3*fairshare.Interval(n)))
		}
	})
})

var _ = Describe("a report with values that cannot be used", func() {
	It("is used without them, and each is named", func() {
		r := report("p0", -1, demand("good", 3), demand("good", 4), demand(strings.Repeat("x", 300), 1))
		r.Demands = append(r.Demands, fairshare.Demand{Customer: "nan", Weight: math.NaN(), Waiting: 2}, fairshare.Demand{Customer: "less", Weight: -1, InFlight: -5, Waiting: 1})
		r.At, r.Rest = start.Add(time.Hour), 1<<40
		got, faults, err := r.Check(start)
		Expect(err).NotTo(HaveOccurred())
		fields := map[string]int{}
		for _, fault := range faults {
			fields[fault.(*fairshare.FieldError).Field]++
		}
		Expect(fields).To(Equal(map[string]int{"At": 1, "Slots": 1, "Rest": 1, "Demands.Customer": 2, "Demands.Weight": 2, "Demands.InFlight": 1}))
		Expect(got).To(Equal(fairshare.Report{Process: "p0", Service: service, At: start, Demands: []fairshare.Demand{demand("good", 3), demand("nan", 2), demand("less", 1)}}))
	})

	It("is refused if it names no process or service", func() {
		_, _, err := (fairshare.Report{Service: service}).Check(start)
		Expect(err).To(MatchError(fairshare.ErrUnidentified))
	})

	It("does not replace a newer one", func() {
		table := fairshare.NewTable()
		_, err := table.Exchange(start, report("p1", 12, demand("b", 100)))
		Expect(err).NotTo(HaveOccurred())
		newer := report("p0", 12, demand("a", 100))
		newer.At = start.Add(time.Millisecond)
		for _, r := range []fairshare.Report{newer, report("p0", 12, demand("a", 1))} {
			a, err := table.Exchange(start, r)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Slots).To(Equal(6))
		}
	})
})

var _ = Describe("reports that are recorded at nearly the same time", func() {
	// Guards against a process that loses its part of a service for an interval because another
	// one's report, taken up a moment earlier, is recorded after it.
	It("all count, also if the later one is recorded first", func() {
		table := fairshare.NewTable()
		for i, at := range []time.Duration{0, 0, 150 * time.Millisecond, 150*time.Millisecond - time.Microsecond} {
			r := report(fmt.Sprint("p", i%2), 12, demand(fmt.Sprint("customer-", i%2), 100))
			r.At = start.Add(at)
			a, err := table.Exchange(start.Add(at), r)
			Expect(err).NotTo(HaveOccurred())
			if i > 0 {
				Expect(a.Slots).To(Equal(6), "exchange %d", i)
			}
		}
	})
})

// FuzzReport checks that a report of any content from another process, and the allotment that it
// leads to, are decoded, corrected and used without a panic, and that the result is in range.
func FuzzReport(f *testing.F) {
	var good bytes.Buffer
	if err := gob.NewEncoder(&good).Encode(report("p0", 12, demand("a", 3))); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes(), 1.0, 3, 4, 12, 7)
	f.Add(good.Bytes()[:good.Len()/2], math.Inf(1), -1, 1<<60, 0, -7)
	f.Add([]byte{0xff, 0x7f}, math.NaN(), 0, 0, 1<<62, 1<<62)
	f.Fuzz(func(t *testing.T, raw []byte, weight float64, inFlight, waiting, slots, rest int) {
		var decoded fairshare.Report
		_ = gob.NewDecoder(bytes.NewReader(raw)).Decode(&decoded)
		built := report("p1", slots, fairshare.Demand{Customer: "a", Weight: weight, InFlight: inFlight, Waiting: waiting})
		built.Rest = rest
		table := fairshare.NewTable()
		for _, r := range []fairshare.Report{decoded, built} {
			usable, _, err := r.Check(start)
			if err != nil {
				continue
			}
			a, err := table.Exchange(start, usable)
			if err != nil {
				t.Fatal(err)
			}
			if _, faults, err := a.Check(); err != nil || len(faults) > 0 {
				t.Fatalf("allotment %+v: %v %v", a, err, faults)
			}
		}
	})
}

// BenchmarkDivide divides the slots of 1,300 endpoints between 440 processes with 64 listed of
// 10,000 customers each.
func BenchmarkDivide(b *testing.B) {
	const processes, customers = 440, 10_000
	reports := make([]fairshare.Report, processes)
	for i := range reports {
		reports[i] = report(fmt.Sprint("p", i), 7800)
		for k := range 64 {
			reports[i].Demands = append(reports[i].Demands, demand(fmt.Sprint("customer-", (i*64+k*157)%customers), 1+(64-k)/4))
		}
		reports[i].Rest = 100
	}
	b.ReportAllocs()
	for b.Loop() {
		fairshare.Divide(7800, reports)
	}
}
