// Package claims makes non-idempotent requests run at most once. A Partition is the
// state machine of one claim partition at the entry that owns it. It writes a claim
// to the key-value service before a request is dispatched, many claims in one
// compare-and-swap, and answers retries from its table of claims.
//
// Each partition has one head record, which every commit swaps, and sealed buckets
// that the head lists. A new owner raises the epoch in the head before it reads
// anything else. From then on every commit of its predecessor fails, regardless of
// how long the predecessor was paused. Since no request is dispatched before its
// claim is committed, only one owner can ever run it.
//
// A request is answered "not run" only if no endpoint has received it or will
// receive it. Either its claim is in the service, so that no other owner runs it,
// and the dispatch was refused; or the owner's lease is provably valid and its
// complete history doesn't contain the request.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// Key identifies a caller's request within its retry window. It is a digest of the
// caller's name and the idempotency key.
type Key [16]byte

// NewKey returns the key for a call ID, scoped by the caller, so that equal IDs of
// two callers never collide.
func NewKey(caller, callID string) Key {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(caller)))
	h.Write(length[:])
	h.Write([]byte(caller))
	h.Write([]byte(callID))
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// Partition returns the number of the key's partition, from 0 to count-1.
func (k Key) Partition(count int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(count))
}

// Config holds the parameters of a Partition.
type Config struct {
	Prefix         string        // prefix of the partition's keys in the key-value service
	Duty           string        // name of the duty that owns the partition
	Writer         string        // instance id of this process
	CommitInterval time.Duration // minimum time between two commits
	RetryDelay     time.Duration // delay before a failed call to the service is retried

	// ReplyMargin is the time before its deadline at which a call is answered at
	// the latest, so that the answer reaches the waiting entry in time.
	ReplyMargin time.Duration
	RetryAfter  time.Duration // retry delay sent with refusals
	// ResultTimeout is how long the result of an earlier owner's claim is awaited
	// after a takeover, or after a report that its request still runs, before a
	// retry is answered "unknown".
	ResultTimeout time.Duration

	SealBytes      int // size of the head's entries above which they are sealed in a bucket
	MaxBatchBytes  int // limit of the size of the entries added in one commit
	MaxAnswerBytes int // limit of the body of a stored answer; a longer one is not kept
	MaxWaiters     int // limit of waiting calls
}

// Defaults of Config and the default number of partitions. Two partitions that
// commit every 25 ms make at most 80 writes per second; see docs/design/claims.md.
const (
	DefaultPartitions     = 2
	DefaultCommitInterval = 25 * time.Millisecond
	DefaultRetryDelay     = 50 * time.Millisecond
	DefaultReplyMargin    = 20 * time.Millisecond
	DefaultRetryAfter     = time.Second
	DefaultResultTimeout  = 2 * time.Second
	DefaultSealBytes      = 128 << 10
	DefaultMaxBatchBytes  = 256 << 10
	DefaultMaxAnswerBytes = 2 << 10
	DefaultMaxWaiters     = 4096
)

// DefaultConfig returns the default parameters of a Partition.
func DefaultConfig(prefix, duty, writer string) Config {
	return Config{
		Prefix:         prefix,
		Duty:           duty,
		Writer:         writer,
		CommitInterval: DefaultCommitInterval,
		RetryDelay:     DefaultRetryDelay,
		ReplyMargin:    DefaultReplyMargin,
		RetryAfter:     DefaultRetryAfter,
		ResultTimeout:  DefaultResultTimeout,
		SealBytes:      DefaultSealBytes,
		MaxBatchBytes:  DefaultMaxBatchBytes,
		MaxAnswerBytes: DefaultMaxAnswerBytes,
		MaxWaiters:     DefaultMaxWaiters,
	}
}

// Event is an input of a Partition.
type Event interface{ event() }

// Acquired reports that this process holds the partition's duty. Epoch is higher than
// that of every earlier holder. The lease is provably valid until Until, which is
// measured from before its last renewal was sent, less a margin for the clocks. A
// zero Until proves nothing.
type Acquired struct {
	Epoch int64
	Until time.Time
}

