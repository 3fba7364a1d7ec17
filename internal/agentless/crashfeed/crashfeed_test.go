package crashfeed_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/crashfeed"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/fanout"
	"siskinloom.example/siskinloom/internal/rpcpool"
	"siskinloom.example/siskinloom/internal/standin"
)

const timeout = "30s"

func TestCrashfeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crashfeed")
}

// receiver records the newest state of the reports that a process got.
type receiver struct {
	mu      sync.Mutex
	states  map[string]string // "reported" or "withdrawn", by key
	from    map[string]string
	listed  map[string]bool
	refused string // key of a report that is not used
}

func (r *receiver) Learn(from string, listed bool, e quarantine.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Key == r.refused {
		return errors.New("not used")
	}
	r.from[e.Key], r.listed[e.Key] = from, listed
	r.states[e.Key] = "reported"
	if e.Withdrawn {
		r.states[e.Key] = "withdrawn"
	}
	return nil
}

func (r *receiver) state(key string) func() string {
	return func() string {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.states[key]
	}
}

func (r *receiver) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.states)
}

// process is one process of a fleet.
type process struct {
	*crashfeed.Feed
	receiver *receiver
	self     cluster.Member
	switches mechanism.Switches
	log      *gbytes.Buffer
	registry metrics.Registry
	stop     func()
}

// fleet is the list of the processes.
type fleet struct {
	members *cluster.Members
	topic   *cluster.Topic
	boots   int64
}

func newFleet() *fleet {
	members := cluster.NewMembers()
	registrar := cluster.NewRegistrar(standin.NewTransactionalStore(), cluster.Member{Name: "none"}, time.Hour, members, logrus.New())
	return &fleet{members: members, topic: registrar.Topic()}
}

// list lists a process.
func (f *fleet) list(m cluster.Member) {
	var raw bytes.Buffer
	Expect(gob.NewEncoder(&raw).Encode(m)).To(Succeed())
	f.boots++
	f.topic.Changed(kv.Record{Key: "live/members/" + m.Name, Value: raw.Bytes(), Revision: f.boots})
}

// start starts a process of the fleet at an address, or at a free one.
func (f *fleet) start(name, domain string, worker bool, address string) *process {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	f.boots++
	p := &process{
		self: cluster.Member{Name: name, Address: listener.Addr().String(), Domain: domain, Worker: worker, Boot: f.boots}, registry: metrics.NewRegistry(),
		receiver: &receiver{states: map[string]string{}, from: map[string]string{}, listed: map[string]bool{}}, log: gbytes.NewBuffer(),
	}
	log := logrus.New()
	log.SetOutput(p.log)
	peers := rpcpool.New(nil)
	p.Feed = crashfeed.New(crashfeed.Config{Self: p.self, Members: f.members, Peers: peers, Receiver: p.receiver, Switches: &p.switches, Log: log, Registry: p.registry})
	server := rpc.NewServer()
	Expect(p.Register(server)).To(Succeed())
	var conns sync.Map
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Store(conn, true)
			go server.ServeConn(conn)
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = p.Run(ctx) }()
	p.stop = sync.OnceFunc(func() {
		cancel()
		<-done
		_ = listener.Close()
		conns.Range(func(c, _ any) bool { _ = c.(net.Conn).Close(); return true })
		peers.Close()
	})
	DeferCleanup(p.stop)
	return p
}

// entry returns the entry of a report with a key.
func entry(key string) quarantine.Entry {
	return quarantine.Entry{Key: key, At: 1, Report: quarantine.Report{Endpoint: "e", Service: "app", Reporter: "p", UnixMilli: 1}}
}

