package cluster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/changefeed"
	"siskinloom.example/siskinloom/internal/policy/fanout"
	"siskinloom.example/siskinloom/internal/policy/freshness"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

const (
	// firstStartDelay is the delay before the first listing when the whole system
	// starts for the first time. All processes have registered by then, so that one
	// listing yields the tree, and there are no callers yet.
	firstStartDelay = 800 * time.Millisecond
	// updateCallMargin is how much longer than its own wait a call for updates may
	// take. fullUpdateCallMargin applies to calls that are answered with complete
	// listings, as the first call of a process is.
	updateCallMargin     = 500 * time.Millisecond
	fullUpdateCallMargin = 2 * time.Second
	// processesPerRelay estimates the size of a fleet while its members are unknown.
	processesPerRelay = 40
)

var (
	errStaleRelay   = errors.New("cluster: the relay has had no contact with the store lately")
	errNoAges       = errors.New("cluster: the root does not tell the age of its data")
	errLeavingRelay = errors.New("cluster: the relay is leaving")
	errBadReply     = errors.New("cluster: the relay's answer lacks a topic or has a negative age")
)

// Subscriber keeps topics up to date from other processes, or from the store while none of
// them can serve them.
type Subscriber struct {
	Store   kv.TransactionalStore
	Topics  []*Topic
	Members *Members
	Peers   *rpcpool.Pool
	Self    Member
	// Role is Leaf or Relay.
	Role fanout.Role
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool
	// Failed and Recovered are called when direct calls to the store fail and succeed
	// again. They may be nil.
	Failed    func(error)
	Recovered func()
	// SyncedFromRelay is called after each answer of a process that is in contact with
	// the store. It may be nil.
	SyncedFromRelay func()
	// SyncedFromStore is called when all topics were updated from the store directly.
	// It may be nil.
	SyncedFromStore func()
	// RelaysCutOff is called when all sources answer that they have no contact with the
	// store. It may be nil.
	RelaysCutOff func()
	// SourceChanged is called with the name of the process or store that updates come
	// from, and with the error that ended the use of the one before. It may be nil.
	SourceChanged func(name string, why error)
	// InitialSyncDone is set once all topics were received from any source. A later Run
	// then starts with the relays.
	InitialSyncDone bool

	storeFailing   bool // whether the last direct call to the store failed
	position       changefeed.Position
	receivedScopes map[*Topic][]string // scopes that were received of each topic
	source         string              // where the last update came from
	sourceErr      error               // why the last source was left
	follower       fanout.Follower
	sources        []Member // of the current pass of the follower
	stopDirect     func()   // ends the following of the store; nil if no source is missing
}

// Start learns the tree. Topics must include that of the members. Run must follow.
func (s *Subscriber) Start(ctx context.Context) {
	if s.FirstStart {
		sleep(ctx, firstStartDelay)
	}
	s.readTree(ctx)
	if !s.Members.Tree().HasRelays() {
		s.listTopics(ctx, isMembers)
	}
}

// readTree reads the published tree. When the whole system starts for the first time, the
// workers publish it from their own listings, and the other processes wait for it.
func (s *Subscriber) readTree(ctx context.Context) {
	began := time.Now()
	for {
		tree, err := ReadTree(ctx, s.Store)
		if err != nil && s.Failed != nil && ctx.Err() == nil {
			s.Failed(err)
		}
		if !tree.IsEmpty() {
			s.Members.SetPublished(tree)
			return
		}
		if !s.FirstStart || s.Self.Worker || ctx.Err() != nil || time.Since(began) > fanout.StartTimeout {
			return
		}
		sleep(ctx, fanout.RetryInterval)
	}
}

// Run keeps the topics up to date until ctx is done.
func (s *Subscriber) Run(ctx context.Context) error {
	s.position = changefeed.Position{} // the topics may differ from those of an earlier Run
	s.listAtStart(ctx)
	s.follower = fanout.Follower{Role: s.Role, Random: rand.Float64, FirstStart: s.FirstStart}
	defer s.endDirect()
	if s.InitialSyncDone {
		s.follower.SetSynced()
	}
	for ctx.Err() == nil {
		action := s.follower.Next(time.Now(), s.fleet)
		switch action.Kind {
		case fanout.AskSource:
			s.askSource(ctx, action.Wait)
		case fanout.AskStore:
			s.fromStore(ctx)
		case fanout.FollowStore:
			s.followStore(ctx)
			sleep(ctx, action.Wait)
		case fanout.Pause:
			sleep(ctx, action.Wait)
			if action.Relist {
				s.listTopics(ctx, isMembers)
			}
		}
	}
	return nil
}

// fleet determines the sources of the next pass, and returns what the follower needs to know.
func (s *Subscriber) fleet() fanout.Fleet {
	tree := s.Members.Tree()
	s.sources = tree.sourcesOf(s.Self, s.Role)
	return fanout.Fleet{
		Sources: len(s.sources), HasRelays: tree.HasRelays(),
		Processes: max(s.Members.Count(), len(tree.Relays)*processesPerRelay),
	}
}

