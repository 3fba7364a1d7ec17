package changefeed_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/policy/changefeed"
)

func TestChangefeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Changefeed")
}

var start = time.Unix(1000, 0)

// relay holds the topics of one process, with a single topic "p/".
type relay struct {
	*changefeed.Topics[string]
	topic *changefeed.Topic[string]
}

func newRelay(boot int64) *relay {
	s := &relay{Topics: changefeed.NewTopics[string](boot)}
	s.Add("p/", time.Second)
	s.topic = s.Get("p/")
	return s
}

func (s *relay) put(key string, revision int64, deleted bool, scope string) {
	s.topic.Put(changefeed.Change[string]{Key: key, Revision: revision, Deleted: deleted, Scope: scope, Payload: fmt.Sprintf("%s@%d", key, revision)})
}

var _ = Describe("Topic", func() {
	It("lets a follower continue at another process from the revision that it reached", func() {
		// A relay that served half of the fleet is lost, and its followers switch to
		// the other one. If it sent the full list to each, these were 150 lists of
		// 3,000 endpoints, which take longer than the followers' timeout.
		first, second := newRelay(1), newRelay(2)
		for _, s := range []*relay{first, second} {
			for i := range 3000 {
				s.put(fmt.Sprintf("p/%04d", i), int64(i+1), false, "llm")
			}
			s.topic.MarkListed(3000)
		}
		whole := first.topic.Since(changefeed.Position{}, &changefeed.Interest{Prefix: "p/"})
		Expect(whole.Full).To(BeTrue())
		Expect(whole.Changes).To(HaveLen(3000))
		at := first.Position()
		second.put("p/0007", 3001, false, "llm")
		second.put("p/0008", 3002, true, "llm")
		second.topic.MarkSynced(start, 3002)
		moved := second.topic.Since(at, &changefeed.Interest{Prefix: "p/", AsOf: whole.AsOf})
		Expect(moved.Full).To(BeFalse())
		Expect(moved.Changes).To(Equal([]string{"p/0007@3001", "p/0008@3002"}))
		Expect(moved.AsOf).To(Equal(int64(3002)))
	})

	It("sends a full update to a follower that comes from before the first listing", func() {
		// The process began to watch after a deletion, which it therefore does not know.
		// A follower that got only the later changes would keep the deleted key.
		s := newRelay(1)
		s.put("p/b", 5, false, "")
		s.topic.MarkListed(9)
		got := s.topic.Since(changefeed.Position{Boot: 7, Seq: 100}, &changefeed.Interest{Prefix: "p/", AsOf: 8})
		Expect(got.Full).To(BeTrue())
		Expect(got.Stands).To(Equal([]string{"p/b"}), "the follower has it already")
		Expect(got.Changes).To(BeEmpty())
		got = s.topic.Since(changefeed.Position{Boot: 7, Seq: 100}, &changefeed.Interest{Prefix: "p/", AsOf: 4})
		Expect(got.Full).To(BeTrue())
		Expect(got.Changes).To(Equal([]string{"p/b@5"}))
		Expect(got.Stands).To(BeEmpty())
	})

	It("may not be served before a listing or after the TTL since the store's last answer", func() {
		s := newRelay(1)
		interests := []changefeed.Interest{{Prefix: "p/"}}
		s.topic.MarkSynced(start, 3)
		Expect(s.RemainingTTL(start, interests)).To(BeZero())
		s.topic.MarkListed(3)
		Expect(s.RemainingTTL(start.Add(300*time.Millisecond), interests)).To(Equal(700 * time.Millisecond))
		Expect(s.RemainingTTL(start.Add(2*time.Second), interests)).To(BeNumerically("<", 0))
		Expect(s.RemainingTTL(start, []changefeed.Interest{{Prefix: "q/"}})).To(BeZero(), "a topic that the process does not have")
	})

	It("sends a change only to followers of the key's current or previous scope", func() {
		s := newRelay(1)
		s.put("p/1", 1, false, "llm")
		s.put("p/2", 2, false, "app")
		s.put("p/3", 3, false, "") // unreadable, so its scope is unknown
		s.topic.MarkListed(3)
		app := &changefeed.Interest{Prefix: "p/", Scopes: []string{"app"}}
		Expect(s.topic.Since(changefeed.Position{}, app).Changes).To(Equal([]string{"p/2@2", "p/3@3"}))
		at := s.Position()
		app.AsOf = 3
		s.put("p/1", 4, false, "llm")
		s.put("p/2", 5, false, "llm") // the endpoint now serves another service
		s.put("p/3", 6, true, "")
		Expect(s.topic.Since(at, app).Changes).To(Equal([]string{"p/2@5", "p/3@6"}))
		Expect(s.topic.Since(at, &changefeed.Interest{Prefix: "p/", Only: "p/1", AsOf: 3}).Changes).To(Equal([]string{"p/1@4"}))
	})

	It("remembers a limited number of deleted keys", func() {
		s := newRelay(1)
		s.topic.MarkListed(1)
		const keys = 10_000
		for i := range int64(keys) {
			s.put(fmt.Sprint("p/", i), 2*i+2, false, "")
			s.put(fmt.Sprint("p/", i), 2*i+3, true, "")
		}
		got := s.topic.Since(changefeed.Position{}, &changefeed.Interest{Prefix: "p/", AsOf: 1})
		Expect(got.Full).To(BeTrue(), "some tombstones were dropped")
		Expect(got.Changes).To(BeEmpty())
		late := s.topic.Since(changefeed.Position{}, &changefeed.Interest{Prefix: "p/", AsOf: 2*keys - 20})
		Expect(late.Full).To(BeFalse())
		Expect(late.Changes).To(HaveLen(11))
		Expect(s.topic.Since(changefeed.Position{Boot: 1, Seq: 5}, &changefeed.Interest{Prefix: "p/", AsOf: 4}).Full).To(BeTrue(), "a follower that missed them all")
	})

	It("converges followers that switch between processes to the content of the store", func() {
		// Three processes learn the same changes, each at its own pace. A follower
		// asks them in random order, and its state is compared with the store.
		random := rand.New(rand.NewPCG(3, 9))
		for range 50 {
			store := map[string]string{}
			var history []changefeed.Change[string]
			relays := []*relay{newRelay(1), newRelay(2), newRelay(3)}
			learned := make([]int, len(relays))
			learn := func(i, n int) {
				for ; learned[i] < n; learned[i]++ {
					relays[i].topic.Put(history[learned[i]])
				}
				revision := int64(1)
				if n > 0 {
					revision = history[n-1].Revision
				}
				relays[i].topic.MarkListed(revision)
				relays[i].topic.MarkSynced(start, revision)
			}
			list := func(i int) {
				for _, c := range history {
					if payload, exists := store[c.Key]; exists && payload == c.Payload {
						relays[i].topic.Put(c)
					}
				}
				learned[i] = len(history)
				learn(i, learned[i])
			}
			learn(0, 0)
			learn(1, 0)
			known, revisions := map[string]string{}, map[string]int64{}
			var at changefeed.Position
			interest := &changefeed.Interest{Prefix: "p/"}
			ask := func(i int) {
				got := relays[i].topic.Since(at, interest)
				listed := map[string]bool{}
				for _, key := range got.Stands {
					listed[key] = true
				}
				for _, payload := range got.Changes {
					var key string
					var revision int64
					var deleted bool
					_, err := fmt.Sscanf(payload, "%s %d %t", &key, &revision, &deleted)
					Expect(err).NotTo(HaveOccurred())
					listed[key] = true
					if revision <= revisions[key] {
						continue
					}
					revisions[key] = revision
					known[key] = payload
					if deleted {
						delete(known, key)
					}
				}
				for key := range known {
					if got.Full && !listed[key] && revisions[key] <= got.AsOf {
						delete(known, key)
						revisions[key] = got.AsOf
					}
				}
				at = relays[i].Position()
				interest.AsOf = max(interest.AsOf, got.AsOf)
			}
			for revision := int64(2); revision < 120; revision++ {
				key := fmt.Sprint("p/", random.IntN(9))
				_, exists := store[key]
				deleted := exists && random.IntN(3) == 0
				payload := fmt.Sprintf("%s %d %t", key, revision, deleted)
				store[key] = payload
				if deleted {
					delete(store, key)
				}
				history = append(history, changefeed.Change[string]{Key: key, Revision: revision, Deleted: deleted, Payload: payload})
				serving := len(relays) // the last process starts later, from a listing
				if revision < 60 {
					serving--
				} else if learned[2] == 0 {
					list(2)
				}
				if i := random.IntN(serving); random.IntN(2) == 0 {
					learn(i, len(history))
				}
				if random.IntN(3) == 0 {
					ask(random.IntN(serving))
				}
			}
			for i := range relays {
				learn(i, len(history))
			}
			for _, i := range random.Perm(len(relays)) {
				ask(i)
			}
			Expect(known).To(Equal(store))
		}
	})

	It("sends only what changed, however many keys there are", func() {
		s := newRelay(1)
		for i := range 3000 {
			s.put(fmt.Sprint("p/", i), int64(i+1), false, "")
		}
		s.topic.MarkListed(3000)
		at := s.Position()
		s.put("p/5", 3001, false, "")
		got := s.topic.Since(at, &changefeed.Interest{Prefix: "p/", AsOf: 3000})
		Expect(slices.Equal(got.Changes, []string{"p/5@3001"})).To(BeTrue())
	})
})
