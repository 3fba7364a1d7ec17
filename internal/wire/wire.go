// Package wire defines the protocol between siskinloom's own processes, the inner
// protocol: the messages that net/rpc sends from entries to agents and between
// entries. They are encoded with encoding/gob, so field names are part of the
// protocol.
//
// Every message contains the ID of its request. If an answer is lost, late or out
// of order, the sender asks for the request's outcome by that ID on a new
// connection (see SettleRequest), so an answer cannot be attributed to another
// request. Streams are read by offset for the same reason: a repeated or reordered
// read returns the same tokens.
package wire

import (
	"strconv"
	"time"
)

// Service names of net/rpc.
const (
	AgentService  = "Agent"
	EntryService  = "Entry"
	ClaimService  = "Claim"  // served by entries that own claim partitions
	PoisonService = "Poison" // served by entries, to exchange which requests crash endpoints
)

// Outcome is the outcome of a request.
type Outcome int

// The outcomes. A process may return NotRun only if it knows that no endpoint
// ever received the request.
const (
	Unknown Outcome = iota
	Answered
	NotRun
	Running // the request still runs, or the engine is not ready yet; only in replies to a SettleRequest or an Order
)

// String returns the outcome in the form that callers see.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Running:
		return "running"
	default:
		return "unknown"
	}
}

// Reason is why a request was refused or failed. It is part of the answer.
type Reason string

// Reasons for outcomes other than Answered.
const (
	ReasonNone        Reason = ""
	ReasonQueueFull   Reason = "queue-full"
	ReasonOverloaded  Reason = "overloaded" // callers hold too much of the entry
	ReasonDeadline    Reason = "deadline"
	ReasonLeaving     Reason = "leaving"
	ReasonQuarantined Reason = "quarantined"
	ReasonRateLimited Reason = "rate-limited"
	ReasonStaleEpoch  Reason = "stale-epoch"
	ReasonNoEndpoint  Reason = "no-endpoint"
	ReasonCrashed     Reason = "endpoint-crashed"
	ReasonCancelled   Reason = "cancelled"
	ReasonPlatform    Reason = "platform-unavailable"
	ReasonConnection  Reason = "connection-lost"
	ReasonDuplicate   Reason = "duplicate"
	ReasonNotReady    Reason = "not-ready"
	ReasonBadRequest  Reason = "bad-request"
	ReasonOldVersion  Reason = "old-version" // an order names an older version than the active one
	ReasonLoadFailed  Reason = "load-failed" // the endpoint could not load the version
)

// Reasons of claims of non-idempotent requests.
const (
	ReasonConflict    Reason = "key-reused"        // the idempotency key was used with another body before
	ReasonAnswerLost  Reason = "answer-not-kept"   // the request ran, but its answer was too large to store
	ReasonUnsettled   Reason = "owner-replaced"    // the request may have run under a former owner of its claim
	ReasonOwnerAbsent Reason = "owner-unreachable" // the entry that owns its claim did not answer
)

// Principal is on whose behalf a request runs. Fair queueing is between principals.
type Principal struct {
	Business string
	Agency   string
	Caller   string
}

// Fence is a fencing token: it orders the actions of successive holders of a duty.
// A receiver stores the highest epoch that it has seen for a duty and refuses
// lower ones.
type Fence struct {
	Duty  string
	Epoch int64
}

// Request is one attempt to run a caller's request at one endpoint.
type Request struct {
	ID          string // of the attempt; unique across all entries
	CallID      string // of the caller's request; the same for all its attempts
	Deployment  string
	Service     string
	Class       string
	Principal   Principal
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Remaining   time.Duration // time until the deadline at the time of sending, so that clocks need not agree
	Priority    int
	Idempotent  bool
	Keyed       bool // CallID is the caller's idempotency key, so a retry by the caller has it too
	Stream      bool
	Rollout     bool     // can be preempted by callers' requests
	Cost        float64  // estimated engine time in seconds, for fair queueing
	Fingerprint uint64   // hash of service, method, path and body
	Suspect     bool     // must run alone, as it may crash its endpoint
	Fence       Fence    // fencing token of the claim; zero for idempotent requests
	Claim       ClaimRef // claim under which it runs; zero for idempotent requests
	Resume      Resume
	Target      Target
	Prefer      string // ID of the agent that should run it; if that cannot, another one may
}

