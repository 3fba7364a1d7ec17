// Package node runs one process of the system on a platform. It creates and connects the
// process's components, follows the entries of the platform's store, serves callers if the
// machine has an address for them, and shuts down gracefully.
package node

import (
	"context"
	"math/rand/v2"
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
	"siskinloom.example/siskinloom/internal/agentless/changelog"
	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/crashfeed"
	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/agentless/gate"
	"siskinloom.example/siskinloom/internal/agentless/mechanism"
	"siskinloom.example/siskinloom/internal/agentless/modelrun"
	"siskinloom.example/siskinloom/internal/agentless/netcount"
	"siskinloom.example/siskinloom/internal/agentless/quarantine"
	"siskinloom.example/siskinloom/internal/agentless/sharerun"
	"siskinloom.example/siskinloom/internal/agentless/storepath"
	"siskinloom.example/siskinloom/internal/agentless/textlog"
	"siskinloom.example/siskinloom/internal/agentless/usagerun"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/intake"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/netdial"
	"siskinloom.example/siskinloom/internal/policy/batch"
	"siskinloom.example/siskinloom/internal/policy/fanout"
	"siskinloom.example/siskinloom/internal/policy/usage"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

// Settings holds the settings of one process, from the platform's boot file.
type Settings struct {
	ID             string
	IP             string
	FailureDomain  string
	Worker         bool   // owns batch jobs and sends weight orders; entries own jobs only if there is no worker
	CallerAddress  string // address that serves callers; empty: none
	ReadyAddress   string // address of the readiness probe; empty: none
	MetricsAddress string // address of the metrics; empty: none
	InnerPort      int    // port for calls between the system's own processes
	StoreAddress   string
	ValueBytes     int           // size limit of a value in the store
	MemoryBytes    int64         // 0: not bounded
	Descriptors    int           // most that may be open; 0: not bounded
	StopTimeout    time.Duration // from SIGTERM to the end of the process
	LeaseTTL       time.Duration // minimum time between the orders of two holders of a duty
	MinTTL         time.Duration // shortest lease that the store grants
	DataDir        string        // directory on the machine's own disk; empty: none
	ResultTTL      time.Duration // how long results stay readable after submission
	ApplyBound     time.Duration // a declaration must be in force everywhere within this time
	FirstStart     bool          // the whole system starts for the first time
	// Usage says how usage is reported to BillingAddress; zero value: not reported.
	Usage          usage.Config
	BillingAddress string
}

// IngressDeps holds the components that an adapter needs to serve callers.
type IngressDeps struct {
	Gate     *gate.Gate
	Frontend *batchrun.Frontend
	Stopping func() bool
}

// Adapter connects the process to one kind of platform.
type Adapter struct {
	Store   kv.TransactionalStore
	Sender  dispatch.Sender
	Engines modelrun.EngineClient
	Prober  quarantine.Prober
	Biller  usagerun.Biller // may be nil if usage is not reported
	Ingress func(IngressDeps) http.Handler
	// CloseIdle closes idle connections to the address of an endpoint that was removed.
	CloseIdle func(address string)
	// DialPeer opens a connection to another process of the system; nil: over TCP.
	DialPeer rpcpool.DialFunc
	Meter    *netcount.Meter // counts the bytes of connections; may be nil
	Schema   StoreSchema
}

// StoreSchema names the keys of the store that other programs write or read, and the codecs of
// their values.
type StoreSchema struct {
	Operator          string // prefix of all keys that the operator and the trainers write
	Declaration       string
	Versions          string // prefix of the announced weight versions
	Retire            string // prefix of the requests to retire a machine
	Retired           string // prefix of the answers to these requests
	Endpoints         string // prefix of the endpoints' entries
	DecodeDeclaration func([]byte) (*deployment.Declaration, error)
	DecodeEndpoint    func(key string, value []byte) (deployment.Endpoint, error)
	DecodeVersion     func([]byte) (model string, version int64, err error)
	EncodeRetireState func(done bool) []byte
}

// keyDuty is the key of the duty of sending weight orders and reporting usage. One process
// holds one duty for both: a second duty would double the calls to the store.
const keyDuty = cluster.DutyPrefix + "weights"

// workerTTL is the TTL of the lease of a worker's registration. The worker's jobs move once the
// lease has expired, and a step is due 7.5 s after its submission, so each second of the TTL
// leaves the new owners one second less. A shorter lease would expire while a machine is
// briefly five times slower.
const workerTTL = 2 * time.Second

// entryTTLFactor is the TTL of an entry's registration relative to a worker's. Entries own jobs
// only if there is no worker, so nothing waits for their leases to expire, and each renewal is
// a call to the store.
const entryTTLFactor = 10

// idleTTLFactor is the TTL of the registration of a worker of a large fleet that owns no jobs,
// relative to that of an owner. Nothing but the choice of an owner waits for it to expire, and an
// owner is asked before it gets a job. idleDelay is how long a worker counts as an owner after
// its last job; trainers submit a step every few seconds.
const (
	idleTTLFactor = 3
	idleDelay     = 30 * time.Second
)

// Node is one process of the system.
type Node struct {
	settings Settings
	adapter  Adapter
	log      *logrus.Logger
	listLog  *changelog.Log // bounds the lines about changes of the lists
	registry metrics.Registry

	store      *storepath.Store
	directory  *directory.Directory
	quarantine *quarantine.Quarantine
	crashes    *crashfeed.Feed
	members    *cluster.Members
	registrar  *cluster.Registrar
	owner      *batchrun.Owner
	frontend   *batchrun.Frontend
	mover      *batchrun.Mover
	gate       *gate.Gate
	leader     *cluster.Leader
	models     *modelrun.Runner
	relay      *cluster.Relay // serves the store's changes; nil unless the process is a worker
	usage      usageRoles
	shares     *sharerun.Runner
	outage     storeOutage
	contact    contactTime
	operator   *cluster.Topic // what the operator and the trainers write
	confirmer  declarationConfirmer

	removals       delayedRemovals
	registration   fanout.Registration // only the registrar's goroutine uses it
	treeKnown      atomic.Bool         // the tree was read or the members were listed
	ownedAt        atomic.Int64        // Unix nanoseconds at which this process last owned a job; 0: never
	endpointsKnown atomic.Bool         // the list of endpoints was received
	newestRevision atomic.Int64        // highest revision of an endpoint's entry; only the endpoints' topic writes it
	stopping       atomic.Bool
}

// New returns a process with its components. Mechanisms that are disabled in switches aren't
// used; if switches is nil, all are used.
func New(s Settings, a Adapter, switches *mechanism.Switches, log *logrus.Logger, registry metrics.Registry) *Node {
	n := &Node{settings: s, adapter: a, log: log, registry: registry, members: cluster.NewMembers(), listLog: changelog.New(log)}
	n.members.SetTwoLevels(s.ApplyBound >= fanout.MinTwoLevelBound)
	n.directory = directory.New(s.ID, s.FailureDomain, a.CloseIdle)
	n.directory.Switches = switches
	inner := net.JoinHostPort(s.IP, strconv.Itoa(s.InnerPort))
	if a.Meter != nil {
		a.Meter.SetDomainLookup(n.domainOf)
	}
	dial := netdial.Dial
	if a.DialPeer != nil {
		dial = a.DialPeer
	}
	peers := rpcpool.New(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return a.Meter.Wrap(netcount.Inner, conn, address), nil
	})
	self := cluster.Member{Name: s.ID, Address: inner, Domain: s.FailureDomain, Worker: s.Worker, Boot: time.Now().UnixNano()}
	n.store = storepath.New(a.Store, self, n.members, peers, log, registry)
	n.store.Switches = switches
	a.Store = n.store // all other components call the store through n.store
	n.adapter = a
	n.addQuarantine(self, peers, switches)
	n.registrar = n.newRegistrar(self)
	n.owner = &batchrun.Owner{Name: s.ID, Store: a.Store, Directory: n.directory, Sender: a.Sender, Quarantine: n.quarantine, Log: log, ResultTTL: s.ResultTTL, Memory: s.MemoryBytes, Registry: registry, Switches: switches}
	if s.DataDir != "" {
		n.owner.Texts = textlog.New(filepath.Join(s.DataDir, "texts"), log, registry)
	}
	n.owner.Init()
	n.frontend = &batchrun.Frontend{Store: a.Store, Members: n.members, Peers: peers, Local: n.owner, Log: log, ValueBytes: s.ValueBytes, Models: n.directory.Models, Domain: s.FailureDomain, IsHub: s.Worker, Unreachable: n.store.Unreachable}
	n.mover = &batchrun.Mover{Self: s.ID, Store: a.Store, Members: n.members, Log: log, StoreRecentlyDown: n.outage.isRecent, Answers: n.frontend.Answers, Models: n.directory.Models, NotifyOwner: n.frontend.NotifyMoved}
	n.addGate(switches)
	n.addUsage(self, peers)
	n.shares = n.newShares(self, peers, switches)
	if s.Worker {
		n.owner.OtherOwners, n.owner.SendLoad = n.frontend.OtherOwners, n.frontend.SendLoad
		n.owner.Copier.StandbyFor, n.owner.Copier.Send, n.owner.FetchTexts = n.frontend.StandbyFor, n.frontend.SendCopy, n.frontend.FetchTexts
		n.owner.Standby.Peers = n.frontend
	}
	n.owner.OwnershipCertain = n.registrar.CertainlyRegistered
	n.store.Recovered = func() {
		n.owner.StoreRecovered()
		n.quarantine.StoreAnswers()
	}
	n.store.HasWaiters = func() bool {
		return n.role() != fanout.Leaf || len(n.owner.Jobs()) > 0 || n.owner.Standby.HasOrphanedJobs() || n.quarantine.HasUnwritten()
	}
	n.owner.Ineligible = n.ineligibleForJobs
	n.owner.OnAdopt = func(spec *batch.Spec) {
		n.registrar.Refresh()
		step := modelrun.NeedArgs{Model: spec.Model, Version: spec.MinVersion, Items: len(spec.Items)}
		fast := modelrun.FastArgs{From: s.ID, Model: spec.Model, Engines: n.directory.FastEngines(spec.Model, time.Now())}
		modelrun.BroadcastStep(context.Background(), n.members, peers, step)
		modelrun.SendFast(context.Background(), n.members, peers, keyDuty, fast)
	}
	if s.Worker {
		n.relay = cluster.NewRelay(rand.Int64())
		n.leader = cluster.NewLeader(a.Store, keyDuty, s.ID, s.LeaseTTL, s.MinTTL, n.isRoot, n.leaderChanged)
		n.registrar.DutyVacant = func(string) { n.leader.TryNow() }
		loading := func(endpoint, model string, version int64) {
			n.frontend.NotifyLoading(batchrun.LoadingArgs{Endpoint: endpoint, Model: model, Version: version})
		}
		n.usage.reporter = n.newReporter()
		n.models = &modelrun.Runner{OnLoad: loading, Self: s.ID, Directory: n.directory, Leader: n.leader, Engines: a.Engines, Log: log, Registry: registry, Switches: switches}
	}
	return n
}

