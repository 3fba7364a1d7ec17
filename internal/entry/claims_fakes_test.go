package entry

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/claims"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/wire"
)

// fakeStore fakes the key-value service. Methods that claims do not use panic.
type fakeStore struct {
	kv.Store
	mu       sync.Mutex
	records  map[string]kv.Record
	revision int64
	down     bool          // calls fail without effect
	applied  int           // number of next writes that take effect and whose answers are lost
	dropped  int           // number of next writes that are lost without effect
	gate     chan struct{} // if not nil, writes wait until it is closed
	reached  chan struct{} // receives a value for each write that waits
}

func newFakeStore() *fakeStore {
	return &fakeStore{records: map[string]kv.Record{}, reached: make(chan struct{}, 100)}
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) Get(_ context.Context, _ kv.Use, key string) (kv.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return kv.Record{}, kv.ErrUnavailable
	}
	r := s.records[key]
	r.Key = key
	return r, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, _ kv.Use, w kv.Write) (bool, kv.Record, error) {
	s.mu.Lock()
	gate := s.gate
	s.mu.Unlock()
	if gate != nil {
		s.reached <- struct{}{}
		<-gate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false, kv.Record{}, kv.ErrUnavailable
	}
	if s.dropped > 0 {
		s.dropped--
		return false, kv.Record{}, kv.ErrUnknown
	}
	current := s.records[w.Key]
	swapped := current.Revision == w.ExpectedRevision
	if swapped {
		s.revision++
		current = kv.Record{Key: w.Key, Value: w.Value, Revision: s.revision}
		s.records[w.Key] = current
	}
	if s.applied > 0 {
		s.applied--
		return false, kv.Record{}, kv.ErrUnknown
	}
	return swapped, current, nil
}

// holds reports whether any record contains text.
func (s *fakeStore) holds(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.records {
		if strings.Contains(string(r.Value), text) {
			return true
		}
	}
	return false
}

// fakeDuties is one entry's view of the duties of all claim partitions.
type fakeDuties struct {
	mu      sync.Mutex
	address string // of the holder
	epoch   int64
	mine    bool
	until   time.Time
	fn      func(duties.Change)

	refusePromises bool // Promise returns false
}

func (d *fakeDuties) KnownHolder(string) (string, int64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.address, d.epoch, d.mine
}

func (d *fakeDuties) LeaseState(string) duties.LeaseState {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.mine:
		return duties.NotHolder
	case time.Now().Before(d.until):
		return duties.Holder
	default:
		return duties.Lapsed
	}
}

func (d *fakeDuties) OnChange(_ string, fn func(duties.Change)) { d.fn = fn }

func (d *fakeDuties) HeldUntil(string) (int64, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.mine {
		return 0, time.Time{}
	}
	return d.epoch, d.until
}

func (d *fakeDuties) Promise(name string, epoch int64, until time.Time) bool {
	held, end := d.HeldUntil(name)
	return !d.refusePromises && held == epoch && !until.After(end)
}

func (d *fakeDuties) HoldersReported([]wire.Holder) {}

// set changes the view and notifies the claims.
func (d *fakeDuties) set(address string, epoch int64, mine bool, lease time.Duration) {
	d.mu.Lock()
	d.address, d.epoch, d.mine, d.until = address, epoch, mine, time.Now().Add(lease)
	d.mu.Unlock()
	state := duties.NotHolder
	if mine {
		state = duties.Holder
	}
	for _, name := range ClaimDuties() {
		d.fn(duties.Change{Duty: name, Epoch: epoch, LeaseState: state})
	}
}

// fakeEndpoint fakes agents and endpoints that ignore fences. It answers with the
// number of the run.
type fakeEndpoint struct {
	mu      sync.Mutex
	runs    map[string]int // by call ID
	gate    chan struct{}  // if not nil, requests wait until it is closed before they run
	reached chan struct{}
	refuse  bool // refuses requests without running them
	fences  []wire.Fence
}

