package entry

import (
	"time"

	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/wire"
)

// Duties returns the holders of named duties: "claims/<n>", "feed/<name>" or
// "weights/<service>".
type Duties interface {
	// KnownHolder returns the inner address and the epoch of the duty's last known
	// holder, and whether this process may act as the holder at this moment. An
	// empty address means that no holder is known. A process may be paused between
	// this check and the action that depends on it, so the receiver of the action
	// must check the epoch.
	KnownHolder(name string) (instanceAddr string, epoch int64, mine bool)
}

// DutyLeases extends Duties with the state of this process's own leases.
type DutyLeases interface {
	Duties
	// LeaseState returns the state of this process's lease on the duty. Lapsed
	// means that the lease expired without renewal, as in an outage of the
	// platform, and no successor is known.
	LeaseState(name string) duties.LeaseState
	// OnChange registers fn for the lease-state changes of the duties whose name
	// starts with prefix. The calls are made in order and one at a time. The
	// states at registration are reported at once. fn must not block.
	OnChange(prefix string, fn func(duties.Change))
}

// LeaseProver extends DutyLeases for work whose answers depend on the lease
// itself.
type LeaseProver interface {
	DutyLeases
	// HeldUntil returns the epoch under which this process holds the duty and the
	// expiry of its lease, or zero values if this process does not hold it.
	HeldUntil(name string) (epoch int64, until time.Time)
	// Promise reports whether this process holds the duty under epoch and no other
	// process can hold it before until. If so, the duty is not released before
	// then.
	Promise(name string, epoch int64, until time.Time) bool
	// HoldersReported updates the known holders with those that another entry
	// reports.
	HoldersReported(holders []wire.Holder)
}
