package cluster

import (
	"bytes"
	"context"
	"encoding/gob"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
)

const (
	// renewFraction is the fraction of a lease's TTL between renewals. Two renewals may
	// be lost before the lease expires.
	renewFraction = 0.3
	// certainFraction is the fraction of a lease's TTL after the last confirmation for
	// which the lease certainly has not expired, despite clock drift.
	certainFraction = 0.9
	// registerRetryDelay is the delay after a failed registration.
	registerRetryDelay = 300 * time.Millisecond
)

// Registrar keeps this process registered under a lease and applies the registrations
// of all processes to Members.
type Registrar struct {
	Store   kv.TransactionalStore
	Self    Member
	TTL     time.Duration // of the lease, unless CurrentTTL is set
	Members *Members
	Log     *logrus.Logger
	// CurrentTTL returns the TTL that the lease should have now; it may be nil. The process
	// registers under a new lease when it changes.
	CurrentTTL func() time.Duration
	// AllowLine reports whether a change of the given kind may be logged in a line of its
	// own; nil means always.
	AllowLine func(kind string) bool
	// MemberGone is called when the registration of an owner of jobs, or of this process,
	// ends. It may be nil.
	MemberGone func(name string)
	// StoreRecentlyDown reports whether the store was down until a moment ago; nil
	// means never.
	StoreRecentlyDown func() bool
	// DutyVacant is called when the key of a duty is deleted; it may be nil.
	DutyVacant func(key string)
	// Crashes follows the reports of crashes; it may be nil.
	Crashes CrashReports
	// Needed reports whether an unregistered process registers now and, if not, after what
	// time to ask again; nil means always.
	Needed func() (needed bool, retryAfter time.Duration)

	mu            sync.Mutex
	lease         kv.LeaseID
	leaseTTL      time.Duration
	leaving       bool
	confirmedAt   time.Time     // start of the last call in which the store confirmed the lease
	listed        bool          // whether the last known state of the list includes this process
	reregister    chan struct{} // requests a new registration
	firstListDone bool          // whether a listing was applied; only the topic's callbacks use it
}

// CrashReports follows the records under CrashPrefix.
type CrashReports interface {
	Changed(kv.Record)
	Deleted(key string)
}

// NewRegistrar returns a Registrar that has not registered the process yet.
func NewRegistrar(store kv.TransactionalStore, self Member, ttl time.Duration, members *Members, log *logrus.Logger) *Registrar {
	return &Registrar{Store: store, Self: self, TTL: ttl, Members: members, Log: log, reregister: make(chan struct{}, 1)}
}

// Topic returns the topic that keeps Members up to date.
func (r *Registrar) Topic() *Topic {
	return &Topic{Prefix: prefixLive, Changed: r.changed, Deleted: r.deleted, Listed: r.listDone, Urgent: isCrashReport}
}

func isCrashReport(key string) bool { return strings.HasPrefix(key, CrashPrefix) }

// listDone is called after each listing. The first one logs a summary; a log line for
// each of hundreds of processes at each listing would hide everything else.
func (r *Registrar) listDone() {
	if r.firstListDone {
		return
	}
	r.firstListDone = true
	workers := 0
	live := r.Members.Live()
	for _, m := range live {
		if m.Worker {
			workers++
		}
	}
	events.MembersSynced.Log(r.Log, logrus.Fields{"members": len(live), "workers": workers})
}

// changed applies a new or changed key.
func (r *Registrar) changed(record kv.Record) {
	if strings.HasPrefix(record.Key, DutyPrefix) {
		r.Members.setHolder(record.Key, string(record.Value))
		return
	}
	if strings.HasPrefix(record.Key, CrashPrefix) && r.Crashes != nil {
		r.Crashes.Changed(record)
		return
	}
	if !strings.HasPrefix(record.Key, prefixMembers) {
		return
	}
	var member Member
	if err := gob.NewDecoder(bytes.NewReader(record.Value)).Decode(&member); err != nil {
		events.FleetRecordUnreadable.Log(r.Log, logrus.Fields{"key": record.Key, "error": err.Error()})
		return
	}
	r.Members.put(member)
	if member.Name == r.Self.Name {
		r.setListed(true)
	}
	if !r.firstListDone || !r.allowLine("processes listed") {
		return
	}
	events.MemberListed.Log(r.Log, logrus.Fields{"member": member.Name, "leaving": member.Leaving, "revision": record.Revision})
}

// deleted applies the deletion of a key. If the store was recently down, the member
// stays listed for lingerDuration.
func (r *Registrar) deleted(key string, revision int64) {
	if strings.HasPrefix(key, DutyPrefix) {
		if r.DutyVacant != nil {
			r.DutyVacant(key)
		}
		return
	}
	if strings.HasPrefix(key, CrashPrefix) {
		if r.Crashes != nil {
			r.Crashes.Deleted(key)
		}
		return
	}
	name := strings.TrimPrefix(key, prefixMembers)
	storeWasDown := r.StoreRecentlyDown != nil && r.StoreRecentlyDown()
	if r.allowLine("processes gone") {
		events.MemberGone.Log(r.Log, logrus.Fields{"member": name, "revision": revision, "lingers": storeWasDown})
	}
	ownedJobs := r.Members.mayOwnJobs(name)
	if storeWasDown {
		r.Members.linger(name)
	} else {
		r.Members.remove(name)
	}
	if name == r.Self.Name {
		r.setListed(false)
		events.RegistrationLost.Log(r.Log, logrus.Fields{"member": name})
		r.requestRegistration()
	}
	if r.MemberGone != nil && (ownedJobs || name == r.Self.Name) {
		r.MemberGone(name)
	}
}

