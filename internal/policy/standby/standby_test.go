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

var _ = Describe("the watch over an owner", func() {
	start := time.Unix(1000, 0)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var w *standby.FailureDetector

	BeforeEach(func() {
		w = standby.NewFailureDetector()
		w.Retain(start, []string{"a"})
	})

	// silence lets the owner fail every ping until so many milliseconds after the start.
	silence := func(until int) {
		for ms := 0; ms <= until; ms += 100 {
			for _, name := range w.DuePings(after(ms)) {
				w.RecordFailure(name)
			}
		}
	}

	It("asks it every now and then", func() {
		Expect(w.DuePings(after(100))).To(BeEmpty())
		Expect(w.DuePings(after(300))).To(Equal([]string{"a"}))
		Expect(w.DuePings(after(400))).To(BeEmpty())
	})

	It("takes it for lost when it answers neither this process nor others", func() {
		silence(1300)
		Expect(w.Lost(after(1300), "a")).To(BeFalse())
		Expect(w.DueIndirectPings(after(1300))).To(Equal([]string{"a"}))
		w.RecordIndirectFailure(after(1310), "a")
		Expect(w.Lost(after(1310), "a")).To(BeTrue())
	})

	It("leaves it its jobs while it answers another process", func() {
		// The link between the two is cut: a second owner would run every item twice.
		silence(1300)
		w.RecordIndirectFailure(after(1310), "a")
		w.RecordContact(after(1320), "a")
		Expect(w.Lost(after(1320), "a")).To(BeFalse())
	})

	It("leaves it its jobs while nobody answers this process", func() {
		silence(5000)
		Expect(w.Lost(after(5000), "a")).To(BeFalse())
	})

	It("does not judge by the clock alone, as this process may have been the one that stood still", func() {
		w.RecordIndirectFailure(after(9000), "a")
		Expect(w.Lost(after(9000), "a")).To(BeFalse())
	})

	It("gives one that is back within a second time to go on by itself", func() {
		silence(1000)
		w.RecordIndirectFailure(after(1000), "a")
		Expect(w.Lost(after(1000), "a")).To(BeFalse())
	})

	It("asks others again before an old word of theirs counts", func() {
		silence(3000)
		w.RecordIndirectFailure(after(1300), "a")
		Expect(w.Lost(after(3000), "a")).To(BeFalse())
	})

	It("forgets owners without jobs", func() {
		silence(1300)
		w.Retain(after(1300), nil)
		w.Retain(after(1400), []string{"a"})
		w.RecordIndirectFailure(after(1400), "a")
		Expect(w.Lost(after(1400), "a")).To(BeFalse())
	})
})
