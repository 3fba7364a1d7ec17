package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/agentless/batchrun"
	"siskinloom.example/siskinloom/internal/agentless/cluster"
	"siskinloom.example/siskinloom/internal/deployment"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/routes"
)

const (
	// unsettledFor is how long after the store answered again its lists may lack
	// what lapsed meanwhile: endpoints and processes that live are back within two
	// seconds.
	unsettledFor = 3 * time.Second
	// lingerFor is how long an endpoint that vanished in such a time stays in use.
	lingerFor = 2 * time.Second
)

// currentFor is how long after the last word of the store, by whatever way, this process's
// declaration may count as the newest. News are told every second; a call that goes
// unanswered, and the next scout's answer, take as long again.
const currentFor = 3 * time.Second

// newsTime remembers when this process last heard all that the operator wrote.
type newsTime struct {
	last atomic.Int64 // Unix nanoseconds; 0: never
}

func (t *newsTime) note() { t.last.Store(time.Now().UnixNano()) }

// current tells whether that was a moment ago.
func (t *newsTime) current() bool {
	return time.Since(time.Unix(0, t.last.Load())) < currentFor
}

// storeTrouble remembers when the store last failed this process.
type storeTrouble struct {
	last atomic.Int64 // Unix nanoseconds; 0: never
	down atomic.Bool
}

func (t *storeTrouble) note() { t.last.Store(time.Now().UnixNano()) }

func (t *storeTrouble) recent() bool {
	last := t.last.Load()
	return last != 0 && time.Since(time.Unix(0, last)) < unsettledFor
}

func (n *Node) storeFailed(err error) {
	n.trouble.note()
	if n.trouble.down.CompareAndSwap(false, true) {
		events.StoreLost.Log(n.log, logrus.Fields{"error": err.Error()})
	}
}

func (n *Node) storeBack() {
	n.trouble.note()
	if n.trouble.down.CompareAndSwap(true, false) {
		events.StoreBack.Log(n.log, logrus.Fields{})
	}
	if n.leader != nil {
		n.leader.TryNow()
	}
}

// membersWait is how long the watch of the members waits: what it tells of has
// no bound in seconds, as calls to a process that is gone fail by themselves.
const membersWait = 6 * time.Second

// gatherList is how long changes of the lists are gathered after some came:
// endpoints and processes register in crowds, and each answer of a watch is a
// call. An endpoint that leaves is left alone two seconds later at the latest.
const gatherList = 300 * time.Millisecond

// gatherMarks is how long changes of marks are gathered: owners are told of them by
// calls as well, and those of a step come together.
const gatherMarks = 200 * time.Millisecond

// scoutLook is how often a worker looks whether it is a scout. A scout that is
// gone is missed by the others at once, as they ask the next one.
const scoutLook = 500 * time.Millisecond

// follow keeps this process's view of what others write up to date: scouts from
// the store, and the others from the scouts.
func (n *Node) follow(ctx context.Context, group *errgroup.Group) {
	keys := n.adapter.Schema
	operator := &cluster.Topic{Prefix: keys.Operator, Changed: func(r kv.Record) { n.operatorWrote(ctx, group, r) }, Deleted: func(string, int64) {}}
	endpoints := &cluster.Topic{Prefix: keys.Endpoints, Changed: n.endpointListed, Deleted: n.endpointGone, Listed: n.endpointsListed}
	members := n.registrar.Topic()
	if n.settings.Worker {
		n.registrar.MemberGone = func(name string) {
			group.Go(func() error { n.mover.MemberGone(ctx, name); return nil })
		}
	}
	marks := n.owner.Assignments()
	v := &views{node: n, own: []*cluster.Topic{operator, endpoints, members, marks}}
	if n.relay != nil {
		all := &cluster.Topic{Prefix: batchrun.AssignmentsPrefix, SubTopic: marks}
		v.carried = []followed{{operator, 0, 0}, {endpoints, 0, gatherList}, {members, membersWait, gatherList}, {all, batchrun.AssignmentsWait, gatherMarks}}
		n.carry(v.carried)
	} else {
		endpoints.Scopes = n.neededServices
	}
	group.Go(func() error { return v.run(ctx) })
}

// carry has the relay carry what this process follows as a scout.
func (n *Node) carry(topics []followed) {
	for _, f := range topics {
		var scope func(kv.Record) string
		if f.topic.Prefix == n.adapter.Schema.Endpoints {
			scope = n.serviceOf
		}
		n.relay.AddTopic(f.topic.Prefix, f.wait, f.gather, scope)
		f.topic.Relay = n.relay
	}
}

// serviceOf returns the service of a listed endpoint, or nothing if its entry
// cannot be read: whoever is told of it finds that out.
func (n *Node) serviceOf(r kv.Record) string {
	endpoint, err := n.adapter.Schema.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		return ""
	}
	return endpoint.Service
}

