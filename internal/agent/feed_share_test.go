package agent

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/policy/admission"
	"siskinloom.example/siskinloom/internal/wire"
)

var _ = Describe("feeds of one business at an agent", func() {
	It("get slots in proportion to their declared shares", func() {
		// Samples of two feeds, sent by different entries, wait for the only slot,
		// the small feed's first. Of the first twelve that get it, nine belong to
		// the feed with three times the share.
		q := admission.New(queueConfig(decl.Deployment{
			Services: []decl.Service{{Name: "tone", Slots: 1}},
			Feeds:    []decl.Feed{{Name: "small", Business: "b", Share: 1}, {Name: "large", Business: "b", Share: 3}},
		}, "tone"))
		now := time.Unix(1000, 0)
		feedOf := map[string]string{}
		var started []string
		note := func(actions []admission.Action) {
			for _, a := range actions {
				Expect(a.Kind).To(Equal(admission.Start))
				started = append(started, a.ID)
			}
		}
		for _, feed := range []string{"small", "large"} {
			for i := range 12 {
				id := feed + strconv.Itoa(i)
				feedOf[id] = feed
				note(q.Offer(now, admission.Item{ID: id, Principal: wire.FeedPrincipal("b", feed), Cost: 1, Rollout: true}))
			}
		}
		Expect(q.Load().Rollouts).To(Equal(24))
		count := map[string]int{}
		for turn := range 12 {
			count[feedOf[started[turn]]]++
			now = now.Add(time.Second)
			note(q.Done(now, started[turn]))
		}
		Expect(count).To(Equal(map[string]int{"large": 9, "small": 3}))
	})
})
