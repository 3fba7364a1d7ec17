// Package node runs one process of the system on a platform: it puts the parts
// together, follows what the platform's store says, serves callers where the
// machine has an address for them, and stops gracefully.
package node

import (
	"context"
	"net"
	"net/http"
	"net/rpc"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/gate"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/modelrun"
	"siskinloom.example/siskinloom/internal/agentless/netcount"
	"siskinloom.example/siskinloom/internal/agentless/storepath"
	"siskinloom.example/siskinloom/internal/agentless/textlog"
	"siskinloom.example/siskinloom/internal/agentless/usagerun"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/netdial"
	"siskinloom.example/siskinloom/internal/observe"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/usage"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

// Settings are one process's settings, from the platform's boot file.
type Settings struct {
	ID             string
	IP             string
	FailureDomain  string
	Worker         bool   // takes on batch jobs and weight orders before others do
	CallerAddress  string // address for callers; empty: none
	ReadyAddress   string // address of the readiness probe; empty: none
	MetricsAddress string // address of metrics; empty: none
	InnerPort      int    // port for the system's own processes
	StoreAddress   string
	ValueBytes     int // largest value the store holds
	MemoryBytes    int64
	StopTimeout    time.Duration // from SIGTERM to the end
	LeaseTTL       time.Duration // must lie between the orders of two holders of a duty
	MinTTL         time.Duration // shortest lease that the store grants
	DataDir        string        // folder on the machine's own disk; empty: it has none
	ResultTTL      time.Duration // how long results stay readable after submission
	FirstStart     bool          // the whole system starts for the first time
	// Usage says how usage is reported at BillingAddress; zero: it is not.
	Usage          usage.Config
	BillingAddress string
}

// IngressDeps are what an adapter needs to serve callers.
type IngressDeps struct {
	Gate     *gate.Gate
	Frontend *batchrun.Frontend
	Stopping func() bool
}

// Adapter connects the process to one kind of platform.
type Adapter struct {
	Store   kv.Shared
	Sender  dispatch.Sender
	Engines modelrun.EngineClient
	Biller  usagerun.Biller // may be nil if usage is not reported
	Ingress func(IngressDeps) http.Handler
	// CloseIdle closes kept connections to an address whose endpoint is gone.
	CloseIdle func(address string)
	Meter     *netcount.Meter // counts the bytes of connections; may be nil
	Schema    StoreSchema
}

// StoreSchema says where the store holds what others write, and how to read it.
type StoreSchema struct {
	Operator          string // prefix of all that the operator and the trainers write
	Declaration       string
	Versions          string // prefix of named weight versions
	Retire            string // prefix of requests to empty a machine
	Retired           string // prefix of the answers to them
	Endpoints         string // prefix of the list of endpoints
	DecodeDeclaration func([]byte) (*deployment.Declaration, error)
	DecodeEndpoint    func(key string, value []byte) (deployment.Endpoint, error)
	DecodeVersion     func([]byte) (model string, version int64, err error)
	EncodeRetireState func(done bool) []byte
}

// keyDuty is the key of the duty of giving weight orders and reporting usage. One process
// has both: a second duty would cost the store as many calls again.
const keyDuty = cluster.DutyKey + "weights"

// workerTTL is the lease of a worker's registration. Its jobs move once it has
// lapsed, and a step is due 7.5 s after it was submitted: each second of it is
// one less for those who take them over. A shorter one would lapse while a
// machine runs five times slower for a moment.
const workerTTL = 2 * time.Second

// entryTTL times as long as a worker's is the lease of an entry's registration:
// entries own jobs only when no worker is left, so nothing waits for one to
// lapse, and each renewal is a call.
const entryTTL = 10

// Node is one running process.
type Node struct {
	settings Settings
	adapter  Adapter
	log      *logrus.Logger
	registry metrics.Registry

	store     *storepath.Store
	directory *directory.Directory
	members   *cluster.Members
	registrar *cluster.Registrar
	owner     *batchrun.Owner
	frontend  *batchrun.Frontend
	mover     *batchrun.Mover
	gate      *gate.Gate
	leader    *cluster.Leader
	models    *modelrun.Runner
	relay     *cluster.Relay // workers only
	usage     usageParts
	trouble   storeTrouble
	news      newsTime

	lingering lingering
	listed    atomic.Bool  // the endpoints are known
	newest    atomic.Int64 // revision of the newest endpoint's entry; its topic writes it
	stopping  atomic.Bool
}

// New puts a process together. Mechanisms that switches name as out are left out
// from then on; nil leaves out none.
func New(s Settings, a Adapter, switches *mechanism.Switches, log *logrus.Logger, registry metrics.Registry) *Node {
	n := &Node{settings: s, adapter: a, log: log, registry: registry, members: cluster.NewMembers()}
	n.directory = directory.New(s.ID, s.FailureDomain, a.CloseIdle)
	n.directory.Switches = switches
	inner := net.JoinHostPort(s.IP, strconv.Itoa(s.InnerPort))
	if a.Meter != nil {
		a.Meter.SetDomainLookup(n.domainOf)
	}
	peers := rpcpool.New(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := netdial.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return a.Meter.Wrap(netcount.Inner, conn, address), nil
	})
	self := cluster.Member{Name: s.ID, Address: inner, Domain: s.FailureDomain, Worker: s.Worker, Boot: time.Now().UnixNano()}
	n.store = storepath.New(a.Store, self, n.members, peers, log, registry)
	n.store.Switches = switches
	a.Store = n.store // nothing else calls the store directly
	n.adapter = a
	ttl := max(workerTTL, s.MinTTL)
	if !s.Worker {
		ttl *= entryTTL
	}
	n.registrar = cluster.NewRegistrar(a.Store, self, ttl, n.members, log)
	n.registrar.StoreRecentlyDown = n.trouble.recent
	n.owner = &batchrun.Owner{Name: s.ID, Store: a.Store, Directory: n.directory, Sender: a.Sender, Log: log, ResultTTL: s.ResultTTL, Registry: registry, Switches: switches}
	if s.DataDir != "" {
		n.owner.Texts = textlog.New(filepath.Join(s.DataDir, "texts"), log, registry)
	}
	n.owner.Init()
	n.frontend = &batchrun.Frontend{Store: a.Store, Members: n.members, Peers: peers, Local: n.owner, Log: log, ValueBytes: s.ValueBytes, Models: n.directory.Models, Domain: s.FailureDomain, IsHub: s.Worker, Unreachable: n.store.Unreachable}
	n.mover = &batchrun.Mover{Self: s.ID, Store: a.Store, Members: n.members, Log: log, Unsettled: n.trouble.recent, Answers: n.frontend.Answers, Models: n.directory.Models, NotifyOwner: n.frontend.NotifyMoved}
	n.gate = gate.New(n.directory, a.Sender, log, registry)
	n.gate.Switches, n.gate.Current = switches, n.news.current
	n.addUsage(self, peers)
	if s.Worker {
		n.owner.OtherOwners, n.owner.SendLoad = n.frontend.OtherOwners, n.frontend.SendLoad
		n.owner.Copier.StandbyFor, n.owner.Copier.Send, n.owner.FetchTexts = n.frontend.StandbyFor, n.frontend.SendCopy, n.frontend.FetchTexts
		n.owner.Standby.Peers = n.frontend
	}
	n.owner.OwnershipCertain = n.registrar.CertainlyRegistered
	n.store.Recovered = n.owner.StoreRecovered
	n.store.HasWaiters = func() bool { return n.isScout() || len(n.owner.Jobs()) > 0 || n.owner.Standby.HasOrphanedJobs() }
	n.owner.Ineligible = n.spared
	n.owner.OnAdopt = func(spec *batch.Spec) {
		modelrun.BroadcastStep(context.Background(), n.members, peers, modelrun.NeedArgs{Model: spec.Model, Version: spec.MinVersion, Items: len(spec.Items)})
	}
	if s.Worker {
		n.relay = cluster.NewRelay(self.Boot)
		n.leader = cluster.NewLeader(a.Store, keyDuty, s.ID, s.LeaseTTL, s.MinTTL, n.isScout, n.leads)
		n.registrar.DutyVacant = func(string) { n.leader.TryNow() }
		loading := func(endpoint, model string, version int64) {
			n.frontend.NotifyLoading(batchrun.LoadingArgs{Endpoint: endpoint, Model: model, Version: version})
		}
		n.usage.reporter = n.newReporter()
		n.models = &modelrun.Runner{OnLoad: loading, Self: s.ID, Directory: n.directory, Leader: n.leader, Engines: a.Engines, Log: log, Registry: registry, Switches: switches}
	}
	return n
}