// allowLine reports whether a change may be logged in a line of its own.
func (r *Registrar) allowLine(kind string) bool { return r.AllowLine == nil || r.AllowLine(kind) }

// requestRegistration makes Run register the process again.
func (r *Registrar) requestRegistration() {
	select {
	case r.reregister <- struct{}{}:
	default:
	}
}

// Run keeps the process registered until ctx is done. It renews the lease, and
// registers the process again if the lease or the key was lost.
func (r *Registrar) Run(ctx context.Context) error {
	wait := time.Duration(0)
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-r.reregister:
			timer.Stop()
			r.forgetLease()
		case <-timer.C:
		}
		wait = r.step(ctx)
	}
}

// Refresh registers the process again if its lease should have another TTL.
func (r *Registrar) Refresh() {
	ttl := r.currentTTL()
	r.mu.Lock()
	changed := r.lease != 0 && r.leaseTTL != ttl
	r.mu.Unlock()
	if changed {
		r.requestRegistration()
	}
}

func (r *Registrar) currentTTL() time.Duration {
	if r.CurrentTTL == nil {
		return r.TTL
	}
	return r.CurrentTTL()
}

// forgetLease makes the next step register the process under a new lease.
func (r *Registrar) forgetLease() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = 0
}

// step registers the process or renews its lease, and returns the delay before the next
// step.
func (r *Registrar) step(ctx context.Context) time.Duration {
	ttl := r.currentTTL()
	r.mu.Lock()
	lease, leaseTTL, leaving := r.lease, r.leaseTTL, r.leaving
	r.mu.Unlock()
	renew := time.Duration(renewFraction * float64(ttl))
	if lease == 0 || ttl != leaseTTL {
		if lease == 0 && r.Needed != nil {
			if needed, retryAfter := r.Needed(); !needed {
				return retryAfter
			}
		}
		if r.register(ctx, ttl, leaving) != nil {
			return registerRetryDelay
		}
		return renew
	}
	began := time.Now()
	err := r.Store.KeepLease(ctx, lease)
	if errors.Is(err, kv.ErrLeaseNotFound) {
		r.forgetLease()
		return 0
	}
	if err == nil {
		r.setConfirmed(began)
	}
	return max(0, renew-time.Since(began)) // a slow call must not delay the next renewal
}

// setConfirmed records that the store confirmed the lease in a call that was sent at
// the given time.
func (r *Registrar) setConfirmed(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = at
}

// CertainlyRegistered reports whether this process's registration certainly has not
// expired. Other processes move its jobs only after it expires.
func (r *Registrar) CertainlyRegistered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed && time.Since(r.confirmedAt) < time.Duration(certainFraction*float64(r.leaseTTL))
}

func (r *Registrar) setListed(listed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = listed
}

// register registers the process under a new lease.
func (r *Registrar) register(ctx context.Context, ttl time.Duration, leaving bool) error {
	began := time.Now()
	lease, _, err := r.Store.GrantLease(ctx, ttl)
	if err != nil {
		return err
	}
	if err := r.write(ctx, lease, leaving); err != nil {
		return err
	}
	r.mu.Lock()
	r.lease, r.leaseTTL, r.confirmedAt = lease, ttl, began
	r.mu.Unlock()
	events.MemberRegistered.Log(r.Log, logrus.Fields{"member": r.Self.Name, "lease": lease})
	return nil
}

// write writes the registration under a lease.
func (r *Registrar) write(ctx context.Context, lease kv.LeaseID, leaving bool) error {
	self := r.Self
	self.Leaving = leaving
	var raw bytes.Buffer
	if err := gob.NewEncoder(&raw).Encode(self); err != nil {
		return errors.Wrap(err, "cluster: register")
	}
	key := prefixMembers + self.Name
	_, err := r.Store.Commit(ctx, kv.Transaction{Puts: []kv.Put{{Key: key, Value: raw.Bytes(), Lease: lease}}})
	if errors.Is(err, kv.ErrUnknown) {
		_, err = resolvePut(ctx, r.Store, key, lease, err)
	}
	return err
}

// resolvePut determines whether a put whose answer was lost took effect, by comparing
// the key's current lease. Without it, while the store lost every second answer, a
// process registered again after each lost answer, was unregistered for seconds, and
// its jobs were moved.
func resolvePut(ctx context.Context, store kv.TransactionalStore, key string, lease kv.LeaseID, unknown error) (kv.Record, error) {
	current, err := store.Read(ctx, key)
	if err != nil || current.Lease != lease {
		return kv.Record{}, unknown
	}
	return current, nil
}

// Leave marks this process as leaving in its registration, so that others give it no new
// work.
func (r *Registrar) Leave(ctx context.Context) error {
	r.mu.Lock()
	r.leaving = true
	lease := r.lease
	r.mu.Unlock()
	if lease == 0 {
		return nil
	}
	return r.write(ctx, lease, true)
}

// Deregister revokes the lease of the registration.
func (r *Registrar) Deregister(ctx context.Context) error {
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	if lease == 0 {
		return nil
	}
	return r.Store.RevokeLease(ctx, lease)
}