// Target pins a request to one incarnation (run) of an agent process. An agent that
// restarted does not know what its predecessor ran, and an agent forgets finished
// requests after some time. Without Target it could in both cases report a request
// that ran as "not run". Both fields are copied from the last heartbeat reply that
// the agent sent before the request was sent.
type Target struct {
	Incarnation string
	Uptime      time.Duration // time since the agent started, by its own clock; a lower bound of the time at which the request was sent
}

// Resume is the part of a stream that its caller already has.
type Resume struct {
	Tokens []string // text of each token that was already delivered
	Cache  string   // ID of the imported KV cache to continue from; if empty or unknown to the engine, the engine recomputes the cache
}

// Load is an endpoint's load as its agent sees it. It is part of every reply.
type Load struct {
	Running       int
	Queued        int
	Rollouts      int // how many of Running and Queued are rollouts
	Slots         int
	QueuedSeconds float64 // estimated time to serve the queued requests
	WeightVersion int64
	Leaving       bool
	Down          bool // the endpoint does not respond
}

// Answer is the final result of a request.
type Answer struct {
	ID          string
	Outcome     Outcome
	Reason      Reason
	Status      int // HTTP status of the endpoint; 0 if it gave none
	ContentType string
	Body        []byte
	Detail      string
	RetryAfter  time.Duration // delay after which the caller may retry; 0: a retry is pointless
	Segments    []Segment
	Load        Load
	Batch       int   // number of different requests on the endpoint when it crashed; only with ReasonCrashed
	Crash       int64 // identifies that crash among the endpoint's crashes
}

// Segment is a range of a stream's tokens, From (inclusive) to To (exclusive), with
// the weight version that generated them.
type Segment struct {
	Version int64
	From    int
	To      int
}

// Started is the reply to the start of a stream. If Accepted is false, Answer is the
// request's final answer.
type Started struct {
	Accepted bool
	Answer   Answer
}

// ReadRequest asks for the tokens of a stream, starting at an offset.
type ReadRequest struct {
	ID     string
	Offset int
	Wait   time.Duration // how long the agent may hold the call while there are no tokens
	Gather time.Duration // how long it may hold the call after the first token, to return more at once
}

// ReadReply contains tokens starting at the requested offset. Done is true once the
// stream has ended; End is then its final answer, without a body.
type ReadReply struct {
	ID       string
	Offset   int
	Tokens   []string
	Versions []int64 // weight version of each token, as the engine reported it
	Done     bool
	End      Answer
}

// CancelRequest cancels a request whose answer nobody waits for any more.
type CancelRequest struct{ ID string }

// SettleRequest asks for the outcome of a request, on another connection than the
// one on which it was sent. An agent that has not seen the request refuses it from
// then on, so that NotRun remains true.
type SettleRequest struct {
	ID     string
	Target Target        // Target of the request
	Wait   time.Duration // how long to wait for a request that is still running
}