// domainOf returns the failure domain of the process or endpoint at an address.
func (n *Node) domainOf(address string) (domain string, known bool) {
	for _, m := range n.members.Live() {
		if m.Address == address {
			return m.Domain, true
		}
	}
	return n.directory.DomainOf(address)
}

func (n *Node) leads(taken bool, term int64) {
	event := events.LeaderLost
	if taken {
		event = events.LeaderTaken
	}
	event.Log(n.log, logrus.Fields{"term": term})
}

// spared tells whether workers own all jobs, so that this process gets none.
func (n *Node) spared() bool {
	owners := n.members.Owners()
	return !n.settings.Worker && len(owners) > 0 && owners[0].Worker
}

func (n *Node) leading() bool {
	_, leads := n.leader.Term(time.Now())
	return leads
}

// Ready tells whether the process can serve callers.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.listed.Load() && n.directory.Table() != nil
}

// Run serves until ctx ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group, work := errgroup.WithContext(work)
	servers, err := n.listen(work, group)
	if err != nil {
		return err
	}
	n.follow(work, group)
	group.Go(func() error { return n.registrar.Run(work) })
	group.Go(func() error { return n.owner.Run(work) })
	if n.leader != nil {
		group.Go(func() error { return n.leader.Run(work) })
		group.Go(func() error { return n.models.Run(work) })
		sweeper := &batchrun.Sweeper{Store: n.adapter.Store, ResultTTL: n.settings.ResultTTL, Log: n.log, ShouldSweep: n.leading}
		group.Go(func() error { return sweeper.Run(work) })
	}
	n.usage.run(work, group)
	select {
	case <-ctx.Done():
		n.stop(servers)
	case <-work.Done():
	}
	stop()
	return group.Wait()
}

