// Package feedrun runs trainer feeds on an entry: it takes trainers' pulls,
// sends them to the entry that owns the feed, and on the owner drives the
// hand-over and the generation of samples.
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
	// maxWait is how long a pull may wait for samples at most.
	maxWait = 10 * time.Second
	// forwardMargin is added to a forwarded pull's wait for the way there and back.
	forwardMargin = 2 * time.Second
	rerouteWait   = 50 * time.Millisecond
	ownerTick     = 100 * time.Millisecond
	retryStore    = time.Second
	recordEvery   = 200 * time.Millisecond
	storeLimit    = 2 * time.Second
)

// Peers reaches the other entries. With fresh set, the call goes over a new
// connection.
type Peers interface {
	CallPeer(ctx context.Context, address string, fresh bool, method string, args, reply any) error
}

// Config gives the configuration in force; nil until one is known.
type Config interface {
	Current() *decl.Deployment
}

// Options sets up Feeds.
type Options struct {
	Instance  string // this process; unique over restarts
	Store     kv.Store
	Duties    entry.DutyLeases
	Peers     Peers
	Config    Config
	Generator entry.Generator
	Scorer    entry.ServiceClient
	Caches    entry.CacheImporter // nil: no KV cache travels
	Fleet     entry.EngineLister
	Versions  entry.VersionAnnouncer // nil: announcements are refused
	Log       *logrus.Logger
	Metrics   metrics.Registry
}

// Feeds owns the feeds whose duties this entry holds and sends pulls of the
// others on. It is safe for concurrent use.
type Feeds struct {
	options Options
	wake    chan struct{}

	mu       sync.Mutex
	standing map[string]duties.Change // by duty
	owners   map[string]*owner        // by feed
	services map[string]*generation   // by service
}

// New returns feeds that own nothing until Run.
func New(o Options) *Feeds {
	f := &Feeds{
		options:  o,
		wake:     make(chan struct{}, 1),
		standing: map[string]duties.Change{},
		owners:   map[string]*owner{},
		services: map[string]*generation{},
	}
	o.Duties.OnChange(dutyPrefix, f.changed)
	return f
}

