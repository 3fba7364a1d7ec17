package cluster

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/news"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

const (
	// scoutsStart is how long after its own start a process waits for scouts that
	// have just started as well, asking them every askAgainEvery and listing the
	// members anew at every third time.
	scoutsStart   = 2500 * time.Millisecond
	askAgainEvery = 300 * time.Millisecond
	listEvery     = 3
	// fleetStart is how long a process waits when the whole system starts for the
	// first time: by then all are registered, and one listing names the scouts.
	// Nobody calls yet.
	fleetStart = 800 * time.Millisecond
	// newsSlack is how much longer than its own wait a call for news may take, and
	// wholeSlack the first call of a process, which is answered with whole listings.
	newsSlack  = 500 * time.Millisecond
	wholeSlack = 2 * time.Second
)

var errStaleNews = errors.New("cluster: scout has not heard from the store lately")

// Subscriber keeps topics up to date from scouts, or from the store itself while
// none of them can.
type Subscriber struct {
	Store   kv.Shared
	Topics  []*Topic
	Members *Members
	Peers   *rpcpool.Pool
	Self    Member
	// FirstStart tells that the whole system starts for the first time.
	FirstStart bool
	// Failed and Recovered tell of the store where it is followed directly.
	Failed    func(error)
	Recovered func()
	// SyncedFromRelay is called with each answer of a scout that hears from the store; may be
	// nil.
	SyncedFromRelay func()
	// SyncedFromStore is called when the store itself told all topics; may be nil.
	SyncedFromStore func()
	// RelaysCutOff is called when all scouts answer that they do not hear from the store; may
	// be nil.
	RelaysCutOff func()
	// SourceChanged is told where news come from from now on; may be nil.
	SourceChanged func(name string, why error)
	// InitialSyncDone is set once everything was told, from whatever source: a later Run
	// then begins with the scouts.
	InitialSyncDone bool

	broken   bool // the store failed when it was last asked
	position news.Position
	scopes   map[*Topic][]string // parts that were told of each topic
}

// Run keeps the topics up to date until ctx ends.
func (s *Subscriber) Run(ctx context.Context) error {
	s.start(ctx)
	began := time.Now()
	for try := 1; ctx.Err() == nil; try++ {
		s.fromScouts(ctx)
		switch {
		case ctx.Err() != nil:
		case !s.InitialSyncDone && time.Since(began) < scoutsStart:
			// The scouts have just started as well and may not be registered yet.
			sleep(ctx, askAgainEvery)
			if try%listEvery == 0 {
				s.list(ctx, isMembers)
			}
		default:
			s.direct(ctx)
		}
	}
	return nil
}

func isMembers(t *Topic) bool { return t.Prefix == prefixLive }

// start lists the members, and everything else if others are registered: callers
// may be waiting then, and a scout that is listed may be as dead as this process
// was until now. When the whole system starts there is nobody yet; what scouts
// will have in a moment is not listed by every process.
func (s *Subscriber) start(ctx context.Context) {
	if s.InitialSyncDone {
		return
	}
	if s.FirstStart {
		sleep(ctx, fleetStart)
	}
	s.list(ctx, isMembers)
	if s.FirstStart {
		return
	}
	for _, m := range s.Members.Live() {
		if m.Name != s.Self.Name {
			s.list(ctx, func(t *Topic) bool { return !isMembers(t) && !t.idle() })
			return
		}
	}
}

