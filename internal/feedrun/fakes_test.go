package feedrun_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"siskinloom.example/siskinloom/api/trainerpb"
	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/engineapi"
	"siskinloom.example/siskinloom/internal/entry"
	"siskinloom.example/siskinloom/internal/feedrun"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/standin"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	trainerKey = "trainer-key"
	deployment = "ledgerwise"
	feed       = "polite"
)

func declaration() *decl.Deployment {
	sum := sha256.Sum256([]byte(trainerKey))
	return &decl.Deployment{
		Name: deployment,
		Feeds: []decl.Feed{{
			Name: feed, Service: "tone", Business: "kheda", Model: "tone", Scorer: "scorer",
			TrainerSHA256: hex.EncodeToString(sum[:]), StalenessBound: 2,
			GroupSize: 4, GroupsPerStep: 4, LotSize: 8, MaxTokens: 16,
			WeightIdle: 4, WeightStaleness: 1, Share: 1,
			Prompts: []string{"remind {step} {group}", "remind firmly {step} {group}"},
		}},
	}
}

// memoryStore is a key-value service in memory that can be made unavailable.
type memoryStore struct {
	kv.Store
	mu          sync.Mutex
	record      kv.Record
	unavailable bool
}

func (m *memoryStore) setUnavailable(unavailable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = unavailable
}

func (m *memoryStore) Get(context.Context, kv.Use, string) (kv.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return kv.Record{}, kv.ErrUnavailable
	}
	return m.record, nil
}

func (m *memoryStore) CompareAndSwap(_ context.Context, _ kv.Use, w kv.Write) (bool, kv.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return false, kv.Record{}, kv.ErrUnknown
	}
	if w.ExpectedRevision != m.record.Revision {
		return false, m.record, nil
	}
	m.record = kv.Record{Key: w.Key, Value: w.Value, Revision: m.record.Revision + 1}
	return true, m.record, nil
}

// fakeEngines generates text in the stand-in's form, one token per millisecond.
// Some runs fail or report a token without a version.
type fakeEngines struct {
	mu      sync.Mutex
	version int64
	runs    int
	poison  string // a prompt containing this text crashes two engines and is then refused
	crashes int    // caused by it
}

func (e *fakeEngines) Engines(string) []entry.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := wire.Load{Slots: 8, WeightVersion: e.version}
	return []entry.EngineState{{ID: "a", Load: load}, {ID: "b", Load: load}}
}

func (e *fakeEngines) Announce(_ context.Context, _, _, _ string, version int64, _ string) (int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = max(e.version, version)
	return e.version, nil
}

func (e *fakeEngines) Generate(ctx context.Context, req wire.Request, onTokens func(wire.ReadReply)) wire.Answer {
	var c engineapi.CompletionRequest
	Expect(json.Unmarshal(req.Body, &c)).To(Succeed())
	e.mu.Lock()
	e.runs++
	n := e.runs
	poison := e.poison != "" && strings.Contains(c.Prompt, e.poison)
	if poison {
		e.crashes++
	}
	refused := e.crashes > 2
	e.mu.Unlock()
	if poison && refused {
		return wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonQuarantined}
	}
	if poison {
		return wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonCrashed}
	}
	id := req.CallID + "#" + string(rune('a'+n%26))
	length := standin.TokenCount(c.Prompt, c.Seed, c.MaxTokens)
	done := len(req.Resume.Tokens)
	for position := done; position < length; position++ {
		select {
		case <-ctx.Done():
			return wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonCancelled}
		case <-time.After(time.Millisecond):
		}
		version := e.current()
		reported := version
		if n%11 == 0 && position == length-1 {
			reported = 0
		}
		onTokens(wire.ReadReply{
			ID: id, Offset: position - done, Versions: []int64{reported},
			Tokens: []string{standin.Token(c.Prompt, c.Seed, position, version)},
		})
	}
	if n%13 == 0 {
		return wire.Answer{Outcome: wire.Unknown, Reason: wire.ReasonCrashed}
	}
	return wire.Answer{Outcome: wire.Answered, Status: 200}
}

func (e *fakeEngines) current() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

