package intake_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/intake"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "intake")
}

var _ = Describe("the account of what callers hold", func() {
	const connections, memory = 4, 1000
	var l *intake.Ledger
	var now time.Time

	BeforeEach(func() {
		l = intake.NewLedger(intake.Limits{Connections: connections, Memory: memory})
		now = time.Unix(1000, 0)
	})

	open := func() intake.ID {
		id, _, ok := l.Open(now)
		ExpectWithOffset(1, ok).To(BeTrue())
		return id
	}
	after := func(d time.Duration) { now = now.Add(d) }
	reserve := func(id intake.ID, n int64) []intake.ID {
		victims, ok := l.Reserve(id, n, now)
		ExpectWithOffset(1, ok).To(BeTrue())
		return victims
	}
	expectUsage := func(connections int, memory int64) {
		gotConnections, gotMemory := l.Usage()
		ExpectWithOffset(1, gotConnections).To(Equal(connections))
		ExpectWithOffset(1, gotMemory).To(Equal(memory))
	}

	Describe("connections", func() {
		// Guards against a new caller that is turned away by connections on which nothing arrives.
		It("yield the one that has been silent for the longest time", func() {
			silent := open()
			after(time.Minute)
			for range connections - 1 {
				open()
			}
			_, victim, ok := l.Open(now)
			Expect(ok).To(BeTrue())
			Expect(victim).To(Equal(silent))
			expectUsage(connections, 0)
		})

		// Guards against an ordinary caller whose kept connection is closed, or whose request is given
		// up, to the benefit of clients that connect again and again and send nothing.
		It("yield stalled requests before kept connections, and these before requests that arrive", func() {
			kept, arriving, stalled, served := open(), open(), open(), open()
			l.Answered(kept, now)
			l.Arrived(served)
			after(2 * time.Second)
			l.Received(arriving, now)
			for _, expected := range []intake.ID{stalled, kept, arriving} {
				fresh, victim, ok := l.Open(now)
				Expect(ok).To(BeTrue())
				Expect(victim).To(Equal(expected))
				l.Arrived(fresh)
			}
			_, _, ok := l.Open(now)
			Expect(ok).To(BeFalse(), "a request is served on each")
		})

		// Guards against callers that take all connections by not reading their answers.
		It("yield an answer that is not read", func() {
			var ids []intake.ID
			for range connections {
				ids = append(ids, open())
				l.Arrived(ids[len(ids)-1])
			}
			l.Sending(ids[2], now, true)
			_, _, ok := l.Open(now)
			Expect(ok).To(BeFalse(), "it may be read in a moment")
			after(2 * time.Second)
			_, victim, ok := l.Open(now)
			Expect(ok).To(BeTrue())
			Expect(victim).To(Equal(ids[2]))
		})
	})

	// Guards against answers that are not read and hold the memory for those of others.
	It("yields the answer that has not been read for the longest time, once it has stalled", func() {
		slow, slower := open(), open()
		l.Arrived(slow)
		l.Arrived(slower)
		l.Sending(slower, now, true)
		l.Sending(slow, now, true)
		after(time.Second)
		l.Sending(slow, now, true) // a part was taken
		after(time.Second / 2)
		Expect(l.CloseStalled(now)).To(Equal(slower))
		Expect(l.CloseStalled(now)).To(Equal(intake.ID(0)))
		expectUsage(1, 0)
	})

	Describe("memory", func() {
		// Guards against ordinary requests that are refused as unfinished bodies take all memory.
		It("is given up by the unfinished request that took the most for the longest time", func() {
			small, large, young := open(), open(), open()
			reserve(small, 100)
			reserve(large, 800)
			after(time.Second)
			l.Answered(young, now)
			l.Received(young, now)
			Expect(reserve(young, 150)).To(Equal([]intake.ID{large}))
			expectUsage(3, 250)
		})

		// Guards against a request that is served without memory, or whose connection is closed while it
		// is being served, as its last byte arrives at the moment when it yields.
		It("is given up by a request that then can't be served any more, or by none", func() {
			yielding, served, other := open(), open(), open()
			reserve(yielding, 500)
			reserve(served, 400)
			after(time.Second)
			Expect(l.Arrived(served)).To(BeTrue())
			l.Answered(other, now)
			l.Received(other, now)
			Expect(reserve(other, 200)).To(Equal([]intake.ID{yielding}))
			Expect(l.Arrived(yielding)).To(BeFalse())
			Expect(l.Arrived(other)).To(BeTrue())
			l.Close(other)
			Expect(l.Arrived(other)).To(BeFalse(), "its connection has yielded")
		})

		It("is not given up by a request that is being served", func() {
			served, other := open(), open()
			reserve(served, memory)
			l.Arrived(served)
			after(time.Second)
			victims, ok := l.Reserve(other, 1, now)
			Expect(victims).To(BeEmpty())
			Expect(ok).To(BeFalse())
			expectUsage(2, memory)
		})

		// Guards against a crowd of large bodies that push each other out, so that none ever ends.
		It("is refused to the request that has taken the most itself", func() {
			small, large := open(), open()
			reserve(small, 100)
			reserve(large, 900)
			after(time.Second)
			victims, ok := l.Reserve(large, 100, now)
			Expect(victims).To(BeEmpty())
			Expect(ok).To(BeFalse())
			expectUsage(2, memory)
		})

		It("is returned when a request is answered, in part when a part is, and when its connection is closed", func() {
			answered, partly, closed := open(), open(), open()
			for _, id := range []intake.ID{answered, partly, closed} {
				reserve(id, 300)
			}
			l.Answered(answered, now)
			l.Release(partly, 100)
			l.Close(closed)
			expectUsage(2, 200)
			l.Close(closed)
			l.Release(closed, 100)
			expectUsage(2, 200)
		})

		// Guards against a body that is refused although it fits when nothing else is sent.
		It("is all available to a single request", func() {
			Expect(reserve(open(), memory)).To(BeEmpty())
		})
	})
})
