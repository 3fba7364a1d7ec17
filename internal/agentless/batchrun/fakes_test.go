package batchrun_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/agentless/directory"
	"siskinloom.example/siskinloom/internal/agentless/dispatch"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/rpcpool"
	"siskinloom.example/siskinloom/internal/standin"
)

const (
	eventuallyTimeout = 20 * time.Second
	events            = 4 // of each item's text
)

// engines fakes endpoints that generate texts of four events and score them.
type engines struct {
	mu      sync.Mutex
	sent    map[string]int // requests by ID
	resumed []int64        // events after which runs were resumed
	length  int64          // events of each text; 0: events
	pause   int64          // events before the pause; 0: two
	hold    chan struct{}  // closed when the events after the pause may be sent; nil: no pause
	breaks  int            // number of next runs whose stream is cut after two events
	cutEnds int            // number of next runs whose stream is cut after the last event
}

// Send implements dispatch.Sender.
func (e *engines) Send(ctx context.Context, _ *deployment.Endpoint, r *dispatch.Request) (*dispatch.Answer, error) {
	e.mu.Lock()
	e.sent[r.ID]++
	hold, broken := e.hold, false
	if r.ResumeAfter > 0 {
		e.resumed = append(e.resumed, r.ResumeAfter)
	}
	if e.breaks > 0 && !strings.HasPrefix(r.Target, "/score/") {
		e.breaks--
		broken = true
	}
	cutEnd := e.cutEnds > 0 && !strings.HasPrefix(r.Target, "/score/")
	if cutEnd {
		e.cutEnds--
	}
	e.mu.Unlock()
	length, pauseAfter := int64(events), int64(2)
	if e.length > 0 {
		length, pauseAfter = e.length, e.pause
	}
	if r.ResumeAfter >= length {
		// Nothing is left to generate, so the answer names no weight version.
		return &dispatch.Answer{Status: http.StatusOK, Signed: true, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	answer := &dispatch.Answer{Status: http.StatusOK, Signed: true, Seal: "seal-" + r.ID, Version: 5}
	if strings.HasPrefix(r.Target, "/score/") {
		answer.Body = io.NopCloser(strings.NewReader("scored"))
		return answer, nil
	}
	read, write := io.Pipe()
	go (&text{after: r.ResumeAfter, length: length, pauseAfter: pauseAfter, hold: hold, broken: broken, cutEnd: cutEnd}).stream(ctx, write)
	answer.Body = read
	return answer, nil
}

// text is one run of an engine.
type text struct {
	after, length, pauseAfter int64
	hold                      chan struct{}
	broken, cutEnd            bool
}

func (t *text) stream(ctx context.Context, w *io.PipeWriter) {
	for id := t.after + 1; id <= t.length; id++ {
		if id > t.pauseAfter && t.broken {
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		if id > t.pauseAfter && t.hold != nil {
			select {
			case <-t.hold:
			case <-ctx.Done():
				_ = w.CloseWithError(ctx.Err())
				return
			}
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", id, id); err != nil {
			return
		}
	}
	if t.cutEnd {
		_ = w.CloseWithError(io.ErrUnexpectedEOF)
		return
	}
	_ = w.Close()
}

func (e *engines) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sent[id]
}

func (e *engines) total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, c := range e.sent {
		n += c
	}
	return n
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// process is one process of the deployment.
type process struct {
	name     string
	store    kv.TransactionalStore
	owner    *batchrun.Owner
	frontend *batchrun.Frontend
	mover    *batchrun.Mover
	members  *cluster.Members
	register *cluster.Registrar
	listener net.Listener
	server   *rpc.Server
	stop     context.CancelFunc
	cutOff   *atomic.Bool // whether it is partitioned from the store
	peers    *faultyPeers // its calls as a standby; nil: it is no standby

	conns  sync.Mutex
	open   []net.Conn
	killed bool
}

// switchableStore is a process's connection to the store, which can be cut off.
type switchableStore struct {
	kv.TransactionalStore
	cutOff *atomic.Bool
}

func (p switchableStore) Await(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.Changes, error) {
	changes, err := p.TransactionalStore.Await(ctx, prefix, after, wait)
	if p.cutOff.Load() {
		return kv.Changes{}, kv.ErrUnavailable
	}
	return changes, err
}

func (p switchableStore) ReadPage(ctx context.Context, prefix, after string) (kv.Page, error) {
	if p.cutOff.Load() {
		return kv.Page{}, kv.ErrUnavailable
	}
	return p.TransactionalStore.ReadPage(ctx, prefix, after)
}

func (p switchableStore) Commit(ctx context.Context, t kv.Transaction) (kv.Committed, error) {
	if p.cutOff.Load() {
		return kv.Committed{}, kv.ErrUnavailable
	}
	return p.TransactionalStore.Commit(ctx, t)
}

func newProcess(name string, shared kv.TransactionalStore, sender dispatch.Sender) *process {
	cutOff := &atomic.Bool{}
	store := switchableStore{shared, cutOff}
	d := directory.New("self", "", nil)
	d.Declare(&deployment.Declaration{Version: 1, Routes: []deployment.Route{
		{Name: "items", Host: "h", Prefix: "/items/", Kind: deployment.Rollout, MaxAttempts: 3, Backends: []deployment.Backend{{Service: "llm", Weight: 1}}},
		{Name: "score", Host: "h", Prefix: "/score/", Kind: deployment.Idempotent, MaxAttempts: 3, Backends: []deployment.Backend{{Service: "app", Weight: 1}}},
	}})
	for i := range 2 {
		d.Put(deployment.Endpoint{ID: fmt.Sprintf("llm%d", i), Service: "llm", Address: "x:1", Slots: 8, Versions: map[string]int64{"m": 5}})
		d.Put(deployment.Endpoint{ID: fmt.Sprintf("app%d", i), Service: "app", Address: "x:2", Slots: 8})
	}
	p := &process{name: name, store: store, cutOff: cutOff, members: cluster.NewMembers()}
	p.owner = &batchrun.Owner{Name: name, Store: store, Directory: d, Sender: sender, Log: discardLogger(), ResultTTL: time.Minute, Registry: metrics.NewRegistry()}
	p.owner.Init()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p.listener = listener
	p.server = rpc.NewServer()
	Expect(p.owner.Register(p.server)).To(Succeed())
	go p.accept(p.server)
	p.register = cluster.NewRegistrar(store, cluster.Member{Name: name, Address: listener.Addr().String(), Worker: true}, hour, p.members, discardLogger())
	p.frontend = &batchrun.Frontend{Store: store, Members: p.members, Peers: rpcpool.New(nil), Local: p.owner, Log: discardLogger(), ValueBytes: 64}
	p.mover = &batchrun.Mover{Self: name, Store: store, Members: p.members, Log: discardLogger(), StoreRecentlyDown: func() bool { return false }}
	return p
}

func (p *process) accept(server *rpc.Server) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.conns.Lock()
		p.open = append(p.open, conn)
		killed := p.killed
		p.conns.Unlock()
		if killed {
			_ = conn.Close() // accepted during the kill
			return
		}
		go server.ServeConn(conn)
	}
}

