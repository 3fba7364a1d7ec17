// Package feedrun runs trainer feeds on an entry. It accepts trainers' pulls
// and forwards them to the entry that owns the feed. On the owner it drives the
// handover and the generation of samples.
package feedrun

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/decl"
	"siskinloom.example/siskinloom/internal/entry"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/policy/handover"
	"siskinloom.example/siskinloom/internal/policy/sample"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	dutyPrefix = "feed/"
	methodPull = wire.FeedService + ".Pull"
	// maxPullTimeout limits how long a pull waits for samples.
	maxPullTimeout = 10 * time.Second
	// forwardMargin is added to the wait of a forwarded pull for the network
	// round trip.
	forwardMargin      = 2 * time.Second
	rerouteDelay       = 50 * time.Millisecond
	tickInterval       = 100 * time.Millisecond
	storeRetryInterval = time.Second
	recordInterval     = 200 * time.Millisecond
	storeTimeout       = 2 * time.Second
)

// Peers calls the other entries. If newConn is set, the call is made over a new
// connection.
type Peers interface {
	CallPeer(ctx context.Context, address string, newConn bool, method string, args, reply any) error
}

// Config returns the configuration in force, or nil until one is known.
type Config interface {
	Current() *decl.Deployment
}

// Options configures Feeds.
type Options struct {
	Instance  string // this process; unique across restarts
	Store     kv.Store
	Duties    entry.DutyLeases
	Peers     Peers
	Config    Config
	Generator entry.Generator
	Scorer    entry.ServiceClient
	Caches    entry.CacheImporter // nil: KV caches are not transferred
	Engines   entry.EngineLister
	Versions  entry.VersionAnnouncer // nil: announcements are refused
	Log       *logrus.Logger
	Metrics   metrics.Registry
}

// Feeds owns the feeds whose duties this entry holds, and forwards pulls of
// other feeds to their owners. It is safe for concurrent use.
type Feeds struct {
	options Options
	wake    chan struct{}

	mu           sync.Mutex
	leaseChanges map[string]duties.Change // last change by duty
	owners       map[string]*owner        // by feed
	generations  map[string]*generation   // by service
}

// New returns a Feeds that owns no feed until Run is called.
func New(o Options) *Feeds {
	f := &Feeds{
		options:      o,
		wake:         make(chan struct{}, 1),
		leaseChanges: map[string]duties.Change{},
		owners:       map[string]*owner{},
		generations:  map[string]*generation{},
	}
	o.Duties.OnChange(dutyPrefix, f.onLeaseChange)
	return f
}

// Run serves the owned feeds until ctx is done.
func (f *Feeds) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		f.reconcile(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-f.wake:
		}
	}
}

// onLeaseChange records a change of lease state and triggers reconcile.
func (f *Feeds) onLeaseChange(c duties.Change) {
	f.mu.Lock()
	f.leaseChanges[c.Duty] = c
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// reconcile starts and stops owners according to duties and declarations. An
// expired lease stops no owner: handover is safe with an old owner beside its
// successor, and in an outage of the platform there is no successor.
func (f *Feeds) reconcile(ctx context.Context) {
	deployment := f.options.Config.Current()
	if deployment == nil {
		return
	}
	for _, feed := range deployment.Feeds {
		f.reconcileFeed(ctx, deployment, feed)
	}
	for _, o := range f.allOwners() {
		if _, declared := findFeed(deployment, o.name); !declared {
			f.stopOwner(o)
			continue
		}
		o.deliver(handover.Tick{})
	}
}

func (f *Feeds) reconcileFeed(ctx context.Context, deployment *decl.Deployment, feed decl.Feed) {
	f.mu.Lock()
	change := f.leaseChanges[wire.FeedDuty(deployment.Name, feed.Name)]
	current := f.owners[feed.Name]
	f.mu.Unlock()
	wanted := change.LeaseState != duties.NotHolder && change.Epoch > 0
	switch {
	case current != nil && (!wanted || current.epoch != change.Epoch):
		f.stopOwner(current)
		if wanted {
			f.startOwner(ctx, deployment.Name, feed, change.Epoch)
		}
	case current == nil && wanted:
		f.startOwner(ctx, deployment.Name, feed, change.Epoch)
	case current != nil:
		current.configure(feed)
	}
}

func (f *Feeds) startOwner(ctx context.Context, deployment string, feed decl.Feed, epoch int64) {
	events.FeedAcquired.Log(f.options.Log, logrus.Fields{"feed": feed.Name, "epoch": epoch})
	f.mu.Lock()
	g := f.generations[feed.Service]
	if g == nil {
		g = newGeneration(ctx, f.options, feed.Service)
		f.generations[feed.Service] = g
	}
	o := newOwner(ctx, f.options, g, deployment, feed, epoch)
	f.owners[feed.Name] = o
	f.mu.Unlock()
	g.add(o)
	o.deliver(handover.Tick{})
}

func (f *Feeds) stopOwner(o *owner) {
	f.mu.Lock()
	if f.owners[o.name] == o {
		delete(f.owners, o.name)
	}
	f.mu.Unlock()
	o.generation.remove(o)
	o.stop()
	events.FeedReleased.Log(f.options.Log, logrus.Fields{"feed": o.name, "epoch": o.epoch})
}

func (f *Feeds) allOwners() []*owner {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*owner, 0, len(f.owners))
	for _, o := range f.owners {
		all = append(all, o)
	}
	return all
}

