package entry

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/wire"
)

// Duties tells who holds a named duty: "claims/<n>", "feed/<name>" or
// "weights/<service>".
type Duties interface {
	// KnownHolder returns the inner address and the epoch of the duty's holder, as
	// last known, and whether this process may act as the holder at this moment.
	// An empty address means that no holder is known. A process may be paused
	// between the question and its act, so whoever receives the act checks the
	// epoch.
	KnownHolder(name string) (instanceAddr string, epoch int64, mine bool)
}

// DutyLeases is Duties with what a holder's own work needs.
type DutyLeases interface {
	Duties
	// LeaseState returns how this process stands to the duty now. Lapsed means
	// that the lease ran out unrenewed, as in an outage of the platform, and no
	// successor is known.
	LeaseState(name string) duties.LeaseState
	// OnChange has fn called with each change of standing to a duty whose name
	// starts with prefix, in order, one at a time. A standing that stands
	// already is told at once. fn must not block.
	OnChange(prefix string, fn func(duties.Change))
}

// LeaseProver is DutyHolders for work whose answers rest on the lease itself.
type LeaseProver interface {
	DutyLeases
	// HeldUntil returns the epoch under which this process holds the duty and
	// the time until which its lease runs; zero if it does not hold it.
	HeldUntil(name string) (epoch int64, until time.Time)
	// Promise tells whether no other process can hold the duty before until,
	// given that this one holds it under epoch, and keeps it from being released
	// before then.
	Promise(name string, epoch int64, until time.Time) bool
	// Heard takes in holders that another entry knows.
	Heard(holders []wire.Holder)
}
