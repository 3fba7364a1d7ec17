package cluster_test

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("Follower that coalesces changes", func() {
	// receives reports whether a follower with a long CoalesceDelay receives a second change
	// of a key after a first one.
	receives := func(key string) func() bool {
		store := standin.NewTransactionalStore()
		put := func(name string) {
			_, err := store.Commit(context.Background(), kv.Transaction{Puts: []kv.Put{{Key: name, Value: []byte("v")}}})
			Expect(err).NotTo(HaveOccurred())
		}
		put("p/known")
		v := &view{}
		topic := v.topic("p/")
		topic.Urgent = func(key string) bool { return strings.HasPrefix(key, "p/urgent") }
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		follower := &cluster.Follower{Store: store, Topic: topic, CoalesceDelay: time.Hour}
		go func() { _ = follower.Run(ctx) }()
		has := func(name string) func() bool {
			return func() bool { _, found := v.snapshot()[name]; return found }
		}
		Eventually(has("p/known"), "10s").Should(BeTrue())
		put(key + "1")
		Eventually(has(key+"1"), "10s").Should(BeTrue())
		put(key + "2")
		return has(key + "2")
	}

	It("receives an urgent change that follows another one without the delay", func() {
		// One request ends two endpoints within milliseconds. A process that hears of the
		// second end only after the delay sends its copy to the last endpoint.
		Eventually(receives("p/urgent"), "10s").Should(BeTrue())
	})

	It("receives other changes after the delay", func() {
		Consistently(receives("p/other"), "300ms").Should(BeFalse())
	})
})