func (f *Feeds) owner(feed string) *owner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owners[feed]
}

func findFeed(d *decl.Deployment, name string) (decl.Feed, bool) {
	for _, feed := range d.Feeds {
		if feed.Name == name {
			return feed, true
		}
	}
	return decl.Feed{}, false
}

func handoverConfig(feed decl.Feed) handover.Config {
	return handover.Config{
		Shape:          shapeOf(feed),
		LotSize:        max(1, feed.LotSize),
		Limits:         limitsOf(feed),
		RetryInterval:  storeRetryInterval,
		RecordInterval: recordInterval,
	}
}

func shapeOf(feed decl.Feed) sample.Shape {
	return sample.Shape{
		Groups: max(1, feed.GroupsPerStep),
		Size:   max(1, feed.GroupSize),
		Spare:  max(0, feed.SpareSamples),
	}
}

func limitsOf(feed decl.Feed) sample.Limits {
	return sample.Limits{MaxVersionLag: int64(feed.StalenessBound), MaxAge: feed.StalenessTime}
}

// Pull answers a trainer's pull, here or at the feed's owner. While the owner
// is unreachable, it looks the owner up again and retries until the pull's wait
// is over.
func (f *Feeds) Pull(ctx context.Context, req wire.PullRequest) wire.PullReply {
	req.Wait = min(max(req.Wait, 0), maxPullTimeout)
	ctx, cancel := context.WithTimeout(ctx, req.Wait+forwardMargin)
	defer cancel()
	newConn := false
	for {
		reply, err := f.pullOnce(ctx, req, newConn)
		retry := err != nil || reply.Refusal == string(handover.NotOwner)
		if !retry {
			return reply
		}
		newConn = err != nil
		select {
		case <-ctx.Done():
			return wire.PullReply{Refusal: string(handover.NotOwner)}
		case <-time.After(rerouteDelay):
		}
	}
}

func (f *Feeds) pullOnce(ctx context.Context, req wire.PullRequest, newConn bool) (wire.PullReply, error) {
	if o := f.owner(req.Feed); o != nil {
		return o.pull(ctx, req), nil
	}
	address, _, mine := f.options.Duties.KnownHolder(wire.FeedDuty(req.Deployment, req.Feed))
	if address == "" || mine {
		return wire.PullReply{Refusal: string(handover.NotOwner)}, nil
	}
	var reply wire.PullReply
	err := f.options.Peers.CallPeer(ctx, address, newConn, methodPull, req, &reply)
	return reply, err
}

// Announce passes the trainer's weight version to the feed's owner, if it is this
// entry, and requests the version's rollout.
func (f *Feeds) Announce(ctx context.Context, deployment, feed, model string, version int64, adapter string) (int64, error) {
	if o := f.owner(feed); o != nil {
		o.deliver(handover.Announced{Version: version})
	}
	if f.options.Versions == nil {
		return 0, errors.New("feedrun: no rollout of weights on this entry")
	}
	return f.options.Versions.Announce(ctx, deployment, feed, model, version, adapter)
}

// Server returns the net/rpc service for pulls that other entries forward to
// this one.
func (f *Feeds) Server() *Server { return &Server{feeds: f} }

// Server answers forwarded pulls.
type Server struct{ feeds *Feeds }

// Pull answers a pull if this entry owns the feed. It never forwards a pull, so
// that two entries with outdated views can't forward it in circles.
func (s *Server) Pull(req wire.PullRequest, reply *wire.PullReply) error {
	o := s.feeds.owner(req.Feed)
	if o == nil {
		reply.Refusal = string(handover.NotOwner)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxPullTimeout+forwardMargin)
	defer cancel()
	req.Wait = min(max(req.Wait, 0), maxPullTimeout)
	*reply = o.pull(ctx, req)
	return nil
}

// Status is the state of an owned feed as shown to operators.
type Status struct {
	Feed       string
	Epoch      int64
	Serving    bool
	Step       int64
	Version    int64 // of the trainer
	AheadShare float64
	Counters   handover.Counters
}

// Statuses returns the status of each owned feed.
func (f *Feeds) Statuses() []Status {
	var all []Status
	for _, o := range f.allOwners() {
		all = append(all, o.status())
	}
	return all
}

func metricName(feed, name string) string {
	return strings.Join([]string{"rollout", feed, name}, ".")
}
