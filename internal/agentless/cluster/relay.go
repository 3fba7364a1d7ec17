package cluster

import (
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/changefeed"
	"siskinloom.example/siskinloom/internal/policy/fanout"
	"siskinloom.example/siskinloom/internal/policy/freshness"
)

// Names of the net/rpc service and its method, which are sent.
const (
	changefeedService = "News"
	callAfter         = changefeedService + ".After"
)

// ttlMargin is how much longer than the timeout of its watch a topic may be served without an
// answer of the store. Declarations must be in force within two seconds, which leaves a process
// that lost the store no more time.
const ttlMargin = 300 * time.Millisecond

// Relay serves the changes that this process receives from the store, or from a root, to other
// processes, so that the load on the store grows with the number of roots and not with that of
// all processes. It is safe for concurrent use.
type Relay struct {
	mu       sync.Mutex
	topics   *changefeed.Topics[kv.Change]
	scopes   map[string]func(kv.Record) string // returns a record's scope, by topic
	notified changefeed.Position               // position of which waiting calls were last notified
	wake     chan struct{}
	starting bool          // calls wait for the first complete listing
	extraTTL time.Duration // how much older than a root's data this process's may be
	// confirmed holds, by topic, the moment of which the data is known to include all changes.
	confirmed map[string]time.Time
}

// NewRelay returns a Relay without topics. boot identifies this run of the process, which numbers
// the changes. It must differ from that of every other process: those that start together after a
// restart of all may do so in the same instant, so that a time does not suffice.
func NewRelay(boot int64) *Relay {
	return &Relay{topics: changefeed.NewTopics[kv.Change](boot), scopes: map[string]func(kv.Record) string{}, confirmed: map[string]time.Time{}, wake: make(chan struct{})}
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

// SetRole prepares the relay for the part of this process in the fleet. A process that is about
// to list the topics lets calls wait for them.
func (r *Relay) SetRole(role fanout.Role) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starting, r.extraTTL = role != fanout.Leaf, 0
	if role == fanout.Relay {
		r.extraTTL = fanout.RootPollTimeout + fanout.RootPollMargin
	}
}

// MarkSynced records that the store answered at a time and that all changes up to a revision
// were applied. If there are any new ones, it wakes the waiting calls, once for all changes
// of an answer.
func (r *Relay) MarkSynced(prefix string, asOf int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	topic := r.topics.Get(prefix)
	first := !topic.Synced() // calls may wait for this topic although it has no keys
	topic.MarkSynced(at, asOf)
	if first || r.notified != r.topics.Position() {
		r.notified = r.topics.Position()
		close(r.wake)
		r.wake = make(chan struct{})
	}
}

// markConfirmed records that a topic includes all changes that the store had at a time.
func (r *Relay) markConfirmed(prefix string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed[prefix] = at
}

// confirmedAge returns the time since the moment of which a topic is known to include all changes, 0
// if there is none. mu must be held.
func (r *Relay) confirmedAge(now time.Time, prefix string) time.Duration {
	at, found := r.confirmed[prefix]
	if !found {
		return 0
	}
	return max(freshness.Age(now, at), 1)
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
	HasAges  bool // whether the topics' ages are set; processes of older releases do not send them
	Position changefeed.Position
	Topics   map[string]TopicNews // by prefix of the interest
}

// TopicNews is the update of one topic, which has the fields of changefeed.Update.
// encoding/gob sends the type's name.
type TopicNews struct {
	Full    bool // Changes and Stands are all existing keys; every other key is deleted
	AsOf    int64
	Changes []kv.Change
	Stands  []string      // if Full: existing keys that have not changed since the follower's revision
	Age     time.Duration // time since the store's last answer about the topic
	// ConfirmedAge is the time since the moment of which the data is known to include all changes.
	// 0 means that it is not known; processes of older releases don't send it.
	ConfirmedAge time.Duration
}

// hasChanges reports whether the answer changes any topic.
func (r *NewsReply) hasChanges() bool {
	for _, update := range r.Topics {
		if update.Full || len(update.Changes) > 0 {
			return true
		}
	}
	return false
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
	deadline := time.Now().Add(min(args.Wait, fanout.MaxPollTimeout))
	for {
		r.mu.Lock()
		now := time.Now()
		ttl := r.topics.RemainingTTL(now, args.Interests) + r.extraTTL
		awaitsListing := r.starting && !r.topics.Listed(args.Interests)
		reply, changed := r.answer(args, now, ttl)
		wake := r.wake
		r.mu.Unlock()
		wait := time.Until(deadline)
		if !awaitsListing {
			wait = min(wait, ttl)
		}
		if (reply.Stale && !awaitsListing) || changed || wait <= 0 {
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
func (r *Relay) answer(args NewsArgs, now time.Time, ttl time.Duration) (reply NewsReply, changed bool) {
	if ttl <= 0 || !r.topics.Listed(args.Interests) {
		return NewsReply{Stale: true}, false
	}
	reply = NewsReply{HasAges: true, Position: r.topics.Position(), Topics: make(map[string]TopicNews, len(args.Interests))}
	for i := range args.Interests {
		interest := &args.Interests[i]
		topic := r.topics.Get(interest.Prefix)
		update := topic.Since(args.Position, interest)
		reply.Topics[interest.Prefix] = TopicNews{
			Full: update.Full, AsOf: update.AsOf, Changes: update.Changes, Stands: update.Stands, Age: topic.Age(now),
			ConfirmedAge: r.confirmedAge(now, interest.Prefix),
		}
		changed = changed || update.Full || len(update.Changes) > 0
	}
	return reply, changed
}