// isMembers reports whether a topic is that of the members.
func isMembers(t *Topic) bool { return t.Prefix == prefixLive }

// listAtStart lists all topics but the members, in a small fleet in which other processes are
// registered: callers may be waiting, and a listed root may have failed, as this process had
// until now. In a large fleet relays serve these listings, as the store could not send them to
// all processes in time. When the whole system starts for the first time there are no callers.
func (s *Subscriber) listAtStart(ctx context.Context) {
	if s.InitialSyncDone || s.FirstStart || s.Members.Tree().HasRelays() {
		return
	}
	for _, m := range s.Members.Live() {
		if m.Name != s.Self.Name {
			s.listTopics(ctx, func(t *Topic) bool { return !isMembers(t) && !t.isIdle() })
			return
		}
	}
}

// listTopics lists some of the topics from the store.
func (s *Subscriber) listTopics(ctx context.Context, filter func(*Topic) bool) {
	var group errgroup.Group
	for _, topic := range s.Topics {
		if !filter(topic) {
			continue
		}
		group.Go(func() error {
			_, err := (&Follower{Store: s.Store, Topic: topic}).list(ctx)
			return err
		})
	}
	if err := group.Wait(); err != nil && s.Failed != nil && ctx.Err() == nil {
		s.Failed(err)
	}
}

// fromStore makes one call to the store for each topic, from the topic's revision.
// During an outage of the store the relays have no current data either, and all
// processes get here at the same time. One call by each of them then detects the
// outage, and nothing needs to be listed afterwards.
func (s *Subscriber) fromStore(ctx context.Context) {
	s.setSource("store")
	if !s.callTopics(ctx, 0, isMembers) {
		sleep(ctx, fanout.RetryInterval)
		return
	}
	if s.callTopics(ctx, minWatchTimeout, func(*Topic) bool { return true }) && s.SyncedFromStore != nil {
		s.SyncedFromStore()
	}
}

// followStore begins to follow all topics in the store, unless that is under way. Meanwhile the sources
// are asked again; if they are silent, that takes seconds.
func (s *Subscriber) followStore(ctx context.Context) {
	s.setSource("store")
	for _, topic := range s.Topics {
		if needed, known := topic.neededScopes(); known {
			s.ensureScopes(topic, needed)
		}
	}
	if s.stopDirect != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	for _, topic := range s.Topics {
		f := &Follower{Store: s.Store, Topic: topic, Failed: s.Failed, Recovered: s.Recovered}
		group.Go(func() error { return f.Run(ctx) })
	}
	s.stopDirect = func() {
		cancel()
		_ = group.Wait() // followers end with their context and return no error
	}
}

// endDirect ends what followStore began.
func (s *Subscriber) endDirect() {
	if s.stopDirect != nil {
		s.stopDirect()
		s.stopDirect = nil
	}
}

// callTopics makes one call to the store for each of some topics, and reports whether
// all succeeded.
func (s *Subscriber) callTopics(ctx context.Context, wait time.Duration, filter func(*Topic) bool) bool {
	var group errgroup.Group
	for _, topic := range s.Topics {
		if !filter(topic) {
			continue
		}
		if needed, known := topic.neededScopes(); known {
			s.ensureScopes(topic, needed)
		}
		f := &Follower{Store: s.Store, Topic: topic, Failed: s.Failed}
		group.Go(func() error {
			err := f.callOnce(ctx, wait)
			if asOf := topic.AsOf(); err == nil && asOf > 0 && s.Role == fanout.Relay {
				topic.Relay.MarkSynced(topic.Prefix, asOf, time.Now())
			}
			return err
		})
	}
	err := group.Wait()
	if err == nil && s.storeFailing && s.Recovered != nil {
		s.Recovered()
	}
	s.storeFailing = err != nil
	return err == nil
}

// ensureScopes makes a topic be listed again, with all needed scopes, if some of those
// were not received yet.
func (s *Subscriber) ensureScopes(topic *Topic, needed []string) {
	if !covers(s.receivedScopes[topic], needed) {
		topic.resetForScopes()
		delete(s.receivedScopes, topic)
	}
}

// askSource requests updates from the current source.
func (s *Subscriber) askSource(ctx context.Context, wait time.Duration) {
	source := s.sources[s.follower.Source()]
	outcome, err := s.update(ctx, source, wait)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		s.sourceErr = errors.Wrap(err, source.Name)
	}
	if outcome == fanout.Served {
		s.endDirect()
	}
	s.follower.Done(outcome)
	if s.follower.AllStale() && s.RelaysCutOff != nil {
		s.RelaysCutOff()
	}
}

// SortNearest sorts members in the order in which a process should ask them. Those in
// its failure domain come first, because traffic between domains costs more. Among
// equals the order differs between processes, so that not all of them ask the same
// member.
func SortNearest(self Member, members []Member) {
	key := rendezvous.Key(self.Name)
	sort.SliceStable(members, func(i, j int) bool {
		near, other := members[i].Domain == self.Domain, members[j].Domain == self.Domain
		if near != other {
			return near
		}
		return rendezvous.Weight(key, rendezvous.Key(members[i].Name)) > rendezvous.Weight(key, rendezvous.Key(members[j].Name))
	})
}

