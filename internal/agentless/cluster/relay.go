package cluster

import (
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/news"
)

// Names of the calls between processes.
const (
	relayName = "News"
	callNews  = relayName + ".After"
)

const (
	// freshSlack is how much longer than its watch waits a topic may be without a
	// word from the store and still be passed on. Declarations have two seconds to
	// be in force, which leaves a process that lost the store no more.
	freshSlack = 300 * time.Millisecond
	// relayWait is how long a call for news waits. A scout that died in silence is
	// found out that long, and newsSlack, after its last answer.
	relayWait = time.Second
)

// Relay passes what this process hears from the store on to others, so that the
// calls to the store grow with the few processes that follow it and not with
// all. It is safe for concurrent use.
type Relay struct {
	mu     sync.Mutex
	topics *news.Topics[kv.Change]
	scopes map[string]func(kv.Record) string // by topic
	told   news.Position                     // of which followers were woken
	wake   chan struct{}
}

// NewRelay returns a relay without topics; boot names its numbering.
func NewRelay(boot int64) *Relay {
	return &Relay{topics: news.NewTopics[kv.Change](boot), scopes: map[string]func(kv.Record) string{}, wake: make(chan struct{})}
}

// AddTopic has the relay carry a topic whose watch waits for so long, 0 standing for
// the shortest, and whose changes are gathered between two watches. scope says
// which part of it a record belongs to; nil: there are no parts.
func (r *Relay) AddTopic(prefix string, wait, gather time.Duration, scope func(kv.Record) string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.topics.Add(prefix, gather+max(wait, watchWait)+freshSlack)
	r.scopes[prefix] = scope
}

// put takes in a change of a topic's key.
func (r *Relay) put(prefix string, c kv.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change := news.Change[kv.Change]{Key: c.Record.Key, Revision: c.Record.Revision, Deleted: c.Deleted, Payload: c}
	if scope := r.scopes[prefix]; scope != nil && !c.Deleted {
		change.Scope = scope(c.Record)
	}
	r.topics.Get(prefix).Put(change)
}

// listed notes that a topic was listed in full.
func (r *Relay) listed(prefix string, asOf int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.topics.Get(prefix).MarkListed(asOf)
}

// MarkSynced notes that the store answered, with everything told up to a revision, and
// wakes the followers if there is anything new: once for all changes of an answer.
func (r *Relay) MarkSynced(prefix string, asOf int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.topics.Get(prefix).MarkSynced(time.Now(), asOf)
	if r.told != r.topics.Position() {
		r.told = r.topics.Position()
		close(r.wake)
		r.wake = make(chan struct{})
	}
}

// NewsArgs asks for what has changed since an earlier answer.
type NewsArgs struct {
	Position  news.Position // after the answer before, of whichever process
	Interests []news.Interest
	Wait      time.Duration
}

// NewsReply is the answer.
type NewsReply struct {
	Stale    bool // this process has not heard from the store lately
	Position news.Position
	Topics   map[string]TopicNews // by prefix, of all interests
}

// TopicNews are the changes of one topic.
type TopicNews struct {
	Full    bool // Changes and Stands are all keys that stand; others have gone
	AsOf    int64
	Changes []kv.Change
	Stands  []string // keys that are as the follower knows them, if Full
}

// Register offers the relay to other processes.
func (r *Relay) Register(server *rpc.Server) error {
	return errors.Wrap(server.RegisterName(relayName, &RelayService{relay: r}), "cluster")
}

// RelayService takes other processes' calls.
type RelayService struct{ relay *Relay }

// After implements the call of that name: news after a position.
func (s *RelayService) After(args NewsArgs, reply *NewsReply) error {
	*reply = s.relay.await(args)
	return nil
}

func (r *Relay) await(args NewsArgs) NewsReply {
	deadline := time.Now().Add(min(args.Wait, relayWait))
	for {
		r.mu.Lock()
		fresh := r.topics.RemainingTTL(time.Now(), args.Interests)
		reply, any := r.answer(args, fresh)
		wake := r.wake
		r.mu.Unlock()
		wait := min(time.Until(deadline), fresh)
		if reply.Stale || any || wait <= 0 {
			return reply
		}
		timer := time.NewTimer(wait)
		select {
		case <-wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// answer returns what a follower should be told, and whether there is anything.
func (r *Relay) answer(args NewsArgs, fresh time.Duration) (reply NewsReply, any bool) {
	if fresh <= 0 {
		return NewsReply{Stale: true}, false
	}
	reply = NewsReply{Position: r.topics.Position(), Topics: make(map[string]TopicNews, len(args.Interests))}
	for i := range args.Interests {
		interest := &args.Interests[i]
		n := r.topics.Get(interest.Prefix).Since(args.Position, interest)
		reply.Topics[interest.Prefix] = TopicNews(n)
		any = any || n.Full || len(n.Changes) > 0
	}
	return reply, any
}
