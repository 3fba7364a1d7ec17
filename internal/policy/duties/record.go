// Package duties decides who holds the named duties of a deployment: control
// work, such as owning a trainer's feed, that one entry at a time does.
//
// Rendezvous hashing over the live entries says who should hold a duty; a
// record in the key-value service says who does, with an epoch that only grows.
// The record is never deleted, so an epoch is never used twice. A holder counts
// its lease from before it sent the write, less a margin; a challenger counts
// from when it first saw the record's revision, plus a margin. Both use their
// own monotonic clocks, so neither a clock step nor a disagreement between
// clocks can make two leases overlap. What a paused holder still sends after it
// wakes is refused by its receivers, which keep the highest epoch seen.
package duties

import "time"

// Record is the value kept for one duty.
type Record struct {
	Duty     string `json:"duty"`
	Instance string `json:"instance"`
	Boot     string `json:"boot"` // of the holder's process; a restart is another holder
	Address  string `json:"address"`
	Epoch    int64  `json:"epoch"`
	Released bool   `json:"released"` // given up; the next holder need not wait
}

// Member is an entry that can hold duties.
type Member struct {
	ID      string
	Address string // ip:port of the inner protocol
	Domain  string // failure domain
	Alive   bool   // it gave a sign of life lately; the list alone is no proof
}

// LeaseState is how a process stands to a duty.
type LeaseState int

// The standings.
const (
	// NotHolder: another process holds the duty, or none.
	NotHolder LeaseState = iota
	// Holder: the lease runs.
	Holder
	// Lapsed: the lease ran out unrenewed and no successor is known, as in an
	// outage of the key-value service. Only work whose receivers check the epoch
	// may go on.
	Lapsed
)

// Change is a new standing of this process to a duty.
type Change struct {
	Duty       string
	Epoch      int64
	LeaseState LeaseState
}

// KnownHolder is the holder of a duty as last known.
type KnownHolder struct {
	Duty    string
	Address string // empty: none is known
	Epoch   int64
}

// ActionKind is what the runtime has to do.
type ActionKind int

// The kinds of action.
const (
	Read  ActionKind = iota // get the record and pass it to Observed
	Write                   // compare-and-swap and pass the result to Written
)

// Action is one call to the key-value service.
type Action struct {
	Kind     ActionKind
	Duty     string
	Sent     time.Time // when the policy decided on it
	Expected int64     // revision that a write expects
	Record   Record
}

// Outcome is what became of a write.
type Outcome int

// The outcomes of a write.
const (
	Swapped       Outcome = iota // it took effect
	Conflict                     // another write was first
	NotApplied                   // it certainly had no effect
	Indeterminate                // it may have taken effect or may still do so
)

// Config holds the policy's parameters.
type Config struct {
	TTL                 time.Duration // of a lease
	Margin              time.Duration // holder and challenger each keep it
	RenewInterval       time.Duration // between renewals
	PollInterval        time.Duration // between a candidate's reads
	Jitter              time.Duration // spread of take-overs after a lapse
	Candidates          int           // entries that stand ready for each duty
	MaxTakeoversPerTick int           // take-overs that one entry begins at a time
	HandBackAfter       time.Duration // before a duty goes back to the entry it should be on

	EarlyTakeoverPrefixes []string      // of duties whose receivers check epochs; see Probes
	ProbeInterval         time.Duration // between questions to their holders, and the longest wait for an answer
	ProbeFailureThreshold int           // questions in vain before such a duty is taken
	EarlyTakeoverInterval time.Duration // between two changes of holder without a lapse
}

// DefaultConfig returns the parameters that siskinloomd uses.
func DefaultConfig() Config {
	const ttl = 5 * time.Second
	return Config{
		TTL:                   ttl,
		Margin:                ttl / 10,
		RenewInterval:         ttl / 3,
		PollInterval:          ttl / 3,
		Jitter:                ttl / 5,
		Candidates:            3,
		MaxTakeoversPerTick:   4,
		HandBackAfter:         3 * ttl,
		ProbeInterval:         400 * time.Millisecond,
		ProbeFailureThreshold: 3,
		EarlyTakeoverInterval: 2 * ttl,
	}
}
