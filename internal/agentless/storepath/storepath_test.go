package storepath_test

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/storepath"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/rpcpool"
	"siskinloom.example/siskinloom/internal/standin"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storepath")
}

// cut is one process's way to the store, which can be cut in silence or refuse.
type cut struct {
	kv.Shared
	silent  atomic.Bool
	refuses atomic.Bool
	calls   atomic.Int64
}

func (c *cut) stopped(ctx context.Context) error {
	c.calls.Add(1)
	if c.refuses.Load() {
		return errors.Wrap(kv.ErrUnavailable, "turned away")
	}
	if !c.silent.Load() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (c *cut) Read(ctx context.Context, key string) (kv.Record, error) {
	if err := c.stopped(ctx); err != nil {
		return kv.Record{}, errors.Wrap(kv.ErrUnavailable, err.Error())
	}
	return c.Shared.Read(ctx, key)
}

func (c *cut) KeepLease(ctx context.Context, id kv.LeaseID) error {
	if err := c.stopped(ctx); err != nil {
		return errors.Wrap(kv.ErrUnknown, err.Error())
	}
	return c.Shared.KeepLease(ctx, id)
}

func (c *cut) Commit(ctx context.Context, t kv.Transaction) (kv.Committed, error) {
	if err := c.stopped(ctx); err != nil {
		if c.refuses.Load() {
			return kv.Committed{}, err
		}
		return kv.Committed{}, errors.Wrap(kv.ErrUnknown, err.Error())
	}
	return c.Shared.Commit(ctx, t)
}

func (c *cut) Await(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.Changes, error) {
	if err := c.stopped(ctx); err != nil {
		return kv.Changes{}, errors.Wrap(kv.ErrUnavailable, err.Error())
	}
	return c.Shared.Await(ctx, prefix, after, wait)
}

// process is one process of the system with its way to the store.
type process struct {
	own   *cut
	store *storepath.Store
}

// newProcesses starts processes that know each other, before one store. Those
// whose names begin with "entry" are entries, the others workers.
func newProcesses(ctx context.Context, store kv.Shared, names ...string) []process {
	log := logrus.New()
	log.SetOutput(io.Discard)
	members := cluster.NewMembers()
	var all []process
	for _, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		self := cluster.Member{Name: name, Address: listener.Addr().String(), Worker: !strings.HasPrefix(name, "entry")}
		own := &cut{Shared: store}
		s := storepath.New(own, self, members, rpcpool.New(nil), log, metrics.NewRegistry())
		calls := rpc.NewServer()
		Expect(s.Register(calls)).To(Succeed())
		go serve(calls, listener)
		r := cluster.NewRegistrar(store, self, time.Hour, members, log)
		go func() { _ = (&cluster.Follower{Store: store, Topic: r.Topic()}).Run(ctx) }()
		go func() { _ = r.Run(ctx) }()
		all = append(all, process{own, s})
	}
	Eventually(func() int { return len(members.Live()) }).Should(Equal(len(names)))
	return all
}