// Renewed updates the time until which the lease is provably valid.
type Renewed struct{ Until time.Time }

// Lost reports that the duty is no longer held or may no longer be held.
type Lost struct{}

// Submitted reports a new call, which waits for its answer under the number Waiter.
type Submitted struct {
	Waiter      int64
	Key         Key
	Fingerprint uint64 // hash of service, method, path and body
	Deadline    time.Time
	Window      time.Duration // how long the caller may retry with the same key
}

// Settled reports the result of a dispatched request.
type Settled struct {
	Key    Key
	Answer wire.Answer
}

// ReadDone reports the result of a Read. Failed is set if the record is unknown.
type ReadDone struct {
	Record Record
	Failed bool
}

// WriteDone reports the result of a Write. If Failed is set, the write may or may not
// have taken effect; otherwise Current is the record after the call.
type WriteDone struct {
	ID      int64
	Swapped bool
	Current Record
	Failed  bool
}

// ResultsReceived reports the results of claims that an earlier owner made, as sent by
// that owner or by agents, and the claims whose requests it still runs.
type ResultsReceived struct {
	Results []wire.ClaimResult
	Running []wire.ClaimRef
}

// Tick triggers the work that is due by time; see Partition.NextWake.
type Tick struct{}

func (Acquired) event()        {}
func (Renewed) event()         {}
func (Lost) event()            {}
func (Submitted) event()       {}
func (Settled) event()         {}
func (ReadDone) event()        {}
func (WriteDone) event()       {}
func (ResultsReceived) event() {}
func (Tick) event()            {}

// Action is an output of a Partition, to be carried out by its host.
type Action interface{ action() }

// Record is a record of the key-value service. Its revision is 0 if it is absent.
type Record struct {
	Key      string
	Value    []byte
	Revision int64
}

// Read requests the record at Key. ReadDone reports the result.
type Read struct{ Key string }

// Write requests a compare-and-swap. WriteDone with the same ID reports the result.
type Write struct {
	ID       int64
	Key      string
	Expected int64
	Value    []byte
}

// Delete requests the deletion of an expired sealed bucket. Correctness doesn't depend
// on its outcome, which is not reported back.
type Delete struct {
	Key      string
	Revision int64
}

// Run requests the dispatch of the waiter's call. Settled reports the result.
type Run struct {
	Key      Key
	Waiter   int64
	Deadline time.Time
	Fence    wire.Fence
	Claim    wire.ClaimRef
}

// Reply answers the call of a waiter. Moved means that the call was not processed here
// and belongs to another owner; Answer is then empty. If LeaseUntil is set, the answer
// relies on the lease alone: if the holder of the duty can't promise not to release it
// before that time, the host must answer RefusalAsUnknown(Answer) instead.
type Reply struct {
	Waiter     int64
	Moved      bool
	Answer     wire.Answer
	LeaseUntil time.Time
}

// SendResult requests that the result of a claim is sent to the owner of the partition.
// The claim was made here before the duty was lost. NotBefore is the time before which a
// request that was not run must not be run.
type SendResult struct {
	Result    wire.ClaimResult
	NotBefore time.Time
}

// QueryAgents requests that the agents are queried for the results of claims that a lost
// owner left without one. ResultsReceived reports them. A result counts only if it is an
// agent's own record of the same claim with the complete answer. A missing answer proves
// nothing.
type QueryAgents struct {
	Refs    []wire.ClaimRef
	Wait    time.Duration
	MaxBody int
}

// Fault reports a record that can't be decoded. The partition doesn't serve until a
// read returns a record that can be.
type Fault struct{ Err error }

func (Read) action()        {}
func (Write) action()       {}
func (Delete) action()      {}
func (Run) action()         {}
func (Reply) action()       {}
func (SendResult) action()  {}
func (QueryAgents) action() {}
func (Fault) action()       {}