// HeartbeatRequest is the heartbeat of an entry to an agent or another entry.
type HeartbeatRequest struct {
	From       string // instance ID
	Domain     string // failure domain
	Revisions  []Revision
	Fences     []Fence
	Quarantine []QuarantineEntry
	Leaving    bool
	// HoldersHash is the hash of the duty holders that the sender knows. It is sent
	// to entries only.
	HoldersHash uint64
	// ListedLeaving is true if the platform's list of instances marks the receiver
	// as leaving. The receiver then refuses new requests and reports this to every
	// entry.
	ListedLeaving bool
	// Peers is the number of agents of the receiver's service among which the
	// sender distributes its requests. Callers' rate limits are divided by it.
	Peers int
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	From       string
	Target     Target // of the replying process, for the requests that are sent to it next
	Domain     string
	Service    string
	Load       Load
	EngineRole string // as the engine last reported it; agents only
	Revisions  []Revision
	Fences     []Fence
	Quarantine []QuarantineEntry
	Suspects   []Suspicion
	Ready      bool
	Holders    []Holder // duty holders that the sender knows, if the request's HoldersHash differs; entries only
}

// Holder is the holder of a duty as last known to the sender. An empty address
// means that the holder released the duty.
type Holder struct {
	Duty    string
	Address string // inner address, ip:port
	Epoch   int64
}

// DutyOffer offers an entry a duty that the sender held under Epoch and has released.
// The reply is the new holder.
type DutyOffer struct {
	Duty  string
	Epoch int64
}

// HoldsRequest asks an entry whether it holds a duty under an epoch.
type HoldsRequest struct {
	Duty  string
	Epoch int64
}

// Revision is the newest configuration revision of a deployment that the sender
// has, with what the receiver needs to judge how current it is.
type Revision struct {
	Deployment   string
	Revision     int64
	ConfirmedAgo time.Duration // time since a read of the platform by the sender, or by the peer that it got the revision from, last showed no newer one
	QuorumFor    time.Duration // how long the sender still counts as in contact with a quorum if it gets no further message; entries only
	Boot         uint64        // ID of the sender's run; differs for each run
	Clock        time.Duration // time since that run began, by the sender's clock
	Whole        bool          // the sender needs a snapshot, as the missed changes did not apply
}

// Suspicion records that an endpoint crashed while it ran a request.
type Suspicion struct {
	Fingerprint uint64
	Service     string
	Endpoint    string
	Batch       int // number of different requests that ran at the time, including this one; 0 if nobody knows
	UnixMilli   int64
	Crash       int64 // identifies the crash among the endpoint's crashes; 0 if unknown
	Cleared     bool  // an endpoint has answered the same request
}

// Placement reports that a copy of a request that has never been answered started
// at an endpoint, or ended there.
type Placement struct {
	Service     string
	Fingerprint uint64
	Endpoint    string
	Ended       bool
	Cleared     bool // the request was answered
	Relayed     bool // forwarded to every entry by the entry that the request's fingerprint maps to
}

// QuarantineEntry is the fingerprint of a request that no endpoint may run.
type QuarantineEntry struct {
	Fingerprint uint64
	Service     string
	Endpoints   int
	ExpiresUnix int64 // Unix milliseconds
	Released    bool  // an operator released the request, so it may run again
}

// PoisonExchange exchanges what two entries know about requests that crash their
// endpoints; it is both request and reply. Service and Fingerprint identify the
// suspect that From is about to run. Busy, in the reply, means that From must not run
// it yet.
type PoisonExchange struct {
	From        string
	Service     string
	Fingerprint uint64
	Suspects    []Suspicion
	Quarantine  []QuarantineEntry
	Busy        bool
}

// ConfigRequest asks a peer for a configuration newer than revision Have.
type ConfigRequest struct {
	Deployment string
	Have       int64
	Whole      bool // send a snapshot, as the missed changes that were sent did not apply
}

// ConfigReply contains the changes after the requested revision, in order, or a
// snapshot of the newest revision.
type ConfigReply struct {
	Revision int64
	Snapshot []byte // JSON of revision and declarations; empty if Missed is set
	Missed   []ConfigDelta
	Digest   []byte // SHA-256 of the declarations' JSON after the changes in Missed are applied
}

