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

// faultyStore is one process's direct path to the store, which can be made to fail.
type faultyStore struct {
	kv.TransactionalStore
	silent atomic.Bool // calls get no answer
	refuse atomic.Bool // calls are refused
	calls  atomic.Int64
}

func (f *faultyStore) fault(ctx context.Context) error {
	f.calls.Add(1)
	if f.refuse.Load() {
		return errors.Wrap(kv.ErrUnavailable, "refused")
	}
	if !f.silent.Load() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (f *faultyStore) Read(ctx context.Context, key string) (kv.Record, error) {
	if err := f.fault(ctx); err != nil {
		return kv.Record{}, errors.Wrap(kv.ErrUnavailable, err.Error())
	}
	return f.TransactionalStore.Read(ctx, key)
}

func (f *faultyStore) KeepLease(ctx context.Context, id kv.LeaseID) error {
	if err := f.fault(ctx); err != nil {
		return errors.Wrap(kv.ErrUnknown, err.Error())
	}
	return f.TransactionalStore.KeepLease(ctx, id)
}

func (f *faultyStore) Commit(ctx context.Context, t kv.Transaction) (kv.Committed, error) {
	if err := f.fault(ctx); err != nil {
		if f.refuse.Load() {
			return kv.Committed{}, err
		}
		return kv.Committed{}, errors.Wrap(kv.ErrUnknown, err.Error())
	}
	return f.TransactionalStore.Commit(ctx, t)
}

func (f *faultyStore) Await(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.Changes, error) {
	if err := f.fault(ctx); err != nil {
		return kv.Changes{}, errors.Wrap(kv.ErrUnavailable, err.Error())
	}
	return f.TransactionalStore.Await(ctx, prefix, after, wait)
}

// process is one process of the system with its path to the store.
type process struct {
	direct *faultyStore
	store  *storepath.Store
}

// newProcesses starts processes that are members of one cluster and share a store.
// Those whose names start with "entry" are entries, the others are workers.
func newProcesses(ctx context.Context, store kv.TransactionalStore, names ...string) []process {
	log := logrus.New()
	log.SetOutput(io.Discard)
	members := cluster.NewMembers()
	var all []process
	for _, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		self := cluster.Member{Name: name, Address: listener.Addr().String(), Worker: !strings.HasPrefix(name, "entry")}
		direct := &faultyStore{TransactionalStore: store}
		s := storepath.New(direct, self, members, rpcpool.New(nil), log, metrics.NewRegistry())
		calls := rpc.NewServer()
		Expect(s.Register(calls)).To(Succeed())
		go serve(calls, listener)
		r := cluster.NewRegistrar(store, self, time.Hour, members, log)
		go func() { _ = (&cluster.Follower{Store: store, Topic: r.Topic()}).Run(ctx) }()
		go func() { _ = r.Run(ctx) }()
		all = append(all, process{direct, s})
	}
	Eventually(func() int { return len(members.Live()) }).Should(Equal(len(names)))
	return all
}

