package crashfeed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/changefeed"
	"siskinloom.example/siskinloom/internal/policy/crashfeed"
)

func TestCrashfeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crashfeed")
}

type entry = crashfeed.Entry[string]

// drain reads everything after a position, a few entries at a time.
func drain(l *crashfeed.Log[string], p changefeed.Position) ([]entry, changefeed.Position) {
	var all []entry
	for {
		some, next := l.Since(p, 3)
		if len(some) == 0 {
			return all, next
		}
		all, p = append(all, some...), next
	}
}

var _ = Describe("Log", func() {
	It("returns what was added after a position, and only the newest state of a report", func() {
		l := crashfeed.NewLog[string](7, 100)
		Expect(l.Put(entry{Key: "a", At: 1, Report: "A"})).To(BeTrue())
		Expect(l.Put(entry{Key: "b", At: 1, Report: "B"})).To(BeTrue())
		_, middle := drain(l, changefeed.Position{})
		Expect(l.Put(entry{Key: "a", At: 1, Withdrawn: true})).To(BeTrue())
		after, end := drain(l, middle)
		Expect(after).To(Equal([]entry{{Key: "a", At: 1, Withdrawn: true}}))
		all, _ := drain(l, changefeed.Position{})
		Expect(all).To(Equal([]entry{{Key: "b", At: 1, Report: "B"}, {Key: "a", At: 1, Withdrawn: true}}))
		none, same := drain(l, end)
		Expect(none).To(BeEmpty())
		Expect(same).To(Equal(end))
	})

	// Guards against followers that skip the reports of a process that was restarted.
	It("begins anew for a position of another run", func() {
		l := crashfeed.NewLog[string](8, 100)
		l.Put(entry{Key: "a", At: 1, Report: "A"})
		all, _ := drain(l, changefeed.Position{Boot: 7, Seq: 50})
		Expect(all).To(HaveLen(1))
	})

	// Guards against a quarantine that comes back after an answer or an operator ended it, since the
	// report arrives once more by a slower way.
	It("does not take a report back that was withdrawn", func() {
		l := crashfeed.NewLog[string](1, 100)
		Expect(l.Put(entry{Key: "a", At: 1, Withdrawn: true})).To(BeTrue())
		Expect(l.Put(entry{Key: "a", At: 1, Report: "A"})).To(BeFalse())
		Expect(l.Put(entry{Key: "a", At: 1, Withdrawn: true})).To(BeFalse())
	})

	It("drops the report of the earliest end beyond its limit", func() {
		l := crashfeed.NewLog[string](1, 3)
		for _, at := range []int64{4, 2, 5, 1, 3} {
			l.Put(entry{Key: fmt.Sprint(at), At: at})
		}
		all, _ := drain(l, changefeed.Position{})
		Expect(all).To(Equal([]entry{{Key: "4", At: 4}, {Key: "5", At: 5}, {Key: "3", At: 3}}))
	})

	// Guards against two full logs that for ever send each other what the other one has dropped.
	It("comes to rest when more reports circulate than logs hold", func() {
		logs := []*crashfeed.Log[string]{crashfeed.NewLog[string](1, 10), crashfeed.NewLog[string](2, 10)}
		for i := range int64(40) {
			logs[i%2].Put(entry{Key: fmt.Sprint(i), At: 1 + i%7})
		}
		taken := 1
		for rounds := 0; taken > 0; rounds++ {
			Expect(rounds).To(BeNumerically("<", 10))
			taken = 0
			for i, to := range logs {
				all, _ := drain(logs[1-i], changefeed.Position{})
				for _, e := range all {
					if to.Put(e) {
						taken++
					}
				}
			}
		}
	})

	// Guards against processes that disagree about a report after messages were lost, doubled and
	// reordered.
	It("brings logs that pass entries on to each other to the same state, whatever the order", func() {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 3))
			logs := []*crashfeed.Log[string]{}
			for i := range 4 {
				logs = append(logs, crashfeed.NewLog[string](int64(i+1), 100))
			}
			for range 40 {
				l := logs[random.IntN(len(logs))]
				key := random.IntN(10)
				l.Put(entry{Key: fmt.Sprint(key), At: int64(1 + key), Withdrawn: random.IntN(3) == 0})
			}
			for range 3 {
				for _, to := range logs {
					for _, from := range logs {
						all, _ := drain(from, changefeed.Position{})
						random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
						for _, e := range append(all, all...) {
							to.Put(e)
						}
					}
				}
			}
			want, _ := drain(logs[0], changefeed.Position{})
			for _, l := range logs[1:] {
				got, _ := drain(l, changefeed.Position{})
				Expect(got).To(ConsistOf(want), "seed %d", seed)
			}
		}
	})
})
