package confstate_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/confstate"
	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/config"
	"siskinloom.example/siskinloom/internal/standin"
	"siskinloom.example/siskinloom/internal/wire"
)

func TestConfstate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "confstate")
}

const timeout = 30 * time.Second

// fleet is three entries and an agent in one process that exchange heartbeats
// by direct calls. A cut-off instance exchanges none.
type fleet struct {
	platform *standin.Platform
	entries  []config.Peer
	states   []*confstate.State // the agent's is the last one
	cutOff   [4]atomic.Bool
}

func newFleet() *fleet {
	f := &fleet{platform: standin.NewPlatform(standin.PlatformOptions{})}
	address, err := f.platform.Start("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	DeferCleanup(func() {
		cancel()
		running.Wait()
		f.platform.Close()
	})
	for i := range 3 {
		f.entries = append(f.entries, config.Peer{ID: fmt.Sprint("entry-", i), Domain: fmt.Sprint("hall-", i)})
	}
	for i := range 4 {
		f.states = append(f.states, f.newState(i, address))
	}
	for i, st := range f.states {
		running.Go(func() { _ = st.Run(ctx) })
		if i < 3 {
			running.Go(func() { f.exchangeHeartbeats(ctx, i) })
		}
	}
	return f
}

func (f *fleet) newState(i int, address string) *confstate.State {
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := confstate.Options{Deployment: "d", Log: log, Config: config.DefaultFollowerConfig()}
	o.Config.PollInterval, o.Config.OwnReadDelay, o.Config.MaxStaleness = 100*time.Millisecond, 300*time.Millisecond, time.Second
	if i == 3 {
		o.Self = config.Peer{ID: "agent", Domain: "hall-0"}
		return confstate.New(o)
	}
	store, err := kv.NewClient(kv.Options{Address: address, Writer: f.entries[i].ID, CallsPerSec: 200})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(store.Close)
	o.Self, o.Entry, o.Store = f.entries[i], true, store
	o.Fetch = func(_ context.Context, peer string, request wire.ConfigRequest) (wire.ConfigReply, error) {
		for j, e := range f.entries {
			if e.ID == peer && !f.cutOff[j].Load() {
				return f.states[j].Serve(request), nil
			}
		}
		return wire.ConfigReply{}, errors.New("not reached")
	}
	st := confstate.New(o)
	st.SetEntries(f.entries)
	return st
}

// exchangeHeartbeats exchanges entry i's heartbeats until ctx is done.
func (f *fleet) exchangeHeartbeats(ctx context.Context, i int) {
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		for j, st := range f.states {
			if i == j || f.cutOff[i].Load() || f.cutOff[j].Load() {
				continue
			}
			sentAt := time.Now()
			st.StatusReceived(ctx, f.entries[i], f.states[i].Revisions(), sentAt)
			theirs := st.Revisions()
			if j < 3 {
				f.states[i].StatusReceived(ctx, f.entries[j], theirs, sentAt)
			}
			if reply, lacking := f.states[i].UpdateFor(theirs); lacking {
				_ = st.ApplyReply(reply)
			}
		}
	}
}

func (f *fleet) change(i int, expected int64, id string, weight float64) (config.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return f.states[i].Change(ctx, config.Request{
		Deployment: "d", Expected: expected, Operator: "ana", ChangeID: id, Action: config.ActionApply, Now: time.Now(),
		Edit: func(current *decl.Deployment) *decl.Deployment {
			next := *current
			next.Name, next.Businesses = "d", []decl.Business{{Name: "b", Weight: weight}}
			return &next
		},
	})
}

func (f *fleet) revisions() []int64 {
	var all []int64
	for _, st := range f.states {
		all = append(all, st.Revision())
	}
	return all
}

func (f *fleet) ready() []bool {
	var all []bool
	for _, st := range f.states {
		all = append(all, st.Ready())
	}
	return all
}

var _ = Describe("State", func() {
	var f *fleet
	BeforeEach(func() {
		f = newFleet()
		Eventually(f.states[0].MayAccept).WithTimeout(timeout).Should(BeTrue())
		result, err := f.change(0, 0, "one", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Verdict).To(Equal(config.Accepted))
		Eventually(f.revisions).WithTimeout(timeout).Should(Equal([]int64{1, 1, 1, 1}))
		Eventually(f.ready).WithTimeout(timeout).Should(Equal([]bool{true, true, true, true}))
	})

	It("determines the outcome of a change whose response was lost and notifies subscribers in order", func() {
		var mu sync.Mutex
		var notified []int64
		f.states[3].OnApply(func(_ *decl.Deployment, revision int64) {
			mu.Lock()
			defer mu.Unlock()
			notified = append(notified, revision)
		})
		f.platform.LoseAnswers(1)
		result, err := f.change(1, 1, "two", 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Verdict).To(Equal(config.Accepted))
		Eventually(f.revisions).WithTimeout(timeout).Should(Equal([]int64{2, 2, 2, 2}))
		notifiedRevisions := func() []int64 {
			mu.Lock()
			defer mu.Unlock()
			return append([]int64(nil), notified...)
		}
		// A revision is visible shortly before its subscribers are notified.
		Eventually(notifiedRevisions).WithTimeout(timeout).Should(Equal([]int64{1, 2}))
		audit, err := f.states[2].Audit(context.Background(), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(audit).To(HaveLen(2))
	})

	// The platform is unavailable for longer than the staleness limit. Nobody
	// can accept a change, so the entries that are in contact with each other
	// continue with their configuration. An entry without contact to the others
	// stops.
	It("stays ready in an outage, except on an entry that is cut off", func() {
		f.platform.SetDown(true)
		f.cutOff[2].Store(true)
		Eventually(f.states[2].Ready).WithTimeout(timeout).Should(BeFalse())
		Consistently(f.states[0].Ready).WithTimeout(2 * time.Second).Should(BeTrue())
		result, err := f.change(0, 1, "two", 2)
		Expect(err).To(HaveOccurred())
		Expect(result.Verdict).To(BeElementOf(config.Failed, config.Unknown))
		Expect(f.states[0].Revision()).To(Equal(int64(1)))
	})

	// An entry is cut off from the others but reaches the platform. It must not
	// accept a change that it couldn't pass on to them, but it still follows
	// their changes.
	It("accepts no change on an entry in contact with too few failure domains", func() {
		f.cutOff[2].Store(true)
		Eventually(f.states[2].MayAccept).WithTimeout(timeout).Should(BeFalse())
		_, err := f.change(2, 1, "two", 2)
		Expect(err).To(MatchError(ContainSubstring("failure domains")))
		result, err := f.change(0, 1, "three", 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Verdict).To(Equal(config.Accepted))
		Eventually(f.revisions).WithTimeout(timeout).Should(Equal([]int64{2, 2, 2, 2}))
	})

	It("never reverts to an older snapshot", func() {
		old := f.states[0].Serve(wire.ConfigRequest{Deployment: "d"})
		_, err := f.change(0, 1, "two", 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.states[0].ApplyReply(old)).To(Succeed())
		Expect(f.states[0].Revision()).To(Equal(int64(2)))
		old.Revision = 9
		Expect(f.states[0].ApplyReply(old)).To(MatchError(ContainSubstring("was expected")))
	})
})
