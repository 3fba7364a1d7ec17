package news_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/news"
)

func TestNews(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "News")
}

var start = time.Unix(1000, 0)

// scout is a process's topics with one topic "p/".
type scout struct {
	*news.Topics[string]
	topic *news.Topic[string]
}

func newScout(boot int64) *scout {
	s := &scout{Topics: news.NewTopics[string](boot)}
	s.Add("p/", time.Second)
	s.topic = s.Get("p/")
	return s
}

func (s *scout) put(key string, revision int64, gone bool, scope string) {
	s.topic.Put(news.Change[string]{Key: key, Revision: revision, Deleted: gone, Scope: scope, Payload: fmt.Sprintf("%s@%d", key, revision)})
}

var _ = Describe("what a process knows of a prefix", func() {
	It("is gone on with at another process from the revision that was reached", func() {
		// A scout that served half of the fleet is gone, and its followers turn to the
		// other one. With everything sent anew to each, 150 lists of 3,000 endpoints
		// took longer than the followers wait.
		first, second := newScout(1), newScout(2)
		for _, s := range []*scout{first, second} {
			for i := range 3000 {
				s.put(fmt.Sprintf("p/%04d", i), int64(i+1), false, "llm")
			}
			s.topic.MarkListed(3000)
		}
		whole := first.topic.Since(news.Position{}, &news.Interest{Prefix: "p/"})
		Expect(whole.Full).To(BeTrue())
		Expect(whole.Changes).To(HaveLen(3000))
		at := first.Position()
		second.put("p/0007", 3001, false, "llm")
		second.put("p/0008", 3002, true, "llm")
		second.topic.MarkSynced(start, 3002)
		moved := second.topic.Since(at, &news.Interest{Prefix: "p/", AsOf: whole.AsOf})
		Expect(moved.Full).To(BeFalse())
		Expect(moved.Changes).To(Equal([]string{"p/0007@3001", "p/0008@3002"}))
		Expect(moved.AsOf).To(Equal(int64(3002)))
	})

	It("is told as a whole to who comes from before the first listing", func() {
		// The process began to watch after a removal, of which it knows nothing.
		s := newScout(1)
		s.put("p/b", 5, false, "")
		s.topic.MarkListed(9)
		got := s.topic.Since(news.Position{Boot: 7, Seq: 100}, &news.Interest{Prefix: "p/", AsOf: 8})
		Expect(got.Full).To(BeTrue())
		Expect(got.Stands).To(Equal([]string{"p/b"}), "the follower has it")
		Expect(got.Changes).To(BeEmpty())
		got = s.topic.Since(news.Position{Boot: 7, Seq: 100}, &news.Interest{Prefix: "p/", AsOf: 4})
		Expect(got.Full).To(BeTrue())
		Expect(got.Changes).To(Equal([]string{"p/b@5"}))
		Expect(got.Stands).To(BeEmpty())
	})

	It("is not passed on before a listing, nor long after the store's last word", func() {
		s := newScout(1)
		interests := []news.Interest{{Prefix: "p/"}}
		s.topic.MarkSynced(start, 3)
		Expect(s.RemainingTTL(start, interests)).To(BeZero())
		s.topic.MarkListed(3)
		Expect(s.RemainingTTL(start.Add(300*time.Millisecond), interests)).To(Equal(700 * time.Millisecond))
		Expect(s.RemainingTTL(start.Add(2*time.Second), interests)).To(BeNumerically("<", 0))
		Expect(s.RemainingTTL(start, []news.Interest{{Prefix: "q/"}})).To(BeZero(), "a topic that the process does not carry")
	})

	It("is told to those only whom it concerns, and to whom it concerned before", func() {
		s := newScout(1)
		s.put("p/1", 1, false, "llm")
		s.put("p/2", 2, false, "app")
		s.put("p/3", 3, false, "") // cannot be read: no part is known
		s.topic.MarkListed(3)
		app := &news.Interest{Prefix: "p/", Scopes: []string{"app"}}
		Expect(s.topic.Since(news.Position{}, app).Changes).To(Equal([]string{"p/2@2", "p/3@3"}))
		at := s.Position()
		app.AsOf = 3
		s.put("p/1", 4, false, "llm")
		s.put("p/2", 5, false, "llm") // it serves another service from now on
		s.put("p/3", 6, true, "")
		Expect(s.topic.Since(at, app).Changes).To(Equal([]string{"p/2@5", "p/3@6"}))
		Expect(s.topic.Since(at, &news.Interest{Prefix: "p/", Only: "p/1", AsOf: 3}).Changes).To(Equal([]string{"p/1@4"}))
	})

	It("keeps a bounded memory of keys that went", func() {
		s := newScout(1)
		s.topic.MarkListed(1)
		const keys = 10_000
		for i := range int64(keys) {
			s.put(fmt.Sprint("p/", i), 2*i+2, false, "")
			s.put(fmt.Sprint("p/", i), 2*i+3, true, "")
		}
		got := s.topic.Since(news.Position{}, &news.Interest{Prefix: "p/", AsOf: 1})
		Expect(got.Full).To(BeTrue(), "some removals were forgotten")
		Expect(got.Changes).To(BeEmpty())
		late := s.topic.Since(news.Position{}, &news.Interest{Prefix: "p/", AsOf: 2*keys - 20})
		Expect(late.Full).To(BeFalse())
		Expect(late.Changes).To(HaveLen(11))
		Expect(s.topic.Since(news.Position{Boot: 1, Seq: 5}, &news.Interest{Prefix: "p/", AsOf: 4}).Full).To(BeTrue(), "one that slept through them")
	})

	It("brings followers that change between processes to what the store holds", func() {
		// Three processes learn the same changes at their own pace; a follower asks
		// one of them after the other, by lot, and is compared with the store.
		random := rand.New(rand.NewPCG(3, 9))
		for range 50 {
			store := map[string]string{}
			var history []news.Change[string]
			scouts := []*scout{newScout(1), newScout(2), newScout(3)}
			upTo := make([]int, len(scouts))
			learn := func(i, n int) {
				for ; upTo[i] < n; upTo[i]++ {
					scouts[i].topic.Put(history[upTo[i]])
				}
				revision := int64(1)
				if n > 0 {
					revision = history[n-1].Revision
				}
				scouts[i].topic.MarkListed(revision)
				scouts[i].topic.MarkSynced(start, revision)
			}
			list := func(i int) {
				for _, c := range history {
					if payload, stands := store[c.Key]; stands && payload == c.Payload {
						scouts[i].topic.Put(c)
					}
				}
				upTo[i] = len(history)
				learn(i, upTo[i])
			}
			learn(0, 0)
			learn(1, 0)
			known, revisions := map[string]string{}, map[string]int64{}
			var at news.Position
			interest := &news.Interest{Prefix: "p/"}
			ask := func(i int) {
				got := scouts[i].topic.Since(at, interest)
				listed := map[string]bool{}
				for _, key := range got.Stands {
					listed[key] = true
				}
				for _, payload := range got.Changes {
					var key string
					var revision int64
					var gone bool
					_, err := fmt.Sscanf(payload, "%s %d %t", &key, &revision, &gone)
					Expect(err).NotTo(HaveOccurred())
					listed[key] = true
					if revision <= revisions[key] {
						continue
					}
					revisions[key] = revision
					known[key] = payload
					if gone {
						delete(known, key)
					}
				}
				for key := range known {
					if got.Full && !listed[key] && revisions[key] <= got.AsOf {
						delete(known, key)
						revisions[key] = got.AsOf
					}
				}
				at = scouts[i].Position()
				interest.AsOf = max(interest.AsOf, got.AsOf)
			}
			for revision := int64(2); revision < 120; revision++ {
				key := fmt.Sprint("p/", random.IntN(9))
				_, stands := store[key]
				gone := stands && random.IntN(3) == 0
				payload := fmt.Sprintf("%s %d %t", key, revision, gone)
				store[key] = payload
				if gone {
					delete(store, key)
				}
				history = append(history, news.Change[string]{Key: key, Revision: revision, Deleted: gone, Payload: payload})
				serving := len(scouts) // the last one starts later, from a listing
				if revision < 60 {
					serving--
				} else if upTo[2] == 0 {
					list(2)
				}
				if i := random.IntN(serving); random.IntN(2) == 0 {
					learn(i, len(history))
				}
				if random.IntN(3) == 0 {
					ask(random.IntN(serving))
				}
			}
			for i := range scouts {
				learn(i, len(history))
			}
			for _, i := range random.Perm(len(scouts)) {
				ask(i)
			}
			Expect(known).To(Equal(store))
		}
	})

	It("does not depend on how many keys there are when few changed", func() {
		s := newScout(1)
		for i := range 3000 {
			s.put(fmt.Sprint("p/", i), int64(i+1), false, "")
		}
		s.topic.MarkListed(3000)
		at := s.Position()
		s.put("p/5", 3001, false, "")
		got := s.topic.Since(at, &news.Interest{Prefix: "p/", AsOf: 3000})
		Expect(slices.Equal(got.Changes, []string{"p/5@3001"})).To(BeTrue())
	})
})
