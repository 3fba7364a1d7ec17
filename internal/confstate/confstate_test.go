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

const wait = 30 * time.Second

// fleet is three entries and an agent in one process, whose heartbeats are
// calls. An entry that is cut off exchanges none.
type fleet struct {
	platform *standin.Platform
	entries  []config.Peer
	holders  []*confstate.State // the agent's last
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
		f.holders = append(f.holders, f.newHolder(i, address))
	}
	for i, h := range f.holders {
		running.Go(func() { _ = h.Run(ctx) })
		if i < 3 {
			running.Go(func() { f.beat(ctx, i) })
		}
	}
	return f
}

func (f *fleet) newHolder(i int, address string) *confstate.State {
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
				return f.holders[j].Serve(request), nil
			}
		}
		return wire.ConfigReply{}, errors.New("not reached")
	}
	h := confstate.New(o)
	h.SetEntries(f.entries)
	return h
}

// beat exchanges entry i's heartbeats until ctx ends.
func (f *fleet) beat(ctx context.Context, i int) {
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		for j, h := range f.holders {
			if i == j || f.cutOff[i].Load() || f.cutOff[j].Load() {
				continue
			}
			sent := time.Now()
			h.Heard(ctx, f.entries[i], f.holders[i].Revisions(), sent)
			theirs := h.Revisions()
			if j < 3 {
				f.holders[i].Heard(ctx, f.entries[j], theirs, sent)
			}
			if reply, lacks := f.holders[i].UpdateFor(theirs); lacks {
				_ = h.ApplyReply(reply)
			}
		}
	}
}

func (f *fleet) change(i int, expected int64, id string, weight float64) (config.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return f.holders[i].Change(ctx, config.Request{
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
	for _, h := range f.holders {
		all = append(all, h.Revision())
	}
	return all
}

func (f *fleet) ready() []bool {
	var all []bool
	for _, h := range f.holders {
		all = append(all, h.Ready())
	}
	return all
}

var _ = Describe("Holder", func() {
	var f *fleet
	BeforeEach(func() {
		f = newFleet()
		Eventually(f.holders[0].MayAccept).WithTimeout(wait).Should(BeTrue())
		result, err := f.change(0, 0, "one", 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Verdict).To(Equal(config.Accepted))
		Eventually(f.revisions).WithTimeout(wait).Should(Equal([]int64{1, 1, 1, 1}))
		Eventually(f.ready).WithTimeout(wait).Should(Equal([]bool{true, true, true, true}))
	})

	It("settles a change whose answer was lost and tells subscribers in order", func() {
		var mu sync.Mutex
		var told []int64
		f.holders[3].OnApply(func(_ *decl.Deployment, revision int64) {
			mu.Lock()
			defer mu.Unlock()
			told = append(told, revision)
		})
		f.platform.LoseNextAnswer(1)
		result, err := f.change(1, 1, "two", 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Verdict).To(Equal(config.Accepted))
		Eventually(f.revisions).WithTimeout(wait).Should(Equal([]int64{2, 2, 2, 2}))
		seen := func() []int64 {
			mu.Lock()
			defer mu.Unlock()
			return append([]int64(nil), told...)
		}
		// A revision shows a moment before its subscribers are told.
		Eventually(seen).WithTimeout(wait).Should(Equal([]int64{1, 2}))
		audit, err := f.holders[2].Audit(context.Background(), 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(audit).To(HaveLen(2))
	})

	// The platform is away for longer than the bound. Nobody can accept a
	// change, so the entries, which hear each other, go on with what they hold;
	// one that hears nobody stops.
	It("goes on in an outage, but not an entry that is cut off", func() {
		f.platform.Outage(true)
		f.cutOff[2].Store(true)
		Eventually(f.holders[2].Ready).WithTimeout(wait).Should(BeFalse())
		Consistently(f.holders[0].Ready).WithTimeout(2 * time.Second).Should(BeTrue())
		result, err := f.change(0, 1, "two", 2)
		Expect(err).To(HaveOccurred())
		Expect(result.Verdict).To(BeElementOf(config.Failed, config.Unknown))
		Expect(f.holders[0].Revision()).To(Equal(int64(1)))
	})

	// An entry is cut off from the others but reaches the platform. It may not
	// accept a change that would find no way to them; it still follows theirs.
	It("accepts no change on an entry that hears too few failure domains", func() {
		f.cutOff[2].Store(true)
		Eventually(f.holders[2].MayAccept).WithTimeout(wait).Should(BeFalse())
		_, err := f.change(2, 1, "two", 2)
		Expect(err).To(MatchError(ContainSubstring("failure domains")))
		result, err := f.change(0, 1, "three", 3)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Verdict).To(Equal(config.Accepted))
		Eventually(f.revisions).WithTimeout(wait).Should(Equal([]int64{2, 2, 2, 2}))
	})

	It("never goes back to an older snapshot", func() {
		old := f.holders[0].Serve(wire.ConfigRequest{Deployment: "d"})
		_, err := f.change(0, 1, "two", 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.holders[0].ApplyReply(old)).To(Succeed())
		Expect(f.holders[0].Revision()).To(Equal(int64(2)))
		old.Revision = 9
		Expect(f.holders[0].ApplyReply(old)).To(MatchError(ContainSubstring("was due")))
	})
})