// update requests updates from a process and applies them. The error says why the process
// cannot go on as a source.
func (s *Subscriber) update(ctx context.Context, source Member, wait time.Duration) (fanout.Outcome, error) {
	interests, asked := s.interests()
	began := time.Now()
	reply, err := s.requestUpdates(ctx, source.Address, NewsArgs{Position: s.position, Interests: interests, Wait: wait})
	switch {
	case err != nil:
		return fanout.Unreachable, err
	case reply.Stale:
		return fanout.Stale, errStaleRelay
	case s.Role == fanout.Relay && !reply.HasAges:
		return fanout.Unreachable, errNoAges
	case !isComplete(reply, asked):
		return fanout.Unreachable, errBadReply
	}
	s.setSource(source.Name)
	s.apply(reply, asked, freshness.ConfirmedSince(began, time.Now(), wait, reply.hasChanges()))
	s.position = reply.Position
	if s.SyncedFromRelay != nil {
		s.SyncedFromRelay()
	}
	if len(asked) == len(s.Topics) {
		s.InitialSyncDone = true
		s.follower.SetSynced()
	}
	if current, listed := s.Members.Get(source.Name); !listed || current.Leaving {
		return fanout.Left, errLeavingRelay
	}
	return fanout.Served, nil
}

// isComplete reports whether an answer has an update of each requested topic, with a possible
// age. A relay would serve the data of a topic that is missing as if the store had confirmed it.
func isComplete(reply NewsReply, asked map[*Topic][]string) bool {
	for topic := range asked {
		if update, found := reply.Topics[topic.relayPrefix()]; !found || update.Age < 0 {
			return false
		}
	}
	return true
}

// interests returns the interests to request, and the topics that they cover with their
// scopes. A topic that needs more scopes than before is requested in full; one whose
// scopes are not known yet is left out.
func (s *Subscriber) interests() ([]changefeed.Interest, map[*Topic][]string) {
	var interests []changefeed.Interest
	asked := map[*Topic][]string{}
	for _, t := range s.Topics {
		needed, known := t.neededScopes()
		if !known {
			continue
		}
		s.ensureScopes(t, needed)
		interest := changefeed.Interest{Prefix: t.relayPrefix(), Scopes: needed, AsOf: t.AsOf()}
		if t.RelayPrefix != "" {
			interest.Only = t.Prefix
		}
		asked[t] = needed
		interests = append(interests, interest)
	}
	return interests, asked
}

// covers reports whether the received scopes include all needed ones; nil means all
// scopes.
func covers(received, needed []string) bool {
	switch {
	case received == nil:
		return true
	case needed == nil:
		return false
	}
	return !slices.ContainsFunc(needed, func(scope string) bool { return !slices.Contains(received, scope) })
}

// requestUpdates calls a relay.
func (s *Subscriber) requestUpdates(ctx context.Context, address string, args NewsArgs) (NewsReply, error) {
	margin := updateCallMargin
	if slices.ContainsFunc(args.Interests, func(i changefeed.Interest) bool { return i.AsOf == 0 }) {
		margin = fullUpdateCallMargin
	}
	ctx, cancel := context.WithTimeout(ctx, args.Wait+margin)
	defer cancel()
	var reply NewsReply
	if err := s.Peers.Call(ctx, address, callAfter, args, &reply); err != nil {
		return NewsReply{}, err // net/rpc may still write to reply
	}
	return reply, nil
}

// apply applies a relay's answer to the topics that were requested. The relay gave it at the moment
// answered or later.
func (s *Subscriber) apply(reply NewsReply, asked map[*Topic][]string, answered time.Time) {
	if s.receivedScopes == nil {
		s.receivedScopes = map[*Topic][]string{}
	}
	now := time.Now()
	for topic, scopes := range asked {
		update := reply.Topics[topic.relayPrefix()]
		if update.Full {
			page := kv.Page{AsOf: update.AsOf}
			for _, c := range update.Changes {
				page.Records = append(page.Records, c.Record)
			}
			topic.applyListing(page, update.Stands...)
		} else {
			for _, c := range update.Changes {
				topic.apply(c)
			}
			topic.advance(update.AsOf)
		}
		s.receivedScopes[topic] = scopes
		if update.ConfirmedAge > 0 {
			topic.confirm(answered.Add(-update.ConfirmedAge))
		}
		if s.Role == fanout.Relay {
			topic.Relay.MarkSynced(topic.Prefix, update.AsOf, now.Add(-update.Age))
		}
	}
}

// setSource records where updates come from and reports a change.
func (s *Subscriber) setSource(name string) {
	if s.source == name {
		return
	}
	s.source = name
	if s.SourceChanged != nil {
		s.SourceChanged(name, s.sourceErr)
	}
	s.sourceErr = nil
}