var _ = Describe("the store through peers", func() {
	var ctx context.Context
	var store *standin.Shared
	BeforeEach(func() {
		limited, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		ctx, store = limited, standin.NewShared()
	})

	It("renews a lease while this process is cut off in silence", func() {
		// What the caller sees: nothing. An owner of batch jobs is cut off from the
		// store; its renewal gets no answer, goes through another worker before the
		// lease lapses, and the ones after it go there at once. Without it the lease
		// lapsed and the owner's jobs began anew elsewhere.
		all := newProcesses(ctx, store, "a", "b", "c")
		lease, _, err := all[0].store.GrantLease(ctx, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		all[0].own.silent.Store(true)
		Expect(all[0].store.KeepLease(ctx, lease)).To(Succeed())
		before := all[0].own.calls.Load()
		Expect(all[0].store.KeepLease(ctx, lease)).To(Succeed())
		Expect(all[0].own.calls.Load()).To(Equal(before), "it goes through peers first")
	})

	It("never makes a transaction twice, and says that its outcome is unknown", func() {
		// What happens: a write is under way when the process is cut off. Whether it
		// took effect nobody knows; made again through a peer it would fail
		// its own condition, which reads as "somebody else wrote".
		all := newProcesses(ctx, store, "a", "b")
		all[0].own.silent.Store(true)
		write := kv.Transaction{Expect: []kv.Expectation{{Key: "k"}}, Puts: []kv.Put{{Key: "k", Value: []byte("v")}}}
		_, err := all[0].store.Commit(ctx, write)
		Expect(errors.Is(err, kv.ErrUnknown)).To(BeTrue())
		record, err := store.Read(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Revision).To(BeZero(), "the cut swallowed it")
		committed, err := all[0].store.Commit(ctx, write)
		Expect(err).NotTo(HaveOccurred())
		Expect(committed.Done).To(BeTrue(), "the next one goes through the other process")
	})

	It("makes a call that was refused through a peer at once", func() {
		all := newProcesses(ctx, store, "a", "b")
		all[0].own.refuses.Store(true)
		committed, err := all[0].store.Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: "k", Value: []byte("v")}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(committed.Done).To(BeTrue())
	})

	It("does not wait for the process that helped last when it falls silent", func() {
		// What happens: the store loses answers, also those to the process that
		// passes calls on. A renewal that waited for that one alone took so
		// long that the lease lapsed, and the owner's jobs were moved.
		all := newProcesses(ctx, store, "a", "b", "c")
		lease, _, err := all[0].store.GrantLease(ctx, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		all[0].own.silent.Store(true)
		Expect(all[0].store.KeepLease(ctx, lease)).To(Succeed())
		for _, helper := range all[1:] {
			helper.own.silent.Store(true)
			Expect(all[0].store.KeepLease(ctx, lease)).To(Succeed())
			helper.own.silent.Store(false)
		}
		Expect(all[1].own.calls.Load()).To(BeNumerically(">", 0))
		Expect(all[2].own.calls.Load()).To(BeNumerically(">", 0))
	})

	It("moves a waiting watch to another process when the cut is found", func() {
		// What happens: a watch waits for long when the process is cut off. Another
		// call finds the cut, and the watch hears a change at once instead of after
		// its own long wait.
		all := newProcesses(ctx, store, "a", "b")
		all[0].own.silent.Store(true)
		heard := make(chan kv.Changes, 1)
		go func() {
			defer GinkgoRecover()
			changes, err := all[0].store.Await(ctx, "news/", 0, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			heard <- changes
		}()
		Eventually(all[0].own.calls.Load).Should(BeNumerically(">", 0))
		_, err := all[0].store.Read(ctx, "any")
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: "news/1", Value: []byte("v")}}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(heard, 5*time.Second).Should(Receive())
	})

	It("goes through an entry when the workers are cut off as well, and stays with it", func() {
		// What the caller sees: a batch job is submitted at an entry that is cut off
		// from the store and from all workers, for twelve seconds. It reaches other
		// entries; without them the job was refused at each entry of the domain that
		// was cut off, and its step was lost.
		all := newProcesses(ctx, store, "entry-1", "entry-2", "w1", "w2")
		all[0].own.silent.Store(true)
		all[2].own.silent.Store(true)
		all[3].own.silent.Store(true)
		write := kv.Transaction{Expect: []kv.Expectation{{Key: "k"}}, Puts: []kv.Put{{Key: "k", Value: []byte("v")}}}
		_, err := all[0].store.Commit(ctx, write)
		Expect(errors.Is(err, kv.ErrUnknown)).To(BeTrue())
		began := time.Now()
		committed, err := all[0].store.Commit(ctx, write)
		Expect(err).NotTo(HaveOccurred())
		Expect(committed.Done).To(BeTrue())
		Expect(all[1].own.calls.Load()).To(BeNumerically(">=", 2))
		GinkgoWriter.Println("second try took", time.Since(began))
	})

	It("returns to its direct path when that works again", func() {
		all := newProcesses(ctx, store, "a", "b")
		all[0].own.refuses.Store(true)
		_, err := all[0].store.Read(ctx, "any")
		Expect(err).NotTo(HaveOccurred())
		all[0].own.refuses.Store(false)
		passed := func() int64 {
			before := all[1].own.calls.Load()
			_, err := all[0].store.Read(ctx, "any")
			Expect(err).NotTo(HaveOccurred())
			return all[1].own.calls.Load() - before
		}
		Expect(passed()).To(BeEquivalentTo(1))
		Eventually(passed, 5*time.Second).Should(BeZero())
	})

	It("fails as the store does while no process reaches it", func() {
		all := newProcesses(ctx, store, "a", "b")
		for _, p := range all {
			p.own.refuses.Store(true)
		}
		_, err := all[0].store.Read(ctx, "any")
		Expect(errors.Is(err, kv.ErrUnavailable)).To(BeTrue())
	})

	It("sends no write into an outage that it knows of, so that its outcome is certain", func() {
		// What the caller sees: the store is silent for seconds. A submission
		// that is sent into the silence may have been accepted for all that
		// anybody knows, and its submitter waits until it gives up; one that is
		// preceded by a probe is refused at once as certainly not run.
		all := newProcesses(ctx, store, "a", "b")
		for _, p := range all {
			p.own.refuses.Store(true)
		}
		for range 3 {
			_, err := all[0].store.Read(ctx, "any")
			Expect(errors.Is(err, kv.ErrUnavailable)).To(BeTrue())
		}
		for _, p := range all {
			p.own.silent.Store(true)
			p.own.refuses.Store(false)
		}
		write := kv.Transaction{Puts: []kv.Put{{Key: "k", Value: []byte("v")}}}
		_, err := all[0].store.Commit(ctx, write)
		Expect(errors.Is(err, kv.ErrUnavailable)).To(BeTrue())
		for _, p := range all {
			p.own.silent.Store(false)
		}
		returned := 0
		all[0].store.Recovered = func() { returned++ }
		committed, err := all[0].store.Commit(ctx, write)
		Expect(err).NotTo(HaveOccurred())
		Expect(committed.Done).To(BeTrue())
		Expect(returned).To(Equal(1), "what waits for the store is told")
	})

	It("has one call find out whether a store that answers nobody is back, for all that read", func() {
		// An outage of the store itself: the watches and listings of a process try again
		// and again. Each try was a call of its own, refused or lost, and every process
		// of the system made them.
		all := newProcesses(ctx, store, "a", "b")
		for _, p := range all {
			p.own.refuses.Store(true)
		}
		for range 3 {
			_, err := all[0].store.Read(ctx, "any")
			Expect(errors.Is(err, kv.ErrUnavailable)).To(BeTrue())
		}
		before := all[0].own.calls.Load()
		for range 50 {
			_, err := all[0].store.Read(ctx, "any")
			Expect(errors.Is(err, kv.ErrUnavailable)).To(BeTrue())
		}
		Expect(all[0].own.calls.Load()-before).To(BeNumerically("<=", 10), "calls of 50 reads")
		for _, p := range all {
			p.own.refuses.Store(false)
		}
		Eventually(func() error {
			_, err := all[0].store.Read(ctx, "any")
			return err
		}).WithTimeout(10 * time.Second).Should(Succeed())
	})

	It("passes on the store's own refusals", func() {
		all := newProcesses(ctx, store, "a", "b")
		all[0].own.refuses.Store(true)
		_, err := all[0].store.Read(ctx, "any")
		Expect(err).NotTo(HaveOccurred())
		Expect(errors.Is(all[0].store.KeepLease(ctx, 12345), kv.ErrLeaseNotFound)).To(BeTrue())
		store.DropHistory()
		_, err = all[0].store.Await(ctx, "news/", 0, time.Second)
		Expect(errors.Is(err, kv.ErrHistoryGone)).To(BeTrue())
	})
})

func serve(calls *rpc.Server, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // closed at the end of the spec
		}
		go calls.ServeConn(conn)
	}
}
