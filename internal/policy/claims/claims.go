// Package claims decides how non-idempotent requests run at most once. A
// Partition is the state machine of one claim partition at the entry that owns
// it: it writes a claim to the key-value service before a request is
// dispatched, many claims in one compare-and-swap, and answers repeats from
// what it knows.
//
// Each partition has one head record, which every commit swaps, and sealed
// buckets that the head lists. A successor raises the epoch in the head before
// it reads anything else. From then on every commit of its predecessor fails,
// however long that one was paused, and since nothing is dispatched before its
// claim is committed, only one party can ever run a request.
//
// "Not run" is said only where no endpoint can have seen the request nor will:
// either the claim stands in the service, so that nobody else runs it, and the
// dispatch was refused; or the owner's lease provably holds and its complete
// history does not know the request.
package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"siskinloom.example/siskinloom/internal/wire"
)

// Key identifies a caller's request within its retry window: a digest of the
// caller's name and its idempotency key.
type Key [16]byte

// NewKey returns the key of a call id, scoped by its caller so that two
// callers with the same id never meet.
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

// Partition returns the partition of the key, 0 to count-1.
func (k Key) Partition(count int) int {
	return int(binary.BigEndian.Uint64(k[:8]) % uint64(count))
}

// Config shapes a partition.
type Config struct {
	Prefix         string        // of its keys in the service
	Duty           string        // name of the duty that owns the partition
	Writer         string        // instance id of this process
	CommitInterval time.Duration // least time between two commits
	RetryDelay     time.Duration // before a failed call to the service is repeated

	// ReplyMargin is how long before its deadline a call is answered at the
	// latest, so that the answer reaches the entry that waits for it.
	ReplyMargin time.Duration
	RetryAfter  time.Duration // told with refusals
	// ResultTimeout is how long after a take-over, or after the word that a claim
	// still runs, its result is waited for before a repeat is told "unknown".
	ResultTimeout time.Duration

	SealBytes      int // size of the head's records at which they are sealed
	MaxBatchBytes  int // of records added in one commit
	MaxAnswerBytes int // body of a stored answer; a longer one is not kept
	MaxWaiters     int // calls waiting at most
}

// Defaults of a partition. Two partitions that commit every 25 ms stay at 80
// writes a second; see docs/design/claims.md.
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

// DefaultConfig returns the defaults for a partition.
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

// Event is what happened to a partition.
type Event interface{ event() }

// Acquired tells that this process holds the partition's duty. Epoch is higher
// than that of every earlier holder. Until that time the lease provably holds:
// counted from before its last renewal was sent, less a margin for the clocks.
// A zero Until proves nothing.
type Acquired struct {
	Epoch int64
	Until time.Time
}

// Renewed moves the time until which the lease provably holds.
type Renewed struct{ Until time.Time }

// Lost tells that the duty is no longer held, or may not be.
type Lost struct{}

// Submitted is a call that waits for its answer under the number Waiter.
type Submitted struct {
	Waiter      int64
	Key         Key
	Fingerprint uint64 // of service, method, path and body
	Deadline    time.Time
	Window      time.Duration // how long the caller may repeat the key
}

// Settled is what became of a dispatched request.
type Settled struct {
	Key    Key
	Answer wire.Answer
}

// ReadDone answers a Read. Failed means that nothing was learned.
type ReadDone struct {
	Record Record
	Failed bool
}

// WriteDone answers a Write. With Failed set the write may or may not have
// taken effect; otherwise Current is the record after the call.
type WriteDone struct {
	ID      int64
	Swapped bool
	Current Record
	Failed  bool
}

// ResultsReceived is what an earlier owner tells of claims that it made: their results, and
// those that still run there.
type ResultsReceived struct {
	Results []wire.ClaimResult
	Running []wire.ClaimRef
}

// Tick lets time-driven work happen; due at NextWake.
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

// Action is what the host of a partition must do next.
type Action interface{ action() }

// Record is a key of the service with its value; revision 0 means absent.
type Record struct {
	Key      string
	Value    []byte
	Revision int64
}

// Read asks for the record at Key; ReadDone answers it.
type Read struct{ Key string }

// Write asks for a compare-and-swap; WriteDone with the same ID answers it.
type Write struct {
	ID       int64
	Key      string
	Expected int64
	Value    []byte
}

// Delete asks for the removal of a sealed bucket past its window. Its outcome
// does not matter to correctness and is not told back.
type Delete struct {
	Key      string
	Revision int64
}

// Run asks for the dispatch of the call of the waiter; Settled answers it.
type Run struct {
	Key      Key
	Waiter   int64
	Deadline time.Time
	Fence    wire.Fence
	Claim    wire.ClaimRef
}

// Reply ends a waiter. Moved means that nothing was done here and the call
// belongs to another owner; Answer is then empty. A LeaseUntil means that the
// answer rests on the lease alone: unless the holder of the duty can promise
// not to give it up before that time, the host gives Unproven(Answer) instead.
type Reply struct {
	Waiter     int64
	Moved      bool
	Answer     wire.Answer
	LeaseUntil time.Time
}

// SendResult asks that the owner of the partition is told what became of a claim that
// was made here before the duty was lost. Hold is when a NotRun may run again.
type SendResult struct {
	Result wire.ClaimResult
	Hold   time.Time
}

// QueryAgents asks for the answers of claims that a lost owner left without a result,
// to be told as Told. Only an agent's own record of the very claim with its
// whole answer counts; no answer proves nothing.
type QueryAgents struct {
	Refs    []wire.ClaimRef
	Wait    time.Duration
	MaxBody int
}

// Fault reports a record that cannot be read; the partition does not serve.
type Fault struct{ Err error }

func (Read) action()        {}
func (Write) action()       {}
func (Delete) action()      {}
func (Run) action()         {}
func (Reply) action()       {}
func (SendResult) action()  {}
func (QueryAgents) action() {}
func (Fault) action()       {}