// ConfigDelta is one change of the declarations' JSON: Middle replaces everything
// between the first Head and the last Tail bytes.
type ConfigDelta struct {
	From, To   int64 // revisions
	Head, Tail int   // number of unchanged bytes at the start and at the end
	Middle     []byte
}

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	OrderPrepare OrderKind = "prepare" // fetch a version's weights ahead of the swap
	OrderSwap    OrderKind = "swap"
	OrderAdapter OrderKind = "adapter"
	OrderRole    OrderKind = "role"
	OrderStatus  OrderKind = "status" // query the active version and the Target for the next order
)

// Order is an instruction for an endpoint that its agent executes.
type Order struct {
	ID        string
	Fence     Fence
	Sequence  int64 // number of the order among the owner's orders under its epoch; a status order cancels the loads ordered before it
	Kind      OrderKind
	Model     string
	Version   int64
	Adapter   string
	Remaining time.Duration // the order is invalid after this time
	Sources   []string      // addresses of agents to fetch from: chunk i from element i modulo their number; an empty element is the weight store
	Role      string        // role orders only
	Target    Target        // swap, adapter and role orders: from the last status reply; its age bounds how late the order may arrive
}

// OrderReply is the result of an order.
type OrderReply struct {
	Outcome Outcome
	Reason  Reason
	Version int64 // active at the endpoint after the order
	Role    string
	Detail  string
	Target  Target // set in the reply to a status order
}

// ChunkRequest asks an agent for a chunk of weights.
type ChunkRequest struct {
	Model   string
	Version int64
	Index   int
}

// ChunkReply contains the chunk. Found is false if the agent does not have it.
type ChunkReply struct {
	Found bool
	Data  []byte
}

// ClaimDuty returns the name of the duty of owning a claim partition.
func ClaimDuty(partition int) string {
	return ClaimDutyPrefix + strconv.Itoa(partition)
}

// ClaimDutyPrefix is the prefix of the names of all claim duties.
const ClaimDutyPrefix = "claims/"

// ClaimRequest forwards a keyed non-idempotent call to the entry that owns its
// claim partition. It is safe to repeat: the owner waits for the running call or
// returns its stored answer.
type ClaimRequest struct {
	Call        Request
	RetryWindow time.Duration
}

// ClaimRef identifies one claim of a key. It is unique because an epoch has a single
// holder, which gives each claim of a key another expiry time.
type ClaimRef struct {
	Key     [16]byte
	Epoch   int64
	Expires int64 // Unix milliseconds
}

// ClaimResult is the outcome of a claim, sent to the partition's owner by the entry
// that claimed the key. Unknown means that the sender will never learn more.
type ClaimResult struct {
	Claim       ClaimRef
	Outcome     Outcome
	Hold        time.Duration // with NotRun: time during which the request may not run
	Kept        bool          // with Answered: the answer was stored, so the fields below are complete
	Status      int
	ContentType string
	Body        []byte
}

// ClaimsAsked queries an agent for the answers of claimed requests whose owner was
// lost. The reply is a ClaimsTold with only those that were answered there.
type ClaimsAsked struct {
	Duty    string
	Refs    []ClaimRef
	Wait    time.Duration // how long to wait for requests that still run
	MaxBody int           // limit of bytes of a body; longer ones are left out
}

// ClaimsTold sends results to the owner of a partition and names the claims that
// still run at the sender. It is idempotent.
type ClaimsTold struct {
	Duty    string
	Results []ClaimResult
	Running []ClaimRef
}

// ClaimsToldReply is the reply to ClaimsTold. If Taken is false, the entry does not
// own the partition; Holder is then the owner that it knows, if any.
type ClaimsToldReply struct {
	Taken  bool
	Holder Holder
}

// ClaimReply is the reply to a ClaimRequest. If Owner is false, the entry does not
// own the partition, or not yet, and has not acted on the request; Holder is then
// the owner that it knows, if any.
type ClaimReply struct {
	Owner  bool
	Answer Answer
	Holder Holder
}