func (e *fakeEngines) Call(context.Context, wire.Request) wire.Answer {
	return wire.Answer{Outcome: wire.Answered, Status: 200, Body: []byte(`{"score": 0.5}`)}
}

// cluster is a group of entries, one of which at a time owns the feed.
type cluster struct {
	store   *memoryStore
	engines *fakeEngines
	mu      sync.Mutex
	owner   string
	epoch   int64
	groups  int // per step; 0: as declared initially
	entries map[string]*clusterEntry
}

type clusterEntry struct {
	c        *cluster
	name     string
	feeds    *feedrun.Feeds
	address  string
	stop     context.CancelFunc
	onChange func(duties.Change)
}

func newCluster(names ...string) *cluster {
	c := &cluster{store: &memoryStore{}, engines: &fakeEngines{version: 1}, entries: map[string]*clusterEntry{}}
	for _, name := range names {
		c.start(name)
	}
	return c
}

func (c *cluster) start(name string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := &clusterEntry{c: c, name: name}
	e.feeds = feedrun.New(feedrun.Options{
		Instance: name, Store: c.store, Duties: e, Peers: c, Config: e, Generator: c.engines,
		Scorer: c.engines, Engines: c.engines, Versions: c.engines, Log: log, Metrics: metrics.NewRegistry(),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e.address = listener.Addr().String()
	server := grpc.NewServer()
	trainerpb.RegisterTrainerServer(server, feedrun.NewTrainer(e.feeds))
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = func() { cancel(); server.Stop() }
	go func() { _ = server.Serve(listener) }()
	go func() { _ = e.feeds.Run(ctx) }()
	c.mu.Lock()
	c.entries[name] = e
	c.mu.Unlock()
	DeferCleanup(e.stop)
}

// setOwner gives the feed to an entry under the next epoch. The previous owner
// is notified only if notifyOld is set; otherwise it is paused.
func (c *cluster) setOwner(name string, notifyOld bool) {
	c.mu.Lock()
	old := c.entries[c.owner]
	c.owner = name
	c.epoch++
	epoch := c.epoch
	next := c.entries[name]
	c.mu.Unlock()
	duty := wire.FeedDuty(deployment, feed)
	if old != nil && notifyOld {
		old.onChange(duties.Change{Duty: duty, Epoch: epoch, LeaseState: duties.NotHolder})
	}
	next.onChange(duties.Change{Duty: duty, Epoch: epoch, LeaseState: duties.Holder})
}

func (c *cluster) CallPeer(_ context.Context, address string, _ bool, _ string, args, reply any) error {
	c.mu.Lock()
	e := c.entries[address]
	c.mu.Unlock()
	if e == nil {
		return errors.New("no such entry")
	}
	return e.feeds.Server().Pull(args.(wire.PullRequest), reply.(*wire.PullReply))
}

func (c *cluster) crash(name string) {
	c.mu.Lock()
	e := c.entries[name]
	delete(c.entries, name)
	c.mu.Unlock()
	e.stop()
}

func (c *cluster) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []string
	for _, e := range c.entries {
		all = append(all, e.address)
	}
	return all
}

func (e *clusterEntry) Current() *decl.Deployment {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	d := declaration()
	if e.c.groups > 0 {
		d.Feeds[0].GroupsPerStep = e.c.groups
	}
	return d
}

// declareGroups changes the number of a step's groups.
func (c *cluster) declareGroups(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.groups = n
}

func (e *clusterEntry) KnownHolder(string) (string, int64, bool) {
	e.c.mu.Lock()
	defer e.c.mu.Unlock()
	return e.c.owner, e.c.epoch, e.c.owner == e.name
}

func (e *clusterEntry) LeaseState(string) duties.LeaseState { return duties.NotHolder }

func (e *clusterEntry) OnChange(_ string, fn func(duties.Change)) { e.onChange = fn }

// startTrainer runs a trainer until the spec ends.
func (c *cluster) startTrainer() *standin.Trainer {
	t, err := standin.NewTrainer(standin.TrainerOptions{
		Entries: c.addresses(), Key: trainerKey, Deployment: deployment, Feed: feed,
		Model: "tone", Version: 1, StalenessBound: 2, TrainTime: 20 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go t.Run(ctx)
	return t
}
