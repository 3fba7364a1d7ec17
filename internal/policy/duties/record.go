// Package duties decides which entry holds each named duty of a deployment. A duty
// is control work, such as owning a trainer's feed, that only one entry does at a
// time.
//
// Rendezvous hashing over the live entries determines which entry should hold a
// duty. A record in the key-value service determines which entry holds it, with an
// epoch that only increases and serves as a fencing token. The record is never
// deleted, so an epoch is never reused. The holder measures its lease from the time
// before it sent the write and subtracts a margin; a challenger measures it from
// the time it first saw the revision of the record and adds a margin. Both use
// their own monotonic clocks, so neither a clock step nor a difference between
// clocks can make two leases overlap. Messages that a paused holder sends after it
// resumes are rejected by their receivers, which remember the highest epoch seen.
package duties

import "time"

// Record is the value stored in the key-value service for one duty.
type Record struct {
	Duty     string `json:"duty"`
	Instance string `json:"instance"`
	Boot     string `json:"boot"` // unique ID of the holder's process; a restarted process is another holder
	Address  string `json:"address"`
	Epoch    int64  `json:"epoch"`
	Released bool   `json:"released"` // released by the holder; the next one needn't wait for the lease to end
}

// Member is an entry that can hold duties.
type Member struct {
	ID      string
	Address string // ip:port for the internal protocol
	Domain  string // failure domain
	Alive   bool   // a recent contact proves that it is alive; being listed doesn't
}

// LeaseState is the state of this process's lease on a duty.
type LeaseState int

// The states of a lease.
const (
	// NotHolder means that another process or none holds the duty.
	NotHolder LeaseState = iota
	// Holder means that this process holds the duty and its lease is valid.
	Holder
	// Lapsed means that the lease expired without renewal and no successor is
	// known, for example during an outage of the key-value service. Only work
	// whose receivers check the epoch may continue.
	Lapsed
)

// Change is a change of the state of this process's lease on a duty.
type Change struct {
	Duty       string
	Epoch      int64
	LeaseState LeaseState
}

// KnownHolder is the last known holder of a duty.
type KnownHolder struct {
	Duty    string
	Address string // empty if no holder is known
	Epoch   int64
}

// ActionKind is the kind of call that the runtime has to make.
type ActionKind int

// The kinds of action.
const (
	Read  ActionKind = iota // read the record and pass it to Keeper.ReadDone
	Write                   // compare-and-swap the record and pass the outcome to Keeper.WriteDone
)

// Action is one call to the key-value service.
type Action struct {
	Kind     ActionKind
	Duty     string
	Sent     time.Time // when the Keeper returned the action
	Expected int64     // revision that a write expects; 0 if the record must not exist
	Record   Record
}

// Outcome is the outcome of a write.
type Outcome int

// The outcomes of a write.
const (
	Swapped       Outcome = iota // the write took effect
	Conflict                     // the record had another revision than expected
	NotApplied                   // the write certainly had no effect
	Indeterminate                // the write may have taken effect or may still do so
)

// Config holds the parameters of a Keeper.
type Config struct {
	TTL                 time.Duration // duration of a lease
	Margin              time.Duration // safety margin that the holder subtracts from the TTL and a challenger adds to it
	RenewInterval       time.Duration // interval between renewals
	PollInterval        time.Duration // interval between a candidate's reads of the record
	Jitter              time.Duration // random delay of a takeover after a lease has expired, and extra delay per rank
	Candidates          int           // entries that may take over each duty
	MaxTakeoversPerTick int           // limit of takeovers that one entry starts in a Tick
	HandBackAfter       time.Duration // how long a duty stays with its holder after another entry should hold it

	EarlyTakeoverPrefixes []string      // name prefixes of the duties whose receivers check epochs; see Probes
	ProbeInterval         time.Duration // interval between probes of their holders, and the timeout of a probe
	ProbeFailureThreshold int           // failed probes in a row after which such a duty is taken over
	EarlyTakeoverInterval time.Duration // minimum time between a change of the epoch and a takeover before the lease has ended
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
