package cluster

import (
	"context"
	"sort"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/rendezvous"
	"siskinloom.example/siskinloom/internal/rpcpool"
)

const (
	// directSpell is how long news are taken from the store itself once no scout
	// has fresh ones, before the scouts are asked again.
	directSpell = time.Second
	// directGather is how long changes are gathered then: every process of the
	// system may be asking.
	directGather = 300 * time.Millisecond
	// scoutsStart is how long after its own start a process waits for scouts that
	// have just started as well, asking them every askAgainEvery.
	scoutsStart   = 2500 * time.Millisecond
	askAgainEvery = 500 * time.Millisecond
	// newsSlack is how much longer than its own wait a call for news may take.
	newsSlack = 500 * time.Millisecond
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
	// Failed and Recovered tell of the store where it is followed directly.
	Failed    func(error)
	Recovered func()
	// Source is told where news come from from now on; may be nil.
	Source func(name string, why error)
	// Known is set once everything was told, from whatever source: a later Run
	// then begins with the scouts.
	Known bool
}

// Run keeps the topics up to date until ctx ends.
func (s *Subscriber) Run(ctx context.Context) error {
	s.start(ctx)
	began := time.Now()
	for ctx.Err() == nil {
		s.fromScouts(ctx)
		switch {
		case ctx.Err() != nil:
		case !s.Known && time.Since(began) < scoutsStart:
			// The scouts have just started as well and may not be registered yet.
			sleep(ctx, askAgainEvery)
			s.list(ctx, func(t *Topic) bool { return t.Prefix == prefixLive })
		default:
			s.direct(ctx)
		}
	}
	return nil
}

// start lists the members, and everything else if others are registered: callers
// may be waiting then, and a scout that is listed may be as dead as this process
// was until now. When the whole system starts there is nobody yet; what scouts
// will have in a moment is not listed by every process.
func (s *Subscriber) start(ctx context.Context) {
	if s.Known {
		return
	}
	s.list(ctx, func(t *Topic) bool { return t.Prefix == prefixLive })
	for _, m := range s.Members.Live() {
		if m.Name != s.Self.Name {
			s.list(ctx, func(t *Topic) bool { return t.Prefix != prefixLive })
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

// direct follows the store itself for a spell.
func (s *Subscriber) direct(ctx context.Context) {
	s.note("store", nil)
	spell, cancel := context.WithTimeout(ctx, directSpell)
	defer cancel()
	var group errgroup.Group
	for _, topic := range s.Topics {
		f := &Follower{Store: s.Store, Topic: topic, Gather: directGather, Failed: s.Failed, Recovered: s.Recovered}
		group.Go(func() error { return f.Run(spell) })
	}
	_ = group.Wait() // followers end with their context and return no error
}

// fromScouts takes news from one scout after the other until none has any.
func (s *Subscriber) fromScouts(ctx context.Context) {
	for _, scout := range s.scouts() {
		err := s.follow(ctx, scout)
		if ctx.Err() != nil {
			return
		}
		s.note(scout.Name, err)
	}
}

// scouts lists the scouts, the one in this process's failure domain first.
func (s *Subscriber) scouts() []Member {
	scouts := Scouts(s.Members)
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
// first call does not wait, so that a dead scout costs newsSlack only.
func (s *Subscriber) follow(ctx context.Context, scout Member) error {
	args := NewsArgs{}
	for ctx.Err() == nil {
		reply, err := s.ask(ctx, scout.Address, args)
		switch {
		case err != nil:
			return err
		case reply.Stale:
			return errStaleNews
		}
		s.take(reply)
		s.Known = true
		args = NewsArgs{Boot: reply.Boot, Seq: reply.Seq, Wait: relayWait}
		if current, listed := s.Members.Get(scout.Name); !listed || current.Leaving {
			return errors.New("cluster: scout leaves")
		}
	}
	return nil
}

func (s *Subscriber) ask(ctx context.Context, address string, args NewsArgs) (NewsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, args.Wait+newsSlack)
	defer cancel()
	var reply NewsReply
	if err := s.Peers.Call(ctx, address, callNews, args, &reply); err != nil {
		return NewsReply{}, err // the reply may still be written to
	}
	return reply, nil
}

func (s *Subscriber) take(reply NewsReply) {
	for _, topic := range s.Topics {
		news, found := reply.Topics[topic.Prefix]
		if !found {
			continue
		}
		if !reply.Full {
			for _, c := range news.Changes {
				topic.tell(c)
			}
			continue
		}
		page := kv.Page{AsOf: news.AsOf}
		for _, c := range news.Changes {
			page.Records = append(page.Records, c.Record)
		}
		topic.listing(page)
	}
}

func (s *Subscriber) note(name string, why error) {
	if s.Source != nil {
		s.Source(name, why)
	}
}
