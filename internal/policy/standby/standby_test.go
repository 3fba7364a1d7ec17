package standby_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/standby"
)

func TestStandby(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Standby")
}

var _ = Describe("FailureDetector", func() {
	start := time.Unix(1000, 0)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var d *standby.FailureDetector

	BeforeEach(func() {
		d = standby.NewFailureDetector()
		d.Retain(start, []string{"a"})
	})

	// failPings lets every ping of the owner fail until the given number of milliseconds after
	// the start.
	failPings := func(until int) {
		for ms := 0; ms <= until; ms += 100 {
			for _, name := range d.DuePings(after(ms)) {
				d.RecordFailure(name)
			}
		}
	}

	It("pings an owner once per interval", func() {
		Expect(d.DuePings(after(100))).To(BeEmpty())
		Expect(d.DuePings(after(300))).To(Equal([]string{"a"}))
		Expect(d.DuePings(after(400))).To(BeEmpty())
	})

	It("considers an owner lost if it answers neither this process nor others", func() {
		failPings(1300)
		Expect(d.Lost(after(1300), "a")).To(BeFalse())
		Expect(d.DueIndirectPings(after(1300))).To(Equal([]string{"a"}))
		d.RecordIndirectFailure(after(1310), "a")
		Expect(d.Lost(after(1310), "a")).To(BeTrue())
	})

	It("does not consider an owner lost while it answers another process", func() {
		// Only the link between the two processes has failed: a second owner would run every
		// item twice.
		failPings(1300)
		d.RecordIndirectFailure(after(1310), "a")
		d.RecordContact(after(1320), "a")
		Expect(d.Lost(after(1320), "a")).To(BeFalse())
	})

	It("does not consider an owner lost while no other process confirms the failure", func() {
		// This process may be the one that is disconnected, and the owner may still be running.
		failPings(5000)
		Expect(d.Lost(after(5000), "a")).To(BeFalse())
	})

	It("requires failed pings as well as elapsed time, as this process may have been suspended", func() {
		d.RecordIndirectFailure(after(9000), "a")
		Expect(d.Lost(after(9000), "a")).To(BeFalse())
	})

	It("gives an owner that restarts within a second time to continue its jobs", func() {
		failPings(1000)
		d.RecordIndirectFailure(after(1000), "a")
		Expect(d.Lost(after(1000), "a")).To(BeFalse())
	})

	It("ignores an expired report from another process", func() {
		// The owner may have become reachable from that process again in the meantime.
		failPings(3000)
		d.RecordIndirectFailure(after(1300), "a")
		Expect(d.Lost(after(3000), "a")).To(BeFalse())
	})

	It("drops the state of owners without jobs", func() {
		// An owner that gets jobs again must not count as lost because of pings that failed
		// before.
		failPings(1300)
		d.Retain(after(1300), nil)
		d.Retain(after(1400), []string{"a"})
		d.RecordIndirectFailure(after(1400), "a")
		Expect(d.Lost(after(1400), "a")).To(BeFalse())
	})
})
