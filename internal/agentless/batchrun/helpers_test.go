package batchrun_test

import (
	"bytes"
	"context"
	"fmt"
	"time"

	. "github.com/onsi/gomega"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/standin"
)

func spec(id string, items int) *batch.Spec {
	now := time.Now()
	s := &batch.Spec{ID: id, Host: "h", Model: "m", MinVersion: 5, MaxAttempts: 3, Submitted: now, Due: now.Add(time.Minute), Expires: now.Add(time.Hour)}
	for i := range items {
		item := fmt.Sprintf("i%d", i)
		s.Items = append(s.Items, batch.Item{ID: item, Path: "/items/x", Body: bytes.Repeat([]byte{byte(i)}, 40), Group: "g",
			Scorer: &batch.Scorer{ID: "s" + item, Host: "h", Path: "/score/x"}})
	}
	return s
}

// unwatchedStore is a store whose watches report no changes.
type unwatchedStore struct{ kv.TransactionalStore }

func (u *unwatchedStore) Await(ctx context.Context, _ string, _ int64, _ time.Duration) (kv.Changes, error) {
	<-ctx.Done()
	return kv.Changes{}, ctx.Err()
}

func readAll(d *batchrun.Frontend, id string) ([]batch.Result, error) {
	var all []batch.Result
	for {
		reading, err := d.Results(context.Background(), id, len(all), 0)
		if err != nil {
			return all, err
		}
		all = append(all, reading.Results...)
		if len(all) >= reading.Total || len(reading.Results) == 0 {
			return all, nil
		}
	}
}

func results(p *process, id string) func() int {
	return func() int {
		all, err := readAll(p.frontend, id)
		if err != nil {
			return -1
		}
		return len(all)
	}
}

func checkResults(all []batch.Result) {
	seen := map[string]bool{}
	for _, r := range all {
		ExpectWithOffset(1, seen[r.Item]).To(BeFalse(), "%s twice", r.Item)
		seen[r.Item] = true
		ExpectWithOffset(1, r.State).To(Equal(batch.Completed))
		ExpectWithOffset(1, string(r.Output)).To(Equal("e1\ne2\ne3\ne4"))
		ExpectWithOffset(1, r.Versions).To(Equal([]int64{5}))
		ExpectWithOffset(1, r.Score).To(Equal("seal-s" + r.Item))
	}
}

// startPair starts two processes that know each other.
func startPair() (store *standin.TransactionalStore, llm *engines, a, b *process) {
	store = standin.NewTransactionalStore()
	llm = &engines{sent: map[string]int{}}
	a = newProcess("a", store, llm).run()
	b = newProcess("b", store, llm).run()
	EventuallyWithOffset(1, func() int { return len(a.members.Live()) }).WithTimeout(eventuallyTimeout).Should(Equal(2))
	return store, llm, a, b
}

// ownerAndOther returns which of two processes owns a job, and the other one.
func ownerAndOther(a, b *process, id string) (owner, other *process) {
	EventuallyWithOffset(2, func() bool {
		for _, p := range []*process{a, b} {
			if _, found := p.owner.Jobs()[id]; found {
				owner = p
				return true
			}
		}
		return false
	}).WithTimeout(eventuallyTimeout).Should(BeTrue())
	if owner == a {
		return a, b
	}
	return b, a
}