// closeConns closes the connections of a process that is killed.
func (p *process) closeConns() {
	p.conns.Lock()
	p.killed = true
	p.conns.Unlock()
	p.resetConns()
}

// resetConns closes the connections of a process that continues to run.
func (p *process) resetConns() {
	p.conns.Lock()
	defer p.conns.Unlock()
	for _, conn := range p.open {
		_ = conn.Close()
	}
	p.open = nil
}

// hour is the TTL of registrations that must not expire during a spec.
const hour = time.Hour

// run starts the process; calling stop kills it.
func (p *process) run() *process {
	Expect(p.frontend.Register(p.server)).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	assignments := &cluster.Follower{Store: p.store, Topic: p.owner.Assignments(), WatchTimeout: batchrun.AssignmentsWatchTimeout}
	members := &cluster.Follower{Store: p.store, Topic: p.register.Topic()}
	for _, part := range []func(context.Context) error{p.owner.Run, p.register.Run, members.Run, assignments.Run} {
		done.Go(func() {
			defer GinkgoRecover()
			Expect(part(ctx)).To(Succeed())
		})
	}
	var once sync.Once
	p.stop = func() {
		once.Do(func() {
			cancel()
			_ = p.listener.Close()
			p.closeConns()
			done.Wait()
		})
	}
	DeferCleanup(p.stop)
	return p
}

// answerLosingStore is a store whose answers to commits are always lost.
type answerLosingStore struct{ *standin.TransactionalStore }

func (m *answerLosingStore) Commit(context.Context, kv.Transaction) (kv.Committed, error) {
	return kv.Committed{}, kv.ErrUnknown
}

var _ dispatch.Sender = (*engines)(nil)
