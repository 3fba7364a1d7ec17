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
	"siskinloom.example/siskinloom/internal/policy/fanout"
)

const (
	// recoveryPeriod is how long after an outage of the store its lists may lack entries
	// whose leases expired during the outage: endpoints and processes that are up register
	// again within two seconds.
	recoveryPeriod = 3 * time.Second
	// maxRemovalDelay bounds how long an endpoint stays in use whose entry was deleted in that
	// period. A leaving endpoint must get no more requests after two seconds.
	maxRemovalDelay = 2 * time.Second
)

// maxContactAge is how long after the last contact with the store, direct or through a
// relay, this process's lists may count as current. Relays answer every second. If a
// call goes unanswered, its timeout and the answer of the next relay take about another second
// each.
const maxContactAge = 3 * time.Second

// contactTime holds when this process last received everything that the operator wrote.
type contactTime struct {
	last atomic.Int64 // Unix nanoseconds; 0: never
}

// record sets the time to now.
func (t *contactTime) record() { t.last.Store(time.Now().UnixNano()) }

// isCurrent returns whether the time is less than maxContactAge ago.
func (t *contactTime) isCurrent() bool {
	return time.Since(time.Unix(0, t.last.Load())) < maxContactAge
}

// storeOutage holds when a call to the store last failed or first succeeded again, and whether
// the store is down for this process.
type storeOutage struct {
	last atomic.Int64 // Unix nanoseconds; 0: never
	down atomic.Bool
}

// record records a failure or recovery of the store.
func (t *storeOutage) record() { t.last.Store(time.Now().UnixNano()) }

// isRecent returns whether lists of the store may still lack entries because of an outage.
func (t *storeOutage) isRecent() bool { return t.recoveryLeft(time.Now()) > 0 }

// recoveryLeft returns for how much longer lists of the store may lack entries because of an
// outage. An entry that is missing after that is gone.
func (t *storeOutage) recoveryLeft(now time.Time) time.Duration {
	last := t.last.Load()
	if last == 0 {
		return 0
	}
	return max(0, recoveryPeriod-now.Sub(time.Unix(0, last)))
}

// storeFailed records that a call to the store failed, and logs the first failure.
func (n *Node) storeFailed(err error) {
	n.outage.record()
	if n.outage.down.CompareAndSwap(false, true) {
		events.StoreLost.Log(n.log, logrus.Fields{"error": err.Error()})
	}
}

// storeRecovered records that the store answers again.
func (n *Node) storeRecovered() {
	n.outage.record()
	if n.outage.down.CompareAndSwap(true, false) {
		events.StoreBack.Log(n.log, logrus.Fields{})
	}
	n.quarantine.StoreAnswers()
	if n.leader != nil {
		n.leader.TryNow()
	}
}

// membersWatchTimeout is how long a watch of the members waits for a change. No deadline
// depends on these changes, as calls to a process that is gone fail anyway.
const membersWatchTimeout = 6 * time.Second

// listCoalesceDelay is how long changes of the lists are collected after the first one, as
// endpoints and processes register many at a time and each answer of a watch is a call. A
// leaving endpoint must get no more requests after two seconds.
const listCoalesceDelay = 300 * time.Millisecond

// assignmentCoalesceDelay is how long changes of assignments are collected: owners are also
// notified of them by calls, and the assignments of a step change together.
const assignmentCoalesceDelay = 200 * time.Millisecond