// addGate creates the component that serves callers' requests, and the topic of the operator's keys, by
// whose age it decides whether a request may be denied.
func (n *Node) addGate(switches *mechanism.Switches) {
	n.gate = gate.New(n.directory, n.adapter.Sender, n.log, n.registry)
	n.gate.Switches, n.gate.Quarantine = switches, n.quarantine
	if n.settings.MemoryBytes > 0 {
		n.gate.SetMemory(n.settings.MemoryBytes)
	}
	n.operator = &cluster.Topic{Prefix: n.adapter.Schema.Operator, Deleted: func(string, int64) {}, Confirmed: n.declarationConfirmed}
	n.gate.Confirm, n.gate.DeclarationAge = n.confirmDeclaration, n.declarationAge
}

// newRegistrar returns the component that keeps this process registered.
func (n *Node) newRegistrar(self cluster.Member) *cluster.Registrar {
	r := cluster.NewRegistrar(n.adapter.Store, self, max(workerTTL, n.settings.MinTTL), n.members, n.log)
	r.CurrentTTL = n.registrationTTL
	r.Needed = n.registrationNeeded
	r.StoreRecentlyDown = n.outage.isRecent
	r.AllowLine = n.listLog.Allow
	r.Crashes = n.quarantine
	return r
}

// domainOf returns the failure domain of the process or endpoint at an address.
func (n *Node) domainOf(address string) (domain string, known bool) {
	if domain, known = n.members.DomainOf(address); known {
		return domain, true
	}
	return n.directory.DomainOf(address)
}