// servers are what has to be closed at the end.
type servers struct {
	callers *http.Server
	ready   *http.Server
	inner   net.Listener
}

const (
	// headerTimeout bounds how long a caller may take for its headers where the
	// operator names nothing; a few seconds above what operators name.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection is kept without a request. It
	// lies above what operators name, as a request must not meet a close.
	idleTimeout = 2 * time.Minute
)

func (n *Node) listen(ctx context.Context, group *errgroup.Group) (*servers, error) {
	s := &servers{}
	config := netdial.ListenConfig()
	inner, err := config.Listen(ctx, "tcp", net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.InnerPort)))
	if err != nil {
		return nil, errors.Wrap(err, "node: inner address")
	}
	s.inner = inner
	calls := rpc.NewServer()
	if err := n.owner.Register(calls); err != nil {
		return nil, errors.Wrap(err, "node: inner calls")
	}
	if err := n.store.Register(calls); err != nil {
		return nil, err
	}
	if err := n.frontend.Register(calls); err != nil {
		return nil, err
	}
	if n.settings.Worker {
		if err := n.models.Register(calls); err != nil {
			return nil, err
		}
		if err := n.relay.Register(calls); err != nil {
			return nil, err
		}
		if err := n.usage.register(calls); err != nil {
			return nil, err
		}
	}
	group.Go(func() error { return serveCalls(ctx, calls, inner) })
	if n.settings.CallerAddress != "" {
		handler := n.adapter.Ingress(IngressDeps{Gate: n.gate, Frontend: n.frontend, Stopping: n.stopping.Load})
		if s.callers, err = n.serveHTTP(group, n.settings.CallerAddress, handler); err != nil {
			return nil, err
		}
	}
	if n.settings.ReadyAddress != "" {
		if s.ready, err = n.serveHTTP(group, n.settings.ReadyAddress, http.HandlerFunc(n.answerReady)); err != nil {
			return nil, err
		}
	}
	return s, n.serveMetrics(ctx, group)
}

func (n *Node) serveMetrics(ctx context.Context, group *errgroup.Group) error {
	if n.settings.MetricsAddress == "" {
		return nil
	}
	listener, err := net.Listen("tcp", n.settings.MetricsAddress)
	if err != nil {
		return errors.Wrap(err, "node: metrics address")
	}
	server := observe.Server{Registry: n.registry, Ready: n.Ready}
	group.Go(func() error { return server.Serve(ctx, listener) })
	return nil
}

func (n *Node) serveHTTP(group *errgroup.Group, address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "node: address")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: silent()}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "node: serve")
		}
		return nil
	})
	return server, nil
}

func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if n.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func serveCalls(ctx context.Context, calls *rpc.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "node: inner address")
		}
		go calls.ServeConn(conn)
	}
}