// follow keeps this process's copies of the store's entries up to date: roots read them from
// the store, and the other processes from roots or relays.
func (n *Node) follow(ctx context.Context, group *errgroup.Group) {
	schema := n.adapter.Schema
	operator := n.operator
	operator.Changed = func(r kv.Record) { n.operatorKeyChanged(ctx, group, r) }
	endpoints := &cluster.Topic{Prefix: schema.Endpoints, Changed: n.endpointListed, Deleted: n.endpointDeleted, Listed: n.endpointsSynced}
	members := n.registrar.Topic()
	if n.settings.Worker {
		n.registrar.MemberGone = func(name string) {
			group.Go(func() error { n.mover.MemberGone(ctx, name); return nil })
		}
	}
	assignments := n.owner.Assignments()
	v := &topicSync{node: n, needed: []*cluster.Topic{operator, endpoints, members, assignments}}
	if n.relay != nil {
		all := &cluster.Topic{Prefix: batchrun.AssignmentsPrefix, SubTopic: assignments}
		n.mover.HasAssignments = func(owner string) bool {
			return n.role() == fanout.Leaf || all.HasKeys(batchrun.AssignmentPrefix(owner))
		}
		v.relayed = []followedTopic{{operator, 0, 0}, {endpoints, 0, listCoalesceDelay}, {members, membersWatchTimeout, listCoalesceDelay}, {all, batchrun.AssignmentsWatchTimeout, assignmentCoalesceDelay}}
		n.addToRelay(v.relayed)
		reconciler := &batchrun.Reconciler{
			Mover: n.mover, VisitAssignments: all.VisitKeys, Log: n.log, Registry: n.registry,
			Current: func() bool {
				return n.role() != fanout.Leaf && n.contact.isCurrent() && all.AsOf() != 0 && members.AsOf() != 0
			},
		}
		group.Go(func() error { return reconciler.Run(ctx) })
	} else {
		endpoints.Scopes = n.requiredServices
	}
	group.Go(func() error { return v.run(ctx) })
}

// addToRelay has the relay serve the topics that this process follows as a relay.
func (n *Node) addToRelay(topics []followedTopic) {
	for _, f := range topics {
		var scope func(kv.Record) string
		if f.topic.Prefix == n.adapter.Schema.Endpoints {
			scope = n.serviceOf
		}
		n.relay.AddTopic(f.topic.Prefix, f.watchTimeout, f.coalesceDelay, scope)
		f.topic.Relay = n.relay
	}
}

// serviceOf returns the service of a listed endpoint, or an empty string if its entry is
// invalid; each process that receives the entry reports that itself.
func (n *Node) serviceOf(r kv.Record) string {
	endpoint, err := n.adapter.Schema.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		return ""
	}
	return endpoint.Service
}