func (e *fakeEndpoint) dispatch(_ context.Context, call wire.Request) wire.Answer {
	e.mu.Lock()
	gate, refuse := e.gate, e.refuse
	e.fences = append(e.fences, call.Fence)
	e.mu.Unlock()
	if gate != nil {
		e.reached <- struct{}{}
		<-gate
	}
	if refuse {
		return wire.Answer{Outcome: wire.NotRun, Reason: wire.ReasonQueueFull}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[call.CallID]++
	return wire.Answer{Outcome: wire.Answered, Status: 200, Body: fmt.Appendf(nil, "run %d", e.runs[call.CallID])}
}

func (e *fakeEndpoint) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// fakeNode is one entry with its claims.
type fakeNode struct {
	address string
	claims  *Claims
	duties  *fakeDuties
}

// fakeCluster is several entries that share one store and one endpoint. It
// implements ClaimPeers.
type fakeCluster struct {
	store    *fakeStore
	endpoint *fakeEndpoint
	nodes    map[string]*fakeNode

	mu          sync.Mutex
	lostReplies int             // number of next calls that are served and whose answers are lost
	silent      map[string]bool // addresses at which calls are neither served nor answered
	forwards    int
}

func newFakeCluster(addresses ...string) *fakeCluster {
	c := &fakeCluster{
		store:    newFakeStore(),
		endpoint: &fakeEndpoint{runs: map[string]int{}, reached: make(chan struct{}, 100)},
		nodes:    map[string]*fakeNode{},
		silent:   map[string]bool{},
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, address := range addresses {
		n := &fakeNode{address: address, duties: &fakeDuties{}}
		n.claims = NewClaims(ClaimsOptions{
			Store:      c.store,
			Duties:     n.duties,
			Peers:      c,
			Dispatch:   c.endpoint.dispatch,
			Deployment: "test",
			Instance:   address,
			Log:        log,
			Metrics:    metrics.NewRegistry(),
			AdjustConfig: func(config *claims.Config) {
				config.CommitInterval = 5 * time.Millisecond
				config.RetryDelay = 10 * time.Millisecond
				config.ReplyMargin = 600 * time.Millisecond
			},
		})
		c.nodes[address] = n
	}
	return c
}

// own makes the entry at address the owner in the view of every entry except those
// listed in stale.
func (c *fakeCluster) own(address string, epoch int64, stale ...string) {
	for _, n := range c.nodes {
		if !strings.Contains(strings.Join(stale, " "), n.address) {
			n.duties.set(address, epoch, n.address == address, time.Minute)
		}
	}
}

// serving reports whether the entry at address serves all partitions: all its writes from then on are
// of claims.
func (c *fakeCluster) serving(address string) bool {
	for _, p := range c.nodes[address].claims.partitions {
		p.mu.Lock()
		serving := p.machine.Serving()
		p.mu.Unlock()
		if !serving {
			return false
		}
	}
	return true
}

var errNoAnswer = errors.New("the connection does not answer")

func (c *fakeCluster) serve(s *ClaimServer, args, reply any) error {
	if told, ok := args.(wire.ClaimsTold); ok {
		return s.Tell(told, reply.(*wire.ClaimsToldReply))
	}
	return s.Do(args.(wire.ClaimRequest), reply.(*wire.ClaimReply))
}

// CallPeer implements ClaimPeers.
func (c *fakeCluster) CallPeer(ctx context.Context, address string, _ bool, _ string, args, reply any) error {
	c.mu.Lock()
	c.forwards++
	silent := c.silent[address]
	lost := c.lostReplies > 0
	if lost {
		c.lostReplies--
	}
	c.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errNoAnswer
	}
	if err := c.serve(c.nodes[address].claims.Server(), args, reply); err != nil {
		return err
	}
	if lost {
		return errNoAnswer
	}
	return nil
}