// leaderChanged logs that this process became the leader or ceased to be it.
func (n *Node) leaderChanged(taken bool, term int64) {
	event := events.LeaderLost
	if taken {
		event = events.LeaderAcquired
	}
	event.Log(n.log, logrus.Fields{"term": term})
}

// ineligibleForJobs returns whether workers own all jobs, so that this process owns none.
func (n *Node) ineligibleForJobs() bool {
	owners := n.members.Owners()
	return !n.settings.Worker && len(owners) > 0 && owners[0].Worker
}

// isLeader returns whether this process holds the duty now.
func (n *Node) isLeader() bool {
	_, leads := n.leader.Term(time.Now())
	return leads
}

// Ready returns whether the process can serve callers.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.endpointsKnown.Load() && n.directory.Table() != nil
}

// Run runs the process until ctx ends, then shuts it down gracefully.
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
	group.Go(func() error { return n.quarantine.Run(work) })
	group.Go(func() error { return n.crashes.Run(work) })
	if n.leader != nil {
		group.Go(func() error { return n.leader.Run(work) })
		group.Go(func() error { return n.models.Run(work) })
		sweeper := &batchrun.Sweeper{Store: n.adapter.Store, ResultTTL: n.settings.ResultTTL, Log: n.log, ShouldSweep: n.isLeader}
		group.Go(func() error { return sweeper.Run(work) })
		bootstrap := &cluster.Bootstrap{Store: n.adapter.Store, Self: n.settings.ID, Tree: n.members.Tree, Failed: n.treeNotPublished}
		group.Go(func() error { return bootstrap.Run(work) })
	}
	n.usage.run(work, group)
	group.Go(func() error { return n.shares.Run(work) })
	select {
	case <-ctx.Done():
		n.stop(servers)
	case <-work.Done():
	}
	stop()
	return group.Wait()
}

