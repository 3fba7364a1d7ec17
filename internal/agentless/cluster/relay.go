package cluster

import (
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/changefeed"
)

// Names of the net/rpc service and its method, which are sent.
const (
	changefeedService = "News"
	callAfter         = changefeedService + ".After"
)

const (
	// ttlMargin is how much longer than the timeout of its watch a topic may be served
	// without an answer of the store. Declarations must be in force within two seconds, which
	// leaves a process that lost the store no more time.
	ttlMargin = 300 * time.Millisecond
	// maxUpdateTimeout is the maximum long-poll timeout of a call for updates. The
	// failure of a relay that does not answer is detected maxUpdateTimeout plus
	// updateCallMargin after its last answer.
	maxUpdateTimeout = time.Second
)

// Relay serves the changes that this process receives from the store to other
// processes, so that the load on the store grows with the number of relays and not with
// that of all processes. It is safe for concurrent use.
type Relay struct {
	mu       sync.Mutex
	topics   *changefeed.Topics[kv.Change]
	scopes   map[string]func(kv.Record) string // returns a record's scope, by topic
	notified changefeed.Position               // position of which waiting calls were last notified
	wake     chan struct{}
}

// NewRelay returns a Relay without topics. boot identifies this run of the process,
// which numbers the changes.
func NewRelay(boot int64) *Relay {
	return &Relay{topics: changefeed.NewTopics[kv.Change](boot), scopes: map[string]func(kv.Record) string{}, wake: make(chan struct{})}
}

// AddTopic adds a topic. watchTimeout is the timeout of the topic's watch calls, and
// values below minWatchTimeout are raised to it; coalesceDelay is the delay between two
// of them after changes. scope returns the scope that a record belongs to; nil means
// that the topic has no scopes.
func (r *Relay) AddTopic(prefix string, watchTimeout, coalesceDelay time.Duration, scope func(kv.Record) string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.topics.Add(prefix, coalesceDelay+max(watchTimeout, minWatchTimeout)+ttlMargin)
	r.scopes[prefix] = scope
}

// put applies a change of a key.
func (r *Relay) put(prefix string, c kv.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change := changefeed.Change[kv.Change]{Key: c.Record.Key, Revision: c.Record.Revision, Deleted: c.Deleted, Payload: c}
	if scope := r.scopes[prefix]; scope != nil && !c.Deleted {
		change.Scope = scope(c.Record)
	}
	r.topics.Get(prefix).Put(change)
}

// markListed records that a complete listing of a topic was applied.
func (r *Relay) markListed(prefix string, asOf int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.topics.Get(prefix).MarkListed(asOf)
}

// MarkSynced records that the store answered and that all changes up to a revision were
// applied. If there are any new ones, it wakes the waiting calls, once for all changes
// of an answer.
func (r *Relay) MarkSynced(prefix string, asOf int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.topics.Get(prefix).MarkSynced(time.Now(), asOf)
	if r.notified != r.topics.Position() {
		r.notified = r.topics.Position()
		close(r.wake)
		r.wake = make(chan struct{})
	}
}

// NewsArgs requests the changes since an earlier answer. encoding/gob sends the type's
// name.
type NewsArgs struct {
	Position  changefeed.Position // position of the last answer, of whichever process
	Interests []changefeed.Interest
	Wait      time.Duration
}

// NewsReply is the answer to NewsArgs. encoding/gob sends the type's name.
type NewsReply struct {
	Stale    bool // this process has had no contact with the store lately
	Position changefeed.Position
	Topics   map[string]TopicNews // by prefix of the interest
}

// TopicNews is the update of one topic. It has the same fields as changefeed.Update.
// encoding/gob sends the type's name.
type TopicNews struct {
	Full    bool // Changes and Stands are all existing keys; every other key is deleted
	AsOf    int64
	Changes []kv.Change
	Stands  []string // if Full: existing keys that have not changed since the follower's revision
}

// Register registers the net/rpc service that serves the relay's topics.
func (r *Relay) Register(server *rpc.Server) error {
	return errors.Wrap(server.RegisterName(changefeedService, &RelayService{relay: r}), "cluster")
}

// RelayService is the net/rpc service of a Relay.
type RelayService struct{ relay *Relay }

// After returns the changes after a position. It waits for changes if there are none.
func (s *RelayService) After(args NewsArgs, reply *NewsReply) error {
	*reply = s.relay.await(args)
	return nil
}

// await returns an answer as soon as there are changes, the data becomes stale or the
// wait of the call ends.
func (r *Relay) await(args NewsArgs) NewsReply {
	deadline := time.Now().Add(min(args.Wait, maxUpdateTimeout))
	for {
		r.mu.Lock()
		ttl := r.topics.RemainingTTL(time.Now(), args.Interests)
		reply, changed := r.answer(args, ttl)
		wake := r.wake
		r.mu.Unlock()
		wait := min(time.Until(deadline), ttl)
		if reply.Stale || changed || wait <= 0 {
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

// answer returns the reply to a call for updates, and whether it contains changes. ttl
// is how much longer the requested topics may be served.
func (r *Relay) answer(args NewsArgs, ttl time.Duration) (reply NewsReply, changed bool) {
	if ttl <= 0 {
		return NewsReply{Stale: true}, false
	}
	reply = NewsReply{Position: r.topics.Position(), Topics: make(map[string]TopicNews, len(args.Interests))}
	for i := range args.Interests {
		interest := &args.Interests[i]
		update := r.topics.Get(interest.Prefix).Since(args.Position, interest)
		reply.Topics[interest.Prefix] = TopicNews(update)
		changed = changed || update.Full || len(update.Changes) > 0
	}
	return reply, changed
}