// requiredServices returns the services whose endpoints this process sends requests to, nil for
// all, and whether the routes are known yet. Items of batch jobs are run by the jobs' owners,
// so that an entry needn't follow the endpoints of rollout services, which are many and change
// with every load of weights. An entry that accepted jobs before it knew a worker still owns them.
func (n *Node) requiredServices() (services []string, known bool) {
	table := n.directory.Table()
	switch {
	case table == nil:
		return nil, false
	case !n.ineligibleForJobs(), len(n.owner.Jobs()) > 0:
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

// requiresService returns whether this process sends requests to a service.
func (n *Node) requiresService(service string) bool {
	if n.settings.Worker {
		return true
	}
	services, known := n.requiredServices()
	return !known || services == nil || slices.Contains(services, service)
}

// followedTopic is a topic with the timeout of its watch and the time for which its changes are
// collected.
type followedTopic struct {
	topic         *cluster.Topic
	watchTimeout  time.Duration
	coalesceDelay time.Duration
}

// topicSync keeps a process's topics up to date, from the store or from other processes
// depending on its role.
type topicSync struct {
	node    *Node
	needed  []*cluster.Topic // topics that this process needs
	relayed []followedTopic  // topics that it serves as a root or relay; none if it cannot be one
}

// run updates the topics until ctx ends, and switches the source when the process's role changes.
func (v *topicSync) run(ctx context.Context) error {
	n := v.node
	s := &cluster.Subscriber{
		Store: n.adapter.Store, Topics: v.needed, Members: n.members, Peers: n.frontend.Peers, Self: n.registrar.Self, FirstStart: n.settings.FirstStart,
		Failed: n.storeFailed, Recovered: n.storeRecovered, SyncedFromRelay: n.relayAnswered, SyncedFromStore: n.contact.record, RelaysCutOff: n.store.PeersCutOff, SourceChanged: n.logUpdateSource,
	}
	s.Start(ctx)
	n.treeKnown.Store(true)
	for ctx.Err() == nil {
		role := n.role()
		if n.relay != nil {
			n.relay.SetRole(role)
			events.FanoutRoleChanged.Log(n.log, logrus.Fields{"role": role.String()})
		}
		roleCtx, end := context.WithCancel(ctx)
		go v.cancelOnRoleChange(roleCtx, end, role)
		err := v.runRole(roleCtx, s, role)
		end()
		if err != nil {
			return err
		}
	}
	return nil
}

// runRole updates the topics in one role until ctx ends.
func (v *topicSync) runRole(ctx context.Context, s *cluster.Subscriber, role fanout.Role) error {
	if role == fanout.Root {
		v.node.logUpdateSource("store, as a root", nil)
		v.node.leader.TryNow() // only a root may campaign for the duty
		v.followStore(ctx)
		s.InitialSyncDone = true
		return nil
	}
	s.Role, s.Topics = role, v.needed
	if role == fanout.Relay {
		s.Topics = nil
		for _, f := range v.relayed {
			s.Topics = append(s.Topics, f.topic)
		}
	}
	return s.Run(ctx)
}

// relayAnswered records that a relay answered.
func (n *Node) relayAnswered() {
	n.contact.record()
	n.store.PeersServed()
	n.quarantine.StoreAnswers()
}

// topicSynced records that this root received the changes of a topic from the store.
func (n *Node) topicSynced(t *cluster.Topic, asOf int64) {
	if t.Prefix == n.adapter.Schema.Operator {
		n.contact.record()
	}
	n.relay.MarkSynced(t.Prefix, asOf, time.Now())
}

// followStore follows the topics in the store until ctx ends.
func (v *topicSync) followStore(ctx context.Context) {
	n := v.node
	var group errgroup.Group
	for _, t := range v.relayed {
		f := &cluster.Follower{
			Store: n.adapter.Store, Topic: t.topic, WatchTimeout: t.watchTimeout, CoalesceDelay: t.coalesceDelay, Failed: n.storeFailed, Recovered: n.storeRecovered,
			Synced: func(asOf int64) { n.topicSynced(t.topic, asOf) },
		}
		group.Go(func() error { return f.Run(ctx) })
	}
	_ = group.Wait() // followers end with their context and return no error
}

// logUpdateSource logs from where this process receives updates of its topics, and why it left the
// previous source.
func (n *Node) logUpdateSource(name string, why error) {
	fields := logrus.Fields{"source": name}
	if why != nil {
		fields["failed"] = why.Error()
	}
	events.FleetSourceChanged.Log(n.log, fields)
}

// operatorKeyChanged handles an entry that the operator or a trainer wrote.
func (n *Node) operatorKeyChanged(ctx context.Context, group *errgroup.Group, r kv.Record) {
	schema := n.adapter.Schema
	switch {
	case r.Key == schema.Declaration:
		n.applyDeclaration(r)
	case strings.HasPrefix(r.Key, schema.Versions):
		n.versionAnnounced(r)
	case r.Key == schema.Retire+n.settings.ID:
		group.Go(func() error { n.retire(ctx); return nil })
	}
}

// versionAnnounced passes a weight version that a trainer announced to the sender of orders.
func (n *Node) versionAnnounced(r kv.Record) {
	if n.models == nil {
		return // this process gives no orders
	}
	model, version, err := n.adapter.Schema.DecodeVersion(r.Value)
	if err != nil {
		events.DeclarationUnreadable.Log(n.log, logrus.Fields{"key": r.Key, "revision": r.Revision, "error": err.Error()})
		return
	}
	events.VersionAnnounced.Log(n.log, logrus.Fields{"model": model, "version": version, "revision": r.Revision})
	n.models.SetNewestVersion(model, version)
}

// endpointListed adds or updates an endpoint; one whose entry is invalid is removed.
func (n *Node) endpointListed(r kv.Record) {
	endpoint, err := n.adapter.Schema.DecodeEndpoint(r.Key, r.Value)
	if err != nil {
		events.FleetRecordUnreadable.Log(n.log, logrus.Fields{"key": r.Key, "revision": r.Revision, "error": err.Error()})
		n.directory.Remove(strings.TrimPrefix(r.Key, n.adapter.Schema.Endpoints))
		return
	}
	n.removals.cancel(endpoint.ID)
	n.quarantine.EndpointListed(&endpoint)
	known := n.directory.ServiceOf(endpoint.ID) == endpoint.Service
	n.directory.Put(endpoint)
	n.newestRevision.Store(max(n.newestRevision.Load(), r.Revision))
	event := events.EndpointListed
	switch {
	case endpoint.Leaving:
		event = events.EndpointLeaving
	case !n.endpointsKnown.Load():
		return // endpointsSynced logs one line for the first list
	case known:
		n.listLog.Count("endpoints updated") // mostly another weight version
		return
	case !n.listLog.Allow("endpoints listed"):
		return
	}
	event.Log(n.log, logrus.Fields{"endpoint": endpoint.ID, "service": endpoint.Service, "address": endpoint.Address, "versions": endpoint.Versions, "revision": r.Revision})
}

// endpointsSynced records that a complete list of the endpoints was applied. The first list is
// logged in one line, with the numbers of endpoints and their highest revision: a line for each
// of a thousand endpoints in each process would hide everything else that is logged at a start.
func (n *Node) endpointsSynced() {
	if !n.endpointsKnown.Swap(true) {
		events.EndpointsSynced.Log(n.log, logrus.Fields{"endpoints": n.directory.Counts(), "revision": n.newestRevision.Load()})
	}
}

// endpointDeleted removes an endpoint whose entry was deleted, with a delay after an outage of
// the store.
func (n *Node) endpointDeleted(key string, revision int64) {
	id := strings.TrimPrefix(key, n.adapter.Schema.Endpoints)
	if !n.requiresService(n.directory.ServiceOf(id)) {
		n.directory.Remove(id) // it may still be up, but this process sends it no requests
		return
	}
	delay := min(n.outage.recoveryLeft(time.Now()), maxRemovalDelay)
	events.EndpointGone.Log(n.log, logrus.Fields{"endpoint": id, "revision": revision, "lingers": delay > 0})
	if delay == 0 {
		n.quarantine.EndpointGone(id)
		n.directory.Remove(id)
		return
	}
	n.removals.schedule(id, delay, func() { n.directory.Remove(id) })
}

// delayedRemovals holds the timers of endpoints whose entries were deleted around an outage of
// the store. Entries expire then although their endpoints are up, and with immediate removal
// every request of a service would be refused for some seconds after an outage.
type delayedRemovals struct {
	mu     sync.Mutex
	timers map[string]*time.Timer
}

// schedule calls remove after a delay, unless a removal of the endpoint is scheduled already.
func (r *delayedRemovals) schedule(id string, d time.Duration, remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.timers == nil {
		r.timers = map[string]*time.Timer{}
	}
	if r.timers[id] == nil {
		r.timers[id] = time.AfterFunc(d, func() {
			r.cancel(id)
			remove()
		})
	}
}

// cancel cancels the removal of an endpoint.
func (r *delayedRemovals) cancel(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if timer := r.timers[id]; timer != nil {
		timer.Stop()
		delete(r.timers, id)
	}
}

// retire hands the process's jobs and duties over to others. The machine is then retired, as its
// disk holds nothing that the system needs.
func (n *Node) retire(ctx context.Context) {
	events.RetireRequested.Log(n.log, logrus.Fields{"id": n.settings.ID})
	n.writeRetireState(ctx, false)
	n.stopping.Store(true)
	n.quiesceDuty(ctx)
	n.handOver(ctx)
	n.writeRetireState(ctx, true)
	events.RetireDone.Log(n.log, logrus.Fields{"id": n.settings.ID})
}

// quiesceDuty stops acting under the duty and waits for a lease's TTL while this process still
// holds it, so that this time lies between its last order and the first one of its successor.
// Unlike a process that stops, this one keeps running.
func (n *Node) quiesceDuty(ctx context.Context) {
	if n.leader == nil {
		return
	}
	if _, leads := n.leader.Term(time.Now()); leads {
		n.leader.Suspend(ctx)
	}
}

// writeRetireState writes the answer to the request to retire this machine, and retries until it
// is written.
func (n *Node) writeRetireState(ctx context.Context, done bool) {
	const retryDelay = 300 * time.Millisecond // the store answers within milliseconds when it is up
	schema := n.adapter.Schema
	put := kv.Put{Key: schema.Retired + n.settings.ID, Value: schema.EncodeRetireState(done)}
	for ctx.Err() == nil {
		if _, err := n.adapter.Store.Commit(ctx, kv.Transaction{Puts: []kv.Put{put}}); err == nil {
			return
		}
		time.Sleep(retryDelay)
	}
}