var _ = Describe("Feed", func() {
	var f *fleet
	var roots, entries []*process

	// small starts a fleet without relays: two workers, which are the roots, and three entries.
	small := func() {
		f = newFleet()
		roots = []*process{f.start("w1", "a", true, ""), f.start("w2", "b", true, "")}
		entries = []*process{f.start("e1", "a", false, ""), f.start("e2", "b", false, ""), f.start("e3", "b", false, "")}
		for _, p := range append(entries, roots...) {
			f.list(p.self)
		}
	}

	// Guards against a request that ends further endpoints through processes that hear of its ends
	// only from the store, which may be away.
	It("tells all processes of a report, and that it no longer counts", func() {
		small()
		entries[0].Announce(entry("k"))
		for _, p := range append(entries[1:], roots...) {
			Eventually(p.receiver.state("k"), timeout).Should(Equal("reported"))
		}
		entries[2].Announce(quarantine.Entry{Key: "k", At: 1, Withdrawn: true})
		for _, p := range append(entries[:2], roots...) {
			Eventually(p.receiver.state("k"), timeout).Should(Equal("withdrawn"))
		}
	})

	It("tells a process that starts later", func() {
		small()
		entries[0].Announce(entry("k"))
		Eventually(entries[1].receiver.state("k"), timeout).Should(Equal("reported"))
		late := f.start("e4", "a", false, "")
		Eventually(late.receiver.state("k"), timeout).Should(Equal("reported"))
	})

	// Guards against reports that stop with one of the two processes that pass them on.
	It("goes on while one of the roots is lost, and brings its successor up to date", func() {
		small()
		entries[0].Announce(entry("before"))
		Eventually(roots[0].receiver.state("before"), timeout).Should(Equal("reported"))
		roots[0].stop()
		entries[0].Announce(entry("k"))
		for _, p := range entries[1:] {
			Eventually(p.receiver.state("k"), timeout).Should(Equal("reported"))
		}
		again := f.start("w1", "a", true, roots[0].self.Address)
		f.list(again.self)
		for _, key := range []string{"before", "k"} {
			Eventually(again.receiver.state(key), timeout).Should(Equal("reported"))
		}
	})

	// Guards against a process that accepts connections and never answers holding up the other way.
	It("goes on while one of the roots is silent", func() {
		small()
		roots[0].stop()
		silent, err := net.Listen("tcp", roots[0].self.Address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(silent.Close)
		entries[0].Announce(entry("k"))
		Eventually(entries[1].receiver.state("k"), timeout).Should(Equal("reported"))
	})

	// Guards against reports of entries of a large fleet that stay with their relay, as most entries
	// are not listed and know no others.
	It("passes reports through relays, also of a process that is not listed", func() {
		f = newFleet()
		for i := range 40 {
			f.list(cluster.Member{Name: fmt.Sprint("w", i), Address: "127.0.0.1:1", Domain: []string{"a", "b"}[i%2], Worker: true})
		}
		tree := f.members.Tree()
		Expect(tree.HasRelays()).To(BeTrue())
		running := map[string]*process{}
		for _, m := range append(append([]cluster.Member(nil), tree.Roots...), tree.Relays...) {
			p := f.start(m.Name, m.Domain, true, "")
			running[m.Name] = p
			f.list(p.self)
		}
		Expect(f.members.Tree().RoleOf(tree.Relays[0].Name)).To(Equal(fanout.Relay))
		sender, follower := f.start("e1", "a", false, ""), f.start("e2", "b", false, "")
		sender.Announce(entry("k"))
		Eventually(follower.receiver.state("k"), timeout).Should(Equal("reported"))
		for _, p := range running {
			Eventually(p.receiver.state("k"), timeout).Should(Equal("reported"))
			p.receiver.mu.Lock()
			Expect(p.receiver.listed["k"]).To(Equal(p.receiver.from["k"] != "e1"), "%s got it from %s", p.self.Name, p.receiver.from["k"])
			p.receiver.mu.Unlock()
		}
	})

	// Guards against reports that end at processes which were started during an outage of the store.
	It("takes senders for listed only while it knows no other process", func() {
		f = newFleet()
		started := newFleet() // what the root knows
		root := started.start("w1", "a", true, "")
		f.list(root.self)
		started.list(root.self)
		sender, follower := f.start("e1", "a", false, ""), f.start("e2", "b", false, "")
		isListed := func(key string) bool {
			sender.Announce(entry(key))
			Eventually(follower.receiver.state(key), timeout).Should(Equal("reported"))
			root.receiver.mu.Lock()
			defer root.receiver.mu.Unlock()
			return root.receiver.listed[key]
		}
		Expect(isListed("before the first list")).To(BeTrue())
		started.list(cluster.Member{Name: "w2", Address: "127.0.0.1:1", Worker: true})
		Expect(isListed("after")).To(BeFalse())
	})

	It("passes on nothing that its quarantine does not use, and logs it", func() {
		small()
		for _, p := range roots {
			p.receiver.refused = "k"
		}
		entries[0].Announce(entry("k"))
		entries[0].Announce(entry("other"))
		Eventually(entries[1].receiver.state("other"), timeout).Should(Equal("reported"))
		Expect(entries[1].receiver.state("k")()).To(BeEmpty())
		Eventually(roots[0].log, timeout).Should(gbytes.Say(`event=2544`))
	})

	// Guards against a quarantine that an operator ended and that a process learns anew from another
	// one's memory.
	It("does not pass on a report that was removed from the store", func() {
		small()
		entries[0].Announce(entry("k"))
		for _, p := range append(entries[1:], roots...) {
			Eventually(p.receiver.state("k"), timeout).Should(Equal("reported"))
		}
		for _, p := range append(entries, roots...) {
			p.Forget(time.Now(), "k")
		}
		late := f.start("e4", "a", false, "")
		Eventually(late.receiver.state("k"), timeout).Should(Equal("withdrawn"))
	})

	// Guards against memory and messages that grow with the number of reports.
	It("refuses messages with more reports than allowed, and keeps a bounded number", func() {
		small()
		var reply crashfeed.ReportReply
		args := crashfeed.ReportArgs{From: "e1"}
		for i := range 33 {
			args.Entries = append(args.Entries, entry(fmt.Sprint("many", i)))
		}
		client, err := rpc.Dial("tcp", roots[0].self.Address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		Expect(client.Call("Crashes.Report", args, &reply)).To(MatchError(ContainSubstring("too many reports")))
		for i := range 1000 {
			e := entry(fmt.Sprint("k", i))
			e.At = int64(1 + i)
			roots[0].Announce(e)
		}
		got, position := 0, crashfeed.AfterArgs{}
		for {
			var after crashfeed.AfterReply
			Expect(client.Call("Crashes.After", position, &after)).To(Succeed())
			if len(after.Entries) == 0 {
				break
			}
			Expect(len(after.Entries)).To(BeNumerically("<=", 32))
			got, position.Position = got+len(after.Entries), after.Position
		}
		Expect(got).To(Equal(512))
	})

	It("sends and follows nothing while the mechanism is disabled", func() {
		small()
		for _, p := range append(entries, roots...) {
			p.switches.SetDisabled([]mechanism.Mechanism{mechanism.TellEnds})
		}
		entries[0].Announce(entry("k"))
		Consistently(func() int {
			n := 0
			for _, p := range append(entries[1:], roots...) {
				n += p.receiver.count()
			}
			return n
		}, "300ms").Should(BeZero())
		for _, p := range append(entries, roots...) {
			p.switches.SetDisabled(nil)
		}
		Eventually(entries[1].receiver.state("k"), timeout).Should(Equal("reported"))
	})

	// Guards against news of an end that waits for a second because that of the ends before came in
	// several messages, while copies of the request go to further endpoints.
	It("takes single reports without delay, and many at 32 per second", func() {
		limiter, now := crashfeed.NewLimiter(), time.Now()
		for range 100 {
			Expect(crashfeed.DelayAfter(limiter, now, 1)).To(BeZero())
		}
		limiter = crashfeed.NewLimiter()
		began := now
		for range 100 {
			now = now.Add(crashfeed.DelayAfter(limiter, now, 32))
		}
		Expect(now.Sub(began).Seconds()).To(BeNumerically(">=", (3200-4*32)/32))
		Expect(crashfeed.DelayAfter(crashfeed.NewLimiter(), now, 1000)).To(BeZero(), "more than allowed")
	})

	// Guards against a rolling restart in which processes of the release before answer that they don't
	// know the service: the other way must go on, and the log must not fill.
	It("goes on beside a process of a release without the service", func() {
		small()
		roots[0].stop()
		listener, err := net.Listen("tcp", roots[0].self.Address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go rpc.NewServer().Accept(listener)
		entries[0].Announce(entry("k"))
		Eventually(entries[1].receiver.state("k"), timeout).Should(Equal("reported"))
		Eventually(entries[0].log, timeout).Should(gbytes.Say(`event=2545`))
		failed := entries[0].registry.Get("crashfeed.failed").(metrics.Counter)
		Eventually(failed.Count, timeout).Should(BeNumerically(">=", 5))
		Expect(bytes.Count(entries[0].log.Contents(), []byte("event=2545"))).To(Equal(1))
	})
})
