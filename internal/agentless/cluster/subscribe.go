package cluster

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/changefeed"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

const (
	// relayStartTimeout is how long after its own start a process waits for relays that
	// are still starting as well. It asks them every relayRetryInterval and lists the
	// members again at every third attempt (membersListTries).
	relayStartTimeout  = 2500 * time.Millisecond
	relayRetryInterval = 300 * time.Millisecond
	membersListTries   = 3
	// firstStartDelay is the delay before the first listing when the whole system
	// starts for the first time. All processes have registered by then, so that one
	// listing yields the relays, and there are no callers yet.
	firstStartDelay = 800 * time.Millisecond
	// updateCallMargin is how much longer than its own wait a call for updates may
	// take. fullUpdateCallMargin applies to calls that are answered with complete
	// listings, as the first call of a process is.
	updateCallMargin     = 500 * time.Millisecond
	fullUpdateCallMargin = 2 * time.Second
)

var errStaleRelay = errors.New("cluster: the relay has had no contact with the store lately")

// Subscriber keeps topics up to date from a relay, or from the store while no relay can
// serve them.
type Subscriber struct {
	Store   kv.TransactionalStore
	Topics  []*Topic
	Members *Members
	Peers   *rpcpool.Pool
	Self    Member
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool
	// Failed and Recovered are called when direct calls to the store fail and succeed
	// again. They may be nil.
	Failed    func(error)
	Recovered func()
	// SyncedFromRelay is called after each answer of a relay that is in contact with
	// the store. It may be nil.
	SyncedFromRelay func()
	// SyncedFromStore is called when all topics were updated from the store directly.
	// It may be nil.
	SyncedFromStore func()
	// RelaysCutOff is called when all relays answer that they have no contact with the
	// store. It may be nil.
	RelaysCutOff func()
	// SourceChanged is called with the name of the process or store that updates come
	// from, and with the error that ended the use of a relay. It may be nil.
	SourceChanged func(name string, why error)
	// InitialSyncDone is set once all topics were received from any source. A later Run
	// then starts with the relays.
	InitialSyncDone bool

	storeFailing   bool // whether the last direct call to the store failed
	position       changefeed.Position
	receivedScopes map[*Topic][]string // scopes that were received of each topic
}

// Run keeps the topics up to date until ctx is done.
func (s *Subscriber) Run(ctx context.Context) error {
	s.listAtStart(ctx)
	began := time.Now()
	for try := 1; ctx.Err() == nil; try++ {
		s.fromRelays(ctx)
		switch {
		case ctx.Err() != nil:
		case !s.InitialSyncDone && time.Since(began) < relayStartTimeout:
			// The relays may be starting as well and not be registered yet.
			sleep(ctx, relayRetryInterval)
			if try%membersListTries == 0 {
				s.listTopics(ctx, isMembers)
			}
		default:
			s.fromStore(ctx)
		}
	}
	return nil
}

// isMembers reports whether a topic is that of the members.
func isMembers(t *Topic) bool { return t.Prefix == prefixLive }

// listAtStart lists the members and, if other processes are registered, all other
// topics: callers may be waiting, and a listed relay may have failed, as this process
// had until now. When the whole system starts for the first time there are no callers,
// and not every process needs to list what the relays will serve in a moment.
func (s *Subscriber) listAtStart(ctx context.Context) {
	if s.InitialSyncDone {
		return
	}
	if s.FirstStart {
		sleep(ctx, firstStartDelay)
	}
	s.listTopics(ctx, isMembers)
	if s.FirstStart {
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
			page, err := kv.ReadAll(ctx, s.Store, topic.Prefix)
			if err == nil {
				topic.applyListing(page)
			}
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
	s.reportSource("store", nil)
	if !s.callTopics(ctx, 0, isMembers) {
		sleep(ctx, relayRetryInterval)
		return
	}
	if s.callTopics(ctx, minWatchTimeout, func(*Topic) bool { return true }) && s.SyncedFromStore != nil {
		s.SyncedFromStore()
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
		group.Go(func() error { return f.callOnce(ctx, wait) })
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

// fromRelays gets updates from one relay after the other until none can serve them.
func (s *Subscriber) fromRelays(ctx context.Context) {
	relays := s.relays()
	stale := 0
	for _, relay := range relays {
		err := s.followRelay(ctx, relay)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errStaleRelay) {
			stale++
		}
		s.reportSource(relay.Name, err)
	}
	if stale > 0 && stale == len(relays) && s.RelaysCutOff != nil {
		s.RelaysCutOff()
	}
}

// relays returns the relays, those in this process's failure domain first.
func (s *Subscriber) relays() []Member {
	relays := Relays(s.Members)
	SortNearest(s.Self, relays)
	return relays
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

// followRelay gets updates from a relay until a call fails or the relay's data is
// stale. The first call does not wait, so that a failed relay costs only the call's
// margin.
func (s *Subscriber) followRelay(ctx context.Context, relay Member) error {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		interests, asked := s.interests()
		reply, err := s.requestUpdates(ctx, relay.Address, NewsArgs{Position: s.position, Interests: interests, Wait: wait})
		switch {
		case err != nil:
			return err
		case reply.Stale:
			return errStaleRelay
		}
		s.apply(reply, asked)
		s.position = reply.Position
		if s.SyncedFromRelay != nil {
			s.SyncedFromRelay()
		}
		s.InitialSyncDone = s.InitialSyncDone || len(asked) == len(s.Topics)
		wait = maxUpdateTimeout
		if current, listed := s.Members.Get(relay.Name); !listed || current.Leaving {
			return errors.New("cluster: the relay is leaving")
		}
	}
	return nil
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

// apply applies a relay's answer to the topics that were requested.
func (s *Subscriber) apply(reply NewsReply, asked map[*Topic][]string) {
	if s.receivedScopes == nil {
		s.receivedScopes = map[*Topic][]string{}
	}
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
	}
}

// reportSource calls SourceChanged if it is set.
func (s *Subscriber) reportSource(name string, why error) {
	if s.SourceChanged != nil {
		s.SourceChanged(name, why)
	}
}