var _ = Describe("Store with peers", func() {
	var ctx context.Context
	var store *standin.TransactionalStore
	BeforeEach(func() {
		limited, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		ctx, store = limited, standin.NewTransactionalStore()
	})

	It("renews a lease while this process gets no answers from the store", func() {
		// An owner of batch jobs is cut off from the store. Its renewal gets no answer
		// and goes through another worker before the lease expires; later renewals go
		// there at once. Without relaying the lease expires, and the owner's jobs are
		// started again elsewhere.
		all := newProcesses(ctx, store, "a", "b", "c")
		lease, _, err := all[0].store.GrantLease(ctx, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		all[0].direct.silent.Store(true)
		Expect(all[0].store.KeepLease(ctx, lease)).To(Succeed())
		before := all[0].direct.calls.Load()
		Expect(all[0].store.KeepLease(ctx, lease)).To(Succeed())
		Expect(all[0].direct.calls.Load()).To(Equal(before), "calls go through peers first")
	})

	It("never makes a transaction twice, and returns that its outcome is unknown", func() {
		// A write is in flight when the process is cut off, and it is unknown whether it
		// took effect. If it were repeated through a peer, its own condition would
		// fail, which looks like a conflict with another writer.
		all := newProcesses(ctx, store, "a", "b")
		all[0].direct.silent.Store(true)
		write := kv.Transaction{Expect: []kv.Expectation{{Key: "k"}}, Puts: []kv.Put{{Key: "k", Value: []byte("v")}}}
		_, err := all[0].store.Commit(ctx, write)
		Expect(errors.Is(err, kv.ErrUnknown)).To(BeTrue())
		record, err := store.Read(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Revision).To(BeZero(), "the transaction was lost")
		committed, err := all[0].store.Commit(ctx, write)
		Expect(err).NotTo(HaveOccurred())
		Expect(committed.Done).To(BeTrue(), "the next transaction goes through the other process")
	})

	It("makes a refused call through a peer at once", func() {
		// A refused call certainly had no effect, so that even a transaction may be
		// repeated.
		all := newProcesses(ctx, store, "a", "b")
		all[0].direct.refuse.Store(true)
		committed, err := all[0].store.Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: "k", Value: []byte("v")}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(committed.Done).To(BeTrue())
	})

	It("asks another peer when the last one does not answer", func() {
		// The store loses answers, including those to the peer that relays calls. A
		// renewal that waited for that peer alone took so long that the lease expired,
		// and the owner's jobs were moved.
		all := newProcesses(ctx, store, "a", "b", "c")
		lease, _, err := all[0].store.GrantLease(ctx, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		all[0].direct.silent.Store(true)
		Expect(all[0].store.KeepLease(ctx, lease)).To(Succeed())
		for _, peer := range all[1:] {
			peer.direct.silent.Store(true)
			Expect(all[0].store.KeepLease(ctx, lease)).To(Succeed())
			peer.direct.silent.Store(false)
		}
		Expect(all[1].direct.calls.Load()).To(BeNumerically(">", 0))
		Expect(all[2].direct.calls.Load()).To(BeNumerically(">", 0))
	})

	It("moves a waiting watch to a peer when the process turns out to be cut off", func() {
		// A watch is waiting when the process is cut off. Another call detects that,
		// and the watch receives a change at once instead of after its own long wait.
		all := newProcesses(ctx, store, "a", "b")
		all[0].direct.silent.Store(true)
		received := make(chan kv.Changes, 1)
		go func() {
			defer GinkgoRecover()
			changes, err := all[0].store.Await(ctx, "news/", 0, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			received <- changes
		}()
		Eventually(all[0].direct.calls.Load).Should(BeNumerically(">", 0))
		_, err := all[0].store.Read(ctx, "any")
		Expect(err).NotTo(HaveOccurred())
		_, err = store.Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: "news/1", Value: []byte("v")}}})
		Expect(err).NotTo(HaveOccurred())
		Eventually(received, 5*time.Second).Should(Receive())
	})

	It("goes through an entry when the workers are cut off as well, and keeps using it", func() {
		// A batch job is submitted at an entry that is cut off from the store and from
		// all workers for twelve seconds, but reaches other entries. Without relaying
		// through entries the job was refused at each entry of the failure domain that
		// was cut off, and its step was lost.
		all := newProcesses(ctx, store, "entry-1", "entry-2", "w1", "w2")
		all[0].direct.silent.Store(true)
		all[2].direct.silent.Store(true)
		all[3].direct.silent.Store(true)
		write := kv.Transaction{Expect: []kv.Expectation{{Key: "k"}}, Puts: []kv.Put{{Key: "k", Value: []byte("v")}}}
		_, err := all[0].store.Commit(ctx, write)
		Expect(errors.Is(err, kv.ErrUnknown)).To(BeTrue())
		began := time.Now()
		committed, err := all[0].store.Commit(ctx, write)
		Expect(err).NotTo(HaveOccurred())
		Expect(committed.Done).To(BeTrue())
		Expect(all[1].direct.calls.Load()).To(BeNumerically(">=", 2))
		GinkgoWriter.Println("second try took", time.Since(began))
	})

	It("returns to the direct path when that works again", func() {
		all := newProcesses(ctx, store, "a", "b")
		all[0].direct.refuse.Store(true)
		_, err := all[0].store.Read(ctx, "any")
		Expect(err).NotTo(HaveOccurred())
		all[0].direct.refuse.Store(false)
		relayedCalls := func() int64 {
			before := all[1].direct.calls.Load()
			_, err := all[0].store.Read(ctx, "any")
			Expect(err).NotTo(HaveOccurred())
			return all[1].direct.calls.Load() - before
		}
		Expect(relayedCalls()).To(BeEquivalentTo(1))
		Eventually(relayedCalls, 5*time.Second).Should(BeZero())
	})

	It("returns the store's error while no process reaches it", func() {
		all := newProcesses(ctx, store, "a", "b")
		for _, p := range all {
			p.direct.refuse.Store(true)
		}
		_, err := all[0].store.Read(ctx, "any")
		Expect(errors.Is(err, kv.ErrUnavailable)).To(BeTrue())
	})

	It("sends no write during a known outage, so that its outcome is certain", func() {
		// The store does not answer for seconds. A submission that is sent meanwhile
		// may have been accepted, so its submitter has to wait until it gives up. One
		// that is preceded by a probe is refused at once as certainly not run.
		all := newProcesses(ctx, store, "a", "b")
		for _, p := range all {
			p.direct.refuse.Store(true)
		}
		for range 3 {
			_, err := all[0].store.Read(ctx, "any")
			Expect(errors.Is(err, kv.ErrUnavailable)).To(BeTrue())
		}
		for _, p := range all {
			p.direct.silent.Store(true)
			p.direct.refuse.Store(false)
		}
		write := kv.Transaction{Puts: []kv.Put{{Key: "k", Value: []byte("v")}}}
		_, err := all[0].store.Commit(ctx, write)
		Expect(errors.Is(err, kv.ErrUnavailable)).To(BeTrue())
		for _, p := range all {
			p.direct.silent.Store(false)
		}
		recovered := 0
		all[0].store.Recovered = func() { recovered++ }
		committed, err := all[0].store.Commit(ctx, write)
		Expect(err).NotTo(HaveOccurred())
		Expect(committed.Done).To(BeTrue())
		Expect(recovered).To(Equal(1), "calls of Recovered")
	})

	It("shares one probe among all reads while the store answers no process", func() {
		// During an outage of the store the watches and listings of a process retry
		// again and again. Without the shared probe each retry is a call of its own,
		// refused or lost, in every process of the system.
		all := newProcesses(ctx, store, "a", "b")
		for _, p := range all {
			p.direct.refuse.Store(true)
		}
		for range 3 {
			_, err := all[0].store.Read(ctx, "any")
			Expect(errors.Is(err, kv.ErrUnavailable)).To(BeTrue())
		}
		before := all[0].direct.calls.Load()
		for range 50 {
			_, err := all[0].store.Read(ctx, "any")
			Expect(errors.Is(err, kv.ErrUnavailable)).To(BeTrue())
		}
		Expect(all[0].direct.calls.Load()-before).To(BeNumerically("<=", 10), "calls of 50 reads")
		for _, p := range all {
			p.direct.refuse.Store(false)
		}
		Eventually(func() error {
			_, err := all[0].store.Read(ctx, "any")
			return err
		}).WithTimeout(10 * time.Second).Should(Succeed())
	})

	It("returns the store's own errors through a peer", func() {
		all := newProcesses(ctx, store, "a", "b")
		all[0].direct.refuse.Store(true)
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