// list lists some of the topics from the store.
func (s *Subscriber) list(ctx context.Context, which func(*Topic) bool) {
	var group errgroup.Group
	for _, topic := range s.Topics {
		if !which(topic) {
			continue
		}
		group.Go(func() error {
			page, err := kv.ReadAll(ctx, s.Store, topic.Prefix)
			if err == nil {
				topic.listing(page)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil && s.Failed != nil && ctx.Err() == nil {
		s.Failed(err)
	}
}

// direct asks the store itself once for each topic, from where it stands. In an
// outage of the store no scout has fresh news either, and all processes come here at
// once: one call of each then tells that the store is away, and nothing is listed
// when it is back.
func (s *Subscriber) direct(ctx context.Context) {
	s.note("store", nil)
	if !s.round(ctx, 0, isMembers) {
		sleep(ctx, askAgainEvery)
		return
	}
	if s.round(ctx, watchWait, func(*Topic) bool { return true }) && s.SyncedFromStore != nil {
		s.SyncedFromStore()
	}
}

// round makes one call for each of some topics, and tells whether all succeeded.
func (s *Subscriber) round(ctx context.Context, wait time.Duration, which func(*Topic) bool) bool {
	var group errgroup.Group
	for _, topic := range s.Topics {
		if !which(topic) {
			continue
		}
		if needed, known := topic.needed(); known {
			s.widen(topic, needed)
		}
		f := &Follower{Store: s.Store, Topic: topic, Failed: s.Failed}
		group.Go(func() error { return f.once(ctx, wait) })
	}
	err := group.Wait()
	if err == nil && s.broken && s.Recovered != nil {
		s.Recovered()
	}
	s.broken = err != nil
	return err == nil
}

// widen has a topic be listed anew, with all its parts, if some are needed that
// were not told.
func (s *Subscriber) widen(topic *Topic, needed []string) {
	if !covers(s.scopes[topic], needed) {
		topic.widen()
		delete(s.scopes, topic)
	}
}

// fromScouts takes news from one scout after the other until none has any.
func (s *Subscriber) fromScouts(ctx context.Context) {
	scouts := s.scouts()
	stale := 0
	for _, scout := range scouts {
		err := s.follow(ctx, scout)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errStaleNews) {
			stale++
		}
		s.note(scout.Name, err)
	}
	if stale > 0 && stale == len(scouts) && s.RelaysCutOff != nil {
		s.RelaysCutOff()
	}
}

// scouts lists the scouts, the one in this process's failure domain first.
func (s *Subscriber) scouts() []Member {
	scouts := Relays(s.Members)
	SortNearest(s.Self, scouts)
	return scouts
}

// SortNearest sorts members as a process should ask them: those of its failure
// domain first, as bytes between domains are dearer, and among equals in an order
// of its own, so that not all processes ask the same one.
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

// follow takes a scout's news until it fails or has none that are fresh. The
// first call does not wait, so that a dead scout costs its slack only.
func (s *Subscriber) follow(ctx context.Context, scout Member) error {
	wait := time.Duration(0)
	for ctx.Err() == nil {
		interests, asked := s.interests()
		reply, err := s.ask(ctx, scout.Address, NewsArgs{Position: s.position, Interests: interests, Wait: wait})
		switch {
		case err != nil:
			return err
		case reply.Stale:
			return errStaleNews
		}
		s.take(reply, asked)
		s.position = reply.Position
		if s.SyncedFromRelay != nil {
			s.SyncedFromRelay()
		}
		s.InitialSyncDone = s.InitialSyncDone || len(asked) == len(s.Topics)
		wait = relayWait
		if current, listed := s.Members.Get(scout.Name); !listed || current.Leaving {
			return errors.New("cluster: scout leaves")
		}
	}
	return nil
}

// interests returns what is to be asked for, with the topics that it covers and
// their parts. A topic of which more parts are needed than before is asked for as
// a whole; one whose parts are not known yet is left out.
func (s *Subscriber) interests() ([]news.Interest, map[*Topic][]string) {
	var interests []news.Interest
	asked := map[*Topic][]string{}
	for _, t := range s.Topics {
		needed, known := t.needed()
		if !known {
			continue
		}
		s.widen(t, needed)
		interest := news.Interest{Prefix: t.carrier(), Scopes: needed, AsOf: t.AsOf()}
		if t.RelayPrefix != "" {
			interest.Only = t.Prefix
		}
		asked[t] = needed
		interests = append(interests, interest)
	}
	return interests, asked
}

// covers tells whether what was told of some parts holds all that is needed; nil
// stands for all parts.
func covers(told, needed []string) bool {
	switch {
	case told == nil:
		return true
	case needed == nil:
		return false
	}
	return !slices.ContainsFunc(needed, func(scope string) bool { return !slices.Contains(told, scope) })
}

func (s *Subscriber) ask(ctx context.Context, address string, args NewsArgs) (NewsReply, error) {
	slack := newsSlack
	if slices.ContainsFunc(args.Interests, func(i news.Interest) bool { return i.AsOf == 0 }) {
		slack = wholeSlack
	}
	ctx, cancel := context.WithTimeout(ctx, args.Wait+slack)
	defer cancel()
	var reply NewsReply
	if err := s.Peers.Call(ctx, address, callNews, args, &reply); err != nil {
		return NewsReply{}, err // the reply may still be written to
	}
	return reply, nil
}

// take takes in an answer to what was asked.
func (s *Subscriber) take(reply NewsReply, asked map[*Topic][]string) {
	if s.scopes == nil {
		s.scopes = map[*Topic][]string{}
	}
	for topic, scopes := range asked {
		told := reply.Topics[topic.carrier()]
		if told.Full {
			page := kv.Page{AsOf: told.AsOf}
			for _, c := range told.Changes {
				page.Records = append(page.Records, c.Record)
			}
			topic.listing(page, told.Stands...)
		} else {
			for _, c := range told.Changes {
				topic.tell(c)
			}
			topic.reached(told.AsOf)
		}
		s.scopes[topic] = scopes
	}
}

func (s *Subscriber) note(name string, why error) {
	if s.SourceChanged != nil {
		s.SourceChanged(name, why)
	}
}