// servers holds the servers and listeners of a process.
type servers struct {
	callers *http.Server
	ready   *http.Server
	inner   net.Listener
}

const (
	// headerTimeout is the timeout of reading a request's headers if the operator sets
	// none. It lies a few seconds above what operators set.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's idle connection is kept. It lies above what
	// operators set, so that no request arrives while the connection is being closed.
	idleTimeout = 2 * time.Minute
)

// listen opens the process's addresses and starts the servers.
func (n *Node) listen(ctx context.Context, group *errgroup.Group) (*servers, error) {
	s := &servers{}
	config := netdial.ListenConfig()
	inner, err := config.Listen(ctx, "tcp", net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.InnerPort)))
	if err != nil {
		return nil, errors.Wrap(err, "node: inner address")
	}
	s.inner = inner
	server := rpc.NewServer()
	if err := n.owner.Register(server); err != nil {
		return nil, errors.Wrap(err, "node: inner calls")
	}
	if err := n.store.Register(server); err != nil {
		return nil, err
	}
	if err := n.frontend.Register(server); err != nil {
		return nil, err
	}
	if n.settings.Worker {
		if err := n.models.Register(server); err != nil {
			return nil, err
		}
		if err := n.relay.Register(server); err != nil {
			return nil, err
		}
		if err := n.usage.register(server); err != nil {
			return nil, err
		}
		if err := n.shares.Register(server); err != nil {
			return nil, err
		}
		if err := n.crashes.Register(server); err != nil {
			return nil, err
		}
	}
	group.Go(func() error { return serveCalls(ctx, server, inner, n.log) })
	if n.settings.CallerAddress != "" {
		handler := n.adapter.Ingress(IngressDeps{Gate: n.gate, Frontend: n.frontend, Stopping: n.stopping.Load})
		callers := intake.New(intake.Options{Memory: n.settings.MemoryBytes, Descriptors: n.settings.Descriptors, HeaderBytes: n.headerBytes}, n.log, n.registry)
		n.gate.Reclaim = callers.CloseStalled
		if s.callers, err = n.serveHTTP(group, n.settings.CallerAddress, handler, callers); err != nil {
			return nil, err
		}
	}
	if n.settings.ReadyAddress != "" {
		if s.ready, err = n.serveHTTP(group, n.settings.ReadyAddress, http.HandlerFunc(n.answerReady), n.internalIntake()); err != nil {
			return nil, err
		}
	}
	return s, n.serveMetrics(ctx, group)
}

// serveHTTP serves HTTP at an address, within the limits of an intake.
func (n *Node) serveHTTP(group *errgroup.Group, address string, handler http.Handler, in *intake.Intake) (*http.Server, error) {
	listener, err := netdial.ListenCallers(address)
	if err != nil {
		return nil, errors.Wrap(err, "node: address")
	}
	server := &http.Server{
		Handler: intake.Handler(handler), ConnContext: intake.Context, ConnState: intake.ConnState,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: discardLogger(),
	}
	group.Go(func() error {
		if err := server.Serve(in.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "node: serve")
		}
		return nil
	})
	return server, nil
}

// internalIntake returns the account of an address that callers don't use. Its usage is not among the
// metrics, which are those of callers.
func (n *Node) internalIntake() *intake.Intake {
	return intake.NewInternal(n.log, metrics.NewRegistry())
}

// headerBytes returns the operator's limit of a request's headers; 0: not bounded.
func (n *Node) headerBytes() int {
	if table := n.directory.Table(); table != nil {
		return table.Declaration.Limits.HeaderBytes
	}
	return 0
}

// answerReady answers the readiness probe.
func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if n.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