// Run keeps the owned feeds going until ctx ends.
func (f *Feeds) Run(ctx context.Context) error {
	ticker := time.NewTicker(ownerTick)
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

// changed notes a new standing; reconcile acts on it.
func (f *Feeds) changed(c duties.Change) {
	f.mu.Lock()
	f.standing[c.Duty] = c
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// reconcile starts and ends owners as duties and declarations have it. A lapsed
// lease ends nothing: hand-over is safe beside a successor, and in an outage of
// the platform there is none.
func (f *Feeds) reconcile(ctx context.Context) {
	deployment := f.options.Config.Current()
	if deployment == nil {
		return
	}
	for _, feed := range deployment.Feeds {
		f.reconcileFeed(ctx, deployment, feed)
	}
	for _, o := range f.owned() {
		if _, declared := findFeed(deployment, o.name); !declared {
			f.drop(o)
			continue
		}
		o.deliver(handover.Tick{})
	}
}

func (f *Feeds) reconcileFeed(ctx context.Context, deployment *decl.Deployment, feed decl.Feed) {
	f.mu.Lock()
	change := f.standing[wire.FeedDuty(deployment.Name, feed.Name)]
	current := f.owners[feed.Name]
	f.mu.Unlock()
	wanted := change.LeaseState != duties.NotHolder && change.Epoch > 0
	switch {
	case current != nil && (!wanted || current.epoch != change.Epoch):
		f.drop(current)
		if wanted {
			f.take(ctx, deployment.Name, feed, change.Epoch)
		}
	case current == nil && wanted:
		f.take(ctx, deployment.Name, feed, change.Epoch)
	case current != nil:
		current.configure(feed)
	}
}

func (f *Feeds) take(ctx context.Context, deployment string, feed decl.Feed, epoch int64) {
	events.FeedTaken.Log(f.options.Log, logrus.Fields{"feed": feed.Name, "epoch": epoch})
	f.mu.Lock()
	g := f.services[feed.Service]
	if g == nil {
		g = newGeneration(ctx, f.options, feed.Service)
		f.services[feed.Service] = g
	}
	o := newOwner(ctx, f.options, g, deployment, feed, epoch)
	f.owners[feed.Name] = o
	f.mu.Unlock()
	g.add(o)
	o.deliver(handover.Tick{})
}

func (f *Feeds) drop(o *owner) {
	f.mu.Lock()
	if f.owners[o.name] == o {
		delete(f.owners, o.name)
	}
	f.mu.Unlock()
	o.generation.remove(o)
	o.end()
	events.FeedDropped.Log(f.options.Log, logrus.Fields{"feed": o.name, "epoch": o.epoch})
}

func (f *Feeds) owned() []*owner {
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
		RetryInterval:  retryStore,
		RecordInterval: recordEvery,
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

// Pull answers a trainer's pull, here or at the feed's owner. While none can be
// reached it looks for the owner again until the pull's time is over.
func (f *Feeds) Pull(ctx context.Context, req wire.PullRequest) wire.PullReply {
	req.Wait = min(max(req.Wait, 0), maxWait)
	ctx, cancel := context.WithTimeout(ctx, req.Wait+forwardMargin)
	defer cancel()
	fresh := false
	for {
		reply, err := f.pullOnce(ctx, req, fresh)
		again := err != nil || reply.Refusal == string(handover.NotOwner)
		if !again {
			return reply
		}
		fresh = err != nil
		select {
		case <-ctx.Done():
			return wire.PullReply{Refusal: string(handover.NotOwner)}
		case <-time.After(rerouteWait):
		}
	}
}

func (f *Feeds) pullOnce(ctx context.Context, req wire.PullRequest, fresh bool) (wire.PullReply, error) {
	if o := f.owner(req.Feed); o != nil {
		return o.pull(ctx, req), nil
	}
	address, _, mine := f.options.Duties.KnownHolder(wire.FeedDuty(req.Deployment, req.Feed))
	if address == "" || mine {
		return wire.PullReply{Refusal: string(handover.NotOwner)}, nil
	}
	var reply wire.PullReply
	err := f.options.Peers.CallPeer(ctx, address, fresh, methodPull, req, &reply)
	return reply, err
}

// Announce tells the owned feeds of the trainer's version and has it rolled out.
func (f *Feeds) Announce(ctx context.Context, deployment, feed, model string, version int64, adapter string) (int64, error) {
	if o := f.owner(feed); o != nil {
		o.deliver(handover.Announced{Version: version})
	}
	if f.options.Versions == nil {
		return 0, errors.New("feedrun: no rollout of weights on this entry")
	}
	return f.options.Versions.Announce(ctx, deployment, feed, model, version, adapter)
}

// Server is the net/rpc side for pulls that other entries forward here.
func (f *Feeds) Server() *Server { return &Server{feeds: f} }

// Server answers forwarded pulls.
type Server struct{ feeds *Feeds }

// Pull answers a pull if this entry owns the feed; it never forwards again, so
// that two entries with old views cannot send a pull in circles.
func (s *Server) Pull(req wire.PullRequest, reply *wire.PullReply) error {
	o := s.feeds.owner(req.Feed)
	if o == nil {
		reply.Refusal = string(handover.NotOwner)
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxWait+forwardMargin)
	defer cancel()
	req.Wait = min(max(req.Wait, 0), maxWait)
	*reply = o.pull(ctx, req)
	return nil
}

// Status is what an operator sees of an owned feed.
type Status struct {
	Feed       string
	Epoch      int64
	Serving    bool
	Step       int64
	Version    int64 // of the trainer
	AheadShare float64
	Counters   handover.Counters
}

// Statuses lists the feeds owned here.
func (f *Feeds) Statuses() []Status {
	var all []Status
	for _, o := range f.owned() {
		all = append(all, o.status())
	}
	return all
}

func metricName(feed, name string) string {
	return strings.Join([]string{"rollout", feed, name}, ".")
}