// neededServices returns the services whose endpoints this process sends requests
// to, nil for all, and whether the routes are known yet. Items of batch jobs are run
// by their owners, so that an entry need not hear of the endpoints of their services,
// which are many and change with every load of weights.
func (n *Node) neededServices() (services []string, known bool) {
	table := n.directory.Table()
	switch {
	case table == nil:
		return nil, false
	case !n.spared():
		return nil, true
	}
	services = []string{}
	for i := range table.Declaration.Routes {
		route := &table.Declaration.Routes[i]
		if route.Kind == deployment.Rollout {
			continue
		}
		for _, backend := range route.Backends {
			services = append(services, backend.Service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services), true
}

// needs tells whether this process sends requests to a service.
func (n *Node) needs(service string) bool {
	if n.settings.Worker {
		return true
	}
	services, known := n.neededServices()
	return !known || services == nil || slices.Contains(services, service)
}

// followed is a topic with the wait of its watch and the time for which its
// changes are gathered.
type followed struct {
	topic  *cluster.Topic
	wait   time.Duration
	gather time.Duration
}

// views keeps a process's topics up to date, as a scout or from the scouts.
type views struct {
	node    *Node
	own     []*cluster.Topic // what this process needs
	carried []followed       // what it follows as a scout; none where it cannot be one
}

func (v *views) run(ctx context.Context) error {
	n := v.node
	s := &cluster.Subscriber{
		Store: n.adapter.Store, Topics: v.own, Members: n.members, Peers: n.frontend.Peers, Self: n.registrar.Self, FirstStart: n.settings.FirstStart,
		Failed: n.storeFailed, Recovered: n.storeBack, SyncedFromRelay: n.served, SyncedFromStore: n.news.note, RelaysCutOff: n.store.PeersCutOff, SourceChanged: n.newsFrom,
	}
	for ctx.Err() == nil {
		scout := n.isScout()
		spell, end := context.WithCancel(ctx)
		go v.endWhenChanged(spell, end, scout)
		if scout {
			n.newsFrom("store, as a scout", nil)
			n.leader.TryNow() // a scout may stand for the duty
			v.scout(spell)
			s.InitialSyncDone = true
		} else if err := s.Run(spell); err != nil {
			end()
			return err
		}
		end()
	}
	return nil
}

// served notes that a scout told the news.
func (n *Node) served() {
	n.news.note()
	n.store.PeersServed()
}

// heard notes that the store told this scout the news of a topic.
func (n *Node) heard(t *cluster.Topic, asOf int64) {
	if t.Prefix == n.adapter.Schema.Operator {
		n.news.note()
	}
	n.relay.MarkSynced(t.Prefix, asOf)
}

// endWhenChanged ends a spell when this process becomes a scout or no longer is.
func (v *views) endWhenChanged(ctx context.Context, end context.CancelFunc, scout bool) {
	ticker := time.NewTicker(scoutLook)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if v.node.isScout() != scout {
			end()
			return
		}
	}
}

// isScout tells whether this process follows the store for others.
func (n *Node) isScout() bool {
	if !n.settings.Worker || n.stopping.Load() {
		return false
	}
	for _, m := range cluster.Relays(n.members) {
		if m.Name == n.settings.ID {
			return true
		}
	}
	return false
}

func (v *views) scout(ctx context.Context) {
	n := v.node
	var group errgroup.Group
	for _, t := range v.carried {
		f := &cluster.Follower{
			Store: n.adapter.Store, Topic: t.topic, Wait: t.wait, CoalesceDelay: t.gather, Failed: n.storeFailed, Recovered: n.storeBack,
			Synced: func(asOf int64) { n.heard(t.topic, asOf) },
		}
		group.Go(func() error { return f.Run(ctx) })
	}
	_ = group.Wait() // followers end with their context and return no error
}

func (n *Node) newsFrom(name string, why error) {
	fields := logrus.Fields{"source": name}
	if why != nil {
		fields["failed"] = why.Error()
	}
	events.NewsFrom.Log(n.log, fields)
}

func (n *Node) operatorWrote(ctx context.Context, group *errgroup.Group, r kv.Record) {
	keys := n.adapter.Schema
	switch {
	case r.Key == keys.Declaration:
		n.declared(r)
	case strings.HasPrefix(r.Key, keys.Versions):
		n.versionNamed(r)
	case r.Key == keys.Retire+n.settings.ID:
		group.Go(func() error { n.retire(ctx); return nil })
	}
}

func (n *Node) declared(r kv.Record) {
	declaration, err := n.adapter.Schema.DecodeDeclaration(r.Value)
	if err != nil {
		events.DeclarationBad.Log(n.log, logrus.Fields{"revision": r.Revision, "error": err.Error()})
		return
	}
	before, inForce := n.directory.Declare(declaration)
	if !inForce {
		return
	}
	events.Declared.Log(n.log, logrus.Fields{
		"version": declaration.Version, "revision": r.Revision, "routes": len(declaration.Routes), "customers": len(declaration.Customers),
	})
	if before != nil {
		n.noteKeys(before.Declaration, declaration)
	}
}

// mostKeyChanges bounds the lines that one declaration's keys have.
const mostKeyChanges = 50

// noteKeys says whose keys came and went with a declaration.
func (n *Node) noteKeys(before, after *deployment.Declaration) {
	changes := routes.KeyChanges(before, after)
	for _, c := range changes[:min(len(changes), mostKeyChanges)] {
		events.KeysChanged.Log(n.log, logrus.Fields{"customer": c.Customer, "added": c.Added, "removed": c.Removed, "version": after.Version, "customers": len(changes)})
	}
}

func (n *Node) versionNamed(r kv.Record) {
	if n.models == nil {
		return // this process gives no orders
	}
	model, version, err := n.adapter.Schema.DecodeVersion(r.Value)
	if err != nil {
		events.DeclarationBad.Log(n.log, logrus.Fields{"key": r.Key, "revision": r.Revision, "error": err.Error()})
		return
	}
	events.VersionNamed.Log(n.log, logrus.Fields{"model": model, "version": version, "revision": r.Revision})
	n.models.SetNewestVersion(model, version)
}

func (n *Node) endpointListed(r kv.Record) {
	endpoint, err := n.adapter.Schema.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		events.EndpointBad.Log(n.log, logrus.Fields{"key": r.Key, "revision": r.Revision, "error": err.Error()})
		n.directory.Remove(strings.TrimPrefix(r.Key, n.adapter.Schema.Endpoints))
		return
	}
	n.lingering.end(endpoint.ID)
	n.directory.Put(endpoint)
	n.newest.Store(max(n.newest.Load(), r.Revision))
	event := events.EndpointListed
	switch {
	case endpoint.Leaving:
		event = events.EndpointLeaving
	case !n.listed.Load():
		return // the first list gets one line
	}
	event.Log(n.log, logrus.Fields{"endpoint": endpoint.ID, "service": endpoint.Service, "address": endpoint.Address, "versions": endpoint.Versions, "revision": r.Revision})
}

