package batchrun

import (
	"context"
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/standin"
)

var _ = Describe("the sweeper", func() {
	var store *standin.TransactionalStore
	now := time.Unix(10_000_000, 0)
	ctx := context.Background()
	const resultTTL = 2 * time.Minute

	// storeJob stores a job with two parts of its spec and some results.
	storeJob := func(id string, age time.Duration, ended bool, results int) {
		t, err := acceptance(id, jobRecord{Owner: "w", Submitted: now.Add(-age), Total: results, Ended: ended}, [][]byte{{1}, {2}})
		Expect(err).NotTo(HaveOccurred())
		for position := range results {
			t.Puts = append(t.Puts, kv.Put{Key: doneKey(id, position)})
		}
		Expect(store.Commit(ctx, t)).To(HaveField("Done", true))
	}
	keysOf := func(id string) int {
		all, err := kv.ReadAll(ctx, store, "")
		Expect(err).NotTo(HaveOccurred())
		n := 0
		for _, r := range all.Records {
			if strings.Contains(r.Key, "/"+id) {
				n++
			}
		}
		return n
	}
	newSweeper := func(s kv.TransactionalStore) *Sweeper {
		log := logrus.New()
		log.SetOutput(io.Discard)
		return &Sweeper{Store: s, ResultTTL: resultTTL, Log: log}
	}

	BeforeEach(func() { store = standin.NewTransactionalStore() })

	It("removes all keys of an ended job that is old, whatever its size, and none of others", func() {
		storeJob("old", 10*time.Minute, true, 40)
		storeJob("small", 10*time.Minute, true, 1)
		storeJob("young", time.Minute, true, 40)
		storeJob("skewed", resultTTL+clockSkew-time.Second, true, 40)
		newSweeper(store).sweep(ctx, now)
		Expect(keysOf("old")).To(BeZero())
		Expect(keysOf("small")).To(BeZero())
		Expect(keysOf("young")).To(Equal(1 + 1 + 2 + 40))
		Expect(keysOf("skewed")).To(Equal(1 + 1 + 2 + 40))
	})

	// Guards against a job that disappears with its results while its trainer reads it and its
	// items still run.
	It("keeps a job that nobody has ended, with its results, until it counts as abandoned", func() {
		storeJob("open", batch.AbandonedTTL+clockSkew-time.Second, false, 40)
		storeJob("abandoned", batch.AbandonedTTL+clockSkew, false, 40)
		newSweeper(store).sweep(ctx, now)
		Expect(keysOf("open")).To(Equal(1 + 1 + 2 + 40))
		Expect(keysOf("abandoned")).To(BeZero())
	})

	// Guards against readers who find a job without the results that they have read.
	It("leaves a job whole or gone for readers when it stops in between, and goes on later", func() {
		for stopAfter := range 5 {
			store = standin.NewTransactionalStore()
			storeJob("old", 10*time.Minute, true, 70)
			newSweeper(&stoppingStore{TransactionalStore: store, left: stopAfter}).sweep(ctx, now)
			stored, _, err := readRecord(ctx, store, "old")
			Expect(err).NotTo(HaveOccurred())
			if stored.Revision != 0 {
				Expect(keysOf("old")).To(Equal(1+1+2+70), "stopped after %d transactions", stopAfter)
			}
			newSweeper(store).sweep(ctx, now)
			Expect(keysOf("old")).To(BeZero(), "stopped after %d transactions", stopAfter)
		}
	})

	// Guards against results that stay in the store for ever, and are taken for those of a later job.
	It("leaves no result of an abandoned job that its owner writes meanwhile", func() {
		storeJob("old", 2*batch.AbandonedTTL, false, 1)
		newSweeper(&writingStore{TransactionalStore: store}).sweep(ctx, now)
		Expect(keysOf("old")).To(BeZero())
	})

	It("removes nothing of a job that changes meanwhile", func() {
		for _, results := range []int{1, 70} {
			store = standin.NewTransactionalStore()
			storeJob("old", 10*time.Minute, true, results)
			changed := &changingStore{TransactionalStore: store, key: jobKey("old")}
			newSweeper(changed).sweep(ctx, now)
			Expect(keysOf("old")).To(Equal(1 + 1 + 2 + results))
		}
	})

	It("lets no job with the ID of one that is being removed be taken for accepted", func() {
		storeJob("old", 10*time.Minute, true, 70)
		newSweeper(&stoppingStore{TransactionalStore: store, left: 1}).sweep(ctx, now)
		f := &Frontend{Store: store}
		accepted, err := f.acceptedBefore(ctx, "old")
		Expect(accepted).To(BeFalse())
		Expect(err).To(MatchError(kv.ErrUnavailable))
		newSweeper(store).sweep(ctx, now)
		storeJob("old", 0, false, 0)
		accepted, err = f.acceptedBefore(ctx, "old")
		Expect(err).NotTo(HaveOccurred())
		Expect(accepted).To(BeTrue())
	})
})

// stoppingStore takes some transactions and fails the ones after them.
type stoppingStore struct {
	kv.TransactionalStore
	left int
}

func (s *stoppingStore) Commit(ctx context.Context, t kv.Transaction) (kv.Committed, error) {
	if s.left == 0 {
		return kv.Committed{}, kv.ErrUnavailable
	}
	s.left--
	return s.TransactionalStore.Commit(ctx, t)
}

// changingStore changes a key before the first transaction.
type changingStore struct {
	kv.TransactionalStore
	key     string
	changed bool
}

func (s *changingStore) Commit(ctx context.Context, t kv.Transaction) (kv.Committed, error) {
	if !s.changed {
		s.changed = true
		current, err := s.Read(ctx, s.key)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.TransactionalStore.Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: s.key, Value: current.Value}}})).To(HaveField("Done", true))
	}
	return s.TransactionalStore.Commit(ctx, t)
}

// writingStore has the owner of the job "old" write a result before the first transaction.
type writingStore struct {
	kv.TransactionalStore
	written bool
}

func (s *writingStore) Commit(ctx context.Context, t kv.Transaction) (kv.Committed, error) {
	if !s.written {
		s.written = true
		assignment, err := s.Read(ctx, assignmentKey("w", "old"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.TransactionalStore.Commit(ctx, kv.Transaction{
			Expect: []kv.Expectation{{Key: assignment.Key, Revision: assignment.Revision}}, Puts: []kv.Put{{Key: doneKey("old", 1)}},
		})).To(HaveField("Done", true))
	}
	return s.TransactionalStore.Commit(ctx, t)
}
