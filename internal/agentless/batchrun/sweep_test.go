package batchrun

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("the sweeper", func() {
	It("removes all keys of an old job and none of a recent one", func() {
		store := standin.NewTransactionalStore()
		log := logrus.New()
		log.SetOutput(io.Discard)
		now := time.Unix(10_000, 0)
		ctx := context.Background()
		for id, age := range map[string]time.Duration{"old": 10 * time.Minute, "young": time.Minute} {
			t, err := acceptance(id, jobRecord{Owner: "w", Submitted: now.Add(-age)}, [][]byte{{1}, {2}})
			Expect(err).NotTo(HaveOccurred())
			for position := range 40 {
				t.Puts = append(t.Puts, kv.Put{Key: doneKey(id, position)})
			}
			Expect(store.Commit(ctx, t)).To(HaveField("Done", true))
		}
		s := &Sweeper{Store: store, ResultTTL: 2 * time.Minute, Log: log}
		s.sweep(ctx, now)
		left, err := kv.ReadAll(ctx, store, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(left.Records).To(HaveLen(1 + 1 + 2 + 40))
		for _, r := range left.Records {
			Expect(r.Key).To(ContainSubstring("young"))
		}
	})
})
