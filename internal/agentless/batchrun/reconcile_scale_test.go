package batchrun_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/standin"
)

// callsPerSecond is a store that counts calls by the second of virtual time and knows the
// assignments.
type callsPerSecond struct {
	kv.TransactionalStore
	mu          sync.Mutex
	began       time.Time
	calls       map[int]int
	assignments map[string]bool
}

func (c *callsPerSecond) count() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[int(time.Since(c.began).Seconds())]++
}

func (c *callsPerSecond) ReadPage(ctx context.Context, prefix, after string) (kv.Page, error) {
	c.count()
	return c.TransactionalStore.ReadPage(ctx, prefix, after)
}

func (c *callsPerSecond) Read(ctx context.Context, key string) (kv.Record, error) {
	c.count()
	return c.TransactionalStore.Read(ctx, key)
}

func (c *callsPerSecond) Commit(ctx context.Context, t kv.Transaction) (kv.Committed, error) {
	c.count()
	committed, err := c.TransactionalStore.Commit(ctx, t)
	if err == nil && committed.Done {
		c.apply(t)
	}
	return committed, err
}

// apply updates the assignments.
func (c *callsPerSecond) apply(t kv.Transaction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range t.Remove {
		delete(c.assignments, key)
	}
	for _, put := range t.Puts {
		if strings.HasPrefix(put.Key, batchrun.AssignmentsPrefix) {
			c.assignments[put.Key] = true
		}
	}
}

// visit calls visit with the key of each assignment, as a process that follows them knows it.
func (c *callsPerSecond) visit(visit func(key string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.assignments {
		visit(key)
	}
}

// reconciledFleet is a fleet of which the roots and relays compare assignments with members.
type reconciledFleet struct {
	store   *callsPerSecond
	members *cluster.Members
	workers int
}

// newReconciledFleet returns a fleet in which every fifth process is a worker with two jobs, of
// whom the first lost ones are not registered.
func newReconciledFleet(t *testing.T, processes, lost int) *reconciledFleet {
	shared := standin.NewTransactionalStore()
	f := &reconciledFleet{members: cluster.NewMembers(), workers: processes / 5}
	f.members.SetTwoLevels(true)
	topic := cluster.NewRegistrar(shared, cluster.Member{Name: "none"}, time.Hour, f.members, discardLogger()).Topic()
	for i := range processes {
		if i >= lost {
			var raw bytes.Buffer
			if err := gob.NewEncoder(&raw).Encode(cluster.Member{Name: processName(i), Address: "x:1", Domain: fmt.Sprint(i % 3), Worker: i < f.workers}); err != nil {
				t.Fatal(err)
			}
			topic.Changed(kv.Record{Key: "live/members/" + processName(i), Value: raw.Bytes(), Revision: int64(i + 1)})
		}
	}
	f.store = &callsPerSecond{TransactionalStore: shared, calls: map[int]int{}, assignments: map[string]bool{}}
	for i := range f.workers {
		for job := range 2 {
			if err := batchrun.StoreJob(context.Background(), f.store, fmt.Sprintf("job-%d-%d", i, job), processName(i)); err != nil {
				t.Fatal(err)
			}
		}
	}
	f.store.began = time.Now()
	clear(f.store.calls)
	return f
}

func processName(i int) string { return fmt.Sprintf("p%04d", i) }

// orphans returns the number of jobs whose owner is not registered.
func (f *reconciledFleet) orphans() int {
	n := 0
	f.store.visit(func(key string) {
		if !f.members.Registered(strings.Split(key, "/")[1]) {
			n++
		}
	})
	return n
}

// run has the roots and relays reconcile for a minute, and returns when the last job had an owner.
func (f *reconciledFleet) run() time.Duration {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	tree := f.members.Tree()
	for _, m := range slices.Concat(tree.Roots, tree.Relays) {
		mover := &batchrun.Mover{Self: m.Name, Store: f.store, Members: f.members, Log: discardLogger(), StoreRecentlyDown: func() bool { return false }}
		mover.HasAssignments = func(owner string) bool {
			found := false
			f.store.visit(func(key string) { found = found || strings.HasPrefix(key, batchrun.AssignmentPrefix(owner)) })
			return found
		}
		r := &batchrun.Reconciler{Mover: mover, VisitAssignments: f.store.visit, Current: always, Log: discardLogger(), Registry: metrics.NewRegistry()}
		running.Go(func() { _ = r.Run(ctx) })
	}
	healed := time.Duration(0)
	for range 600 {
		time.Sleep(100 * time.Millisecond)
		if f.orphans() > 0 {
			healed = time.Since(f.store.began)
		}
	}
	cancel()
	running.Wait()
	return healed
}

// TestReconcileFleet counts the calls to the store of a minute of virtual time in large fleets,
// without a lost owner and after a kill of all from which a tenth of the owners does not return.
func TestReconcileFleet(t *testing.T) {
	const recovery = 12 * time.Second // bound of the time until items run again
	for _, processes := range []int{555, 2000} {
		for _, lost := range []int{0, processes / 50} {
			t.Run(fmt.Sprintf("%d processes, %d lost", processes, lost), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newReconciledFleet(t, processes, lost)
					healed := f.run()
					total, busiest := 0, 0
					for n := range maps.Values(f.store.calls) {
						total, busiest = total+n, max(busiest, n)
					}
					tree := f.members.Tree()
					t.Logf("%d roots, %d relays: %d calls, %d in the busiest second, last job moved after %v", len(tree.Roots), len(tree.Relays), total, busiest, healed)
					// A list of the owner's jobs, and a read and a transaction for each of two jobs.
					const callsPerOwner = 5
					if total > lost*callsPerOwner {
						t.Errorf("%d calls for %d lost owners", total, lost)
					}
					if left := f.orphans(); left > 0 || healed > recovery {
						t.Errorf("%d jobs without an owner, the last one moved after %v", left, healed)
					}
				})
			})
		}
	}
}
