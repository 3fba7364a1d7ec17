package cluster

import (
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/kv"
)

// Names of the calls between processes.
const (
	relayName = "News"
	callNews  = relayName + ".Await"
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
	boot int64 // names this process's numbering

	mu     sync.Mutex
	seq    int64
	topics map[string]*relayed
	wake   chan struct{}
}

type relayed struct {
	fresh time.Duration // how long after the store's last word
	asOf  int64
	heard time.Time
	keys  map[string]relayedKey
}

type relayedKey struct {
	change kv.Change
	seq    int64
}

// NewRelay returns a relay without topics; boot names its numbering.
func NewRelay(boot int64) *Relay {
	return &Relay{boot: boot, topics: map[string]*relayed{}, wake: make(chan struct{})}
}

// Carry has the relay carry a topic whose watch waits for so long; 0 stands for
// the shortest.
func (r *Relay) Carry(prefix string, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.topics[prefix] = &relayed{fresh: max(wait, watchWait) + freshSlack, keys: map[string]relayedKey{}}
}

// Put takes in a change of a topic's key.
func (r *Relay) Put(prefix string, c kv.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	r.topics[prefix].keys[c.Record.Key] = relayedKey{change: c, seq: r.seq}
	close(r.wake)
	r.wake = make(chan struct{})
}

// Heard notes that the store answered, with everything told up to a revision.
func (r *Relay) Heard(prefix string, asOf int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.topics[prefix]
	t.asOf = max(t.asOf, asOf)
	t.heard = time.Now()
}

// NewsArgs asks for what has changed since an earlier answer.
type NewsArgs struct {
	Boot int64 // of the numbering that Seq belongs to
	Seq  int64
	Wait time.Duration
}

// NewsReply is the answer.
type NewsReply struct {
	Stale  bool // this process has not heard from the store lately
	Full   bool // Topics holds everything, not only changes
	Boot   int64
	Seq    int64
	Topics map[string]TopicNews
}

// TopicNews are the changes of one topic.
type TopicNews struct {
	AsOf    int64
	Changes []kv.Change
}

// Register offers the relay to other processes.
func (r *Relay) Register(server *rpc.Server) error {
	return errors.Wrap(server.RegisterName(relayName, &RelayService{relay: r}), "cluster")
}

// RelayService takes other processes' calls.
type RelayService struct{ relay *Relay }

// Await implements the call of that name.
func (s *RelayService) Await(args NewsArgs, reply *NewsReply) error {
	*reply = s.relay.await(args)
	return nil
}

func (r *Relay) await(args NewsArgs) NewsReply {
	deadline := time.Now().Add(min(args.Wait, relayWait))
	for {
		r.mu.Lock()
		reply, wake := r.answer(args), r.wake
		fresh := r.freshFor(time.Now())
		r.mu.Unlock()
		wait := min(time.Until(deadline), fresh)
		if reply.Stale || reply.Full || len(reply.Topics) > 0 || wait <= 0 {
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

// freshFor returns how long the relay may still pass news on.
func (r *Relay) freshFor(now time.Time) time.Duration {
	least := relayWait
	for _, t := range r.topics {
		least = min(least, t.fresh-now.Sub(t.heard))
	}
	return least
}

func (r *Relay) answer(args NewsArgs) NewsReply {
	reply := NewsReply{Boot: r.boot, Seq: r.seq, Topics: map[string]TopicNews{}}
	if r.freshFor(time.Now()) <= 0 {
		reply.Stale = true
		return reply
	}
	reply.Full = args.Boot != r.boot
	for prefix, t := range r.topics {
		news := TopicNews{AsOf: t.asOf}
		for _, k := range t.keys {
			if reply.Full && !k.change.Deleted || !reply.Full && k.seq > args.Seq {
				news.Changes = append(news.Changes, k.change)
			}
		}
		if reply.Full || len(news.Changes) > 0 {
			reply.Topics[prefix] = news
		}
	}
	return reply
}
