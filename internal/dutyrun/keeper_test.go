package dutyrun_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/dutyrun"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/standin"
)

func TestDutyrun(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dutyrun")
}

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// entryGroup runs keepers that share a list of members.
type entryGroup struct {
	platform string
	mu       sync.Mutex
	members  []duties.Member
}

func (e *entryGroup) liveMembers() []duties.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]duties.Member(nil), e.members...)
}

func (e *entryGroup) removeMember(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var remaining []duties.Member
	for _, m := range e.members {
		if m.ID != id {
			remaining = append(remaining, m)
		}
	}
	e.members = remaining
}

func (e *entryGroup) start(self duties.Member, names []string) *dutyrun.Keeper {
	store, err := kv.NewClient(kv.Options{Address: e.platform, Writer: self.ID, CallsPerSec: 500})
	Expect(err).NotTo(HaveOccurred())
	config := duties.DefaultConfig()
	config.TTL, config.Margin, config.RenewInterval = 2*time.Second, 200*time.Millisecond, 300*time.Millisecond
	config.PollInterval, config.Jitter = 300*time.Millisecond, 100*time.Millisecond
	k := dutyrun.New(dutyrun.Options{
		Store:      store,
		Deployment: "d",
		Self:       self,
		Names:      func() []string { return names },
		Members:    e.liveMembers,
		Log:        quietLog(),
		Config:     config,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = k.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-done
		_ = store.Close()
	})
	return k
}

var _ = Describe("Keeper", func() {
	names := []string{"claims/0", "claims/1", "claims/2", "claims/3", "feed/a", "weights/b"}
	var platform *standin.Platform
	var entries *entryGroup
	var keepers []*dutyrun.Keeper

	BeforeEach(func() {
		platform = standin.NewPlatform(standin.PlatformOptions{})
		address, err := platform.Start("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(platform.Close)
		entries = &entryGroup{platform: address, members: []duties.Member{
			{ID: "entry-1", Address: "127.0.0.1:1"},
			{ID: "entry-2", Address: "127.0.0.1:2"},
		}}
		keepers = nil
		for _, m := range entries.liveMembers() {
			keepers = append(keepers, entries.start(m, names))
		}
	})

	countHolders := func() (holders int, epochs int64) {
		for _, name := range names {
			for _, k := range keepers {
				if _, epoch, mine := k.KnownHolder(name); mine {
					holders++
					epochs += epoch
				}
			}
		}
		return holders, epochs
	}
	holderCount := func() int {
		holders, _ := countHolders()
		return holders
	}

	It("assigns each duty to one entry, even if a response is lost", func() {
		platform.LoseAnswers(3)
		Eventually(holderCount).WithTimeout(20 * time.Second).Should(Equal(len(names)))
	})

	It("hands the duties of a leaving entry over to the remaining one", func() {
		Eventually(holderCount).WithTimeout(20 * time.Second).Should(Equal(len(names)))
		entries.removeMember("entry-1")
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		Expect(keepers[0].Stop(ctx)).To(Succeed())
		Eventually(func() int {
			count := 0
			for _, name := range names {
				if _, _, mine := keepers[1].KnownHolder(name); mine {
					count++
				}
			}
			return count
		}).WithTimeout(20 * time.Second).Should(Equal(len(names)))
	})

	// The key-value service is unavailable for longer than a lease. No holder
	// may continue as such. After the outage, each duty has one holder again,
	// under a higher epoch.
	It("lets every lease expire in an outage and acquires the duties again after it", func() {
		Eventually(holderCount).WithTimeout(20 * time.Second).Should(Equal(len(names)))
		platform.SetDown(true)
		Eventually(holderCount).WithTimeout(20 * time.Second).Should(BeZero())
		platform.SetDown(false)
		Eventually(holderCount).WithTimeout(20 * time.Second).Should(Equal(len(names)))
		_, epochs := countHolders()
		Expect(epochs).To(BeNumerically(">=", 2*len(names)))
	})

	It("notifies subscribers only of duties with their prefix", func() {
		var mu sync.Mutex
		isHolder := map[string]bool{}
		for _, k := range keepers {
			k.OnChange("feed/", func(c duties.Change) {
				mu.Lock()
				defer mu.Unlock()
				isHolder[c.Duty] = c.LeaseState == duties.Holder
			})
		}
		Eventually(func() map[string]bool {
			mu.Lock()
			defer mu.Unlock()
			return map[string]bool{"feed/a": isHolder["feed/a"], "n": len(isHolder) == 1}
		}).WithTimeout(20 * time.Second).Should(Equal(map[string]bool{"feed/a": true, "n": true}))
	})
})