// endpointsListed notes that a list of the endpoints was taken in. The first one gets
// one line, with how many there are and their newest revision: a line for each of a
// thousand at each process would hide all else that a start has to tell.
func (n *Node) endpointsListed() {
	if !n.listed.Swap(true) {
		events.EndpointsTaken.Log(n.log, logrus.Fields{"endpoints": n.directory.Counts(), "revision": n.newest.Load()})
	}
}

func (n *Node) endpointGone(key string, revision int64) {
	id := strings.TrimPrefix(key, n.adapter.Schema.Endpoints)
	if !n.needs(n.directory.ServiceOf(id)) {
		n.directory.Remove(id) // it may live on; nothing is sent there from here
		return
	}
	unsettled := n.trouble.recent()
	events.EndpointGone.Log(n.log, logrus.Fields{"endpoint": id, "revision": revision, "lingers": unsettled})
	if !unsettled {
		n.directory.Remove(id)
		return
	}
	n.lingering.begin(id, lingerFor, func() { n.directory.Remove(id) })
}

// lingering holds endpoints that vanished from the list while the store was
// away: entries lapse then though their endpoints live, and without this every
// request of a service would be refused for some seconds after an outage.
type lingering struct {
	mu     sync.Mutex
	timers map[string]*time.Timer
}

func (l *lingering) begin(id string, d time.Duration, remove func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timers == nil {
		l.timers = map[string]*time.Timer{}
	}
	if l.timers[id] == nil {
		l.timers[id] = time.AfterFunc(d, func() {
			l.end(id)
			remove()
		})
	}
}

func (l *lingering) end(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if timer := l.timers[id]; timer != nil {
		timer.Stop()
		delete(l.timers, id)
	}
}

// retire empties this machine: nothing of the system's lies on its disk, so it
// is empty once its jobs and duties are with others.
func (n *Node) retire(ctx context.Context) {
	events.RetireAsked.Log(n.log, logrus.Fields{"id": n.settings.ID})
	n.writeRetired(ctx, false)
	n.stopping.Store(true)
	n.restDuty(ctx)
	n.handOn(ctx)
	n.writeRetired(ctx, true)
	events.RetireDone.Log(n.log, logrus.Fields{"id": n.settings.ID})
}

// restDuty lets a lease's time pass between this process's last order and the
// first of its successor; unlike one that stops, it goes on running meanwhile.
func (n *Node) restDuty(ctx context.Context) {
	if n.leader == nil {
		return
	}
	if _, leads := n.leader.Term(time.Now()); leads {
		n.leader.Suspend(ctx)
	}
}

func (n *Node) writeRetired(ctx context.Context, done bool) {
	const retry = 300 * time.Millisecond // the store answers in milliseconds when it is up
	keys := n.adapter.Schema
	put := kv.Put{Key: keys.Retired + n.settings.ID, Value: keys.EncodeRetireState(done)}
	for ctx.Err() == nil {
		if _, err := n.adapter.Store.Commit(ctx, kv.Transaction{Puts: []kv.Put{put}}); err == nil {
			return
		}
		time.Sleep(retry)
	}
}
