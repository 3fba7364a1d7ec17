package cluster

import (
	"bytes"
	"context"
	"encoding/gob"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
)

const (
	// prefixLive holds what lives as long as a process's lease: registrations and
	// duties, so that one watch tells of both.
	prefixLive    = "live/"
	prefixMembers = prefixLive + "members/"
	// DutyKey is the prefix of duties' keys.
	DutyKey = prefixLive + "duty/"
)

const (
	// renewShare of a lease's time passes between renewals, so that two may be
	// lost before it lapses.
	renewShare = 0.3
	// certainShare of a lease's time after its last proof it cannot have lapsed,
	// whatever the clocks' drift.
	certainShare = 0.9
	// registerRetry is the pause after a registration that failed.
	registerRetry = 300 * time.Millisecond
)

// Member is one process of the system.
type Member struct {
	Name    string
	Address string // ip:port of the inner protocol
	Domain  string // failure domain
	Worker  bool   // takes on batch jobs before others do
	Leaving bool
	Boot    int64 // Unix nanoseconds of its start
}

// Members is the list of the system's live processes. It is safe for
// concurrent use.
type Members struct {
	mu     sync.RWMutex
	list   map[string]Member
	lapsed map[string]bool // registrations that lapsed and whose member is still listed

	holders map[string]string // of duties, by key
}

// NewMembers returns an empty list.
func NewMembers() *Members {
	return &Members{list: map[string]Member{}, lapsed: map[string]bool{}, holders: map[string]string{}}
}

// Get returns a member.
func (m *Members) Get(name string) (Member, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	member, found := m.list[name]
	return member, found
}

// Count returns how many members there are.
func (m *Members) Count() int {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return len(m.list)
}

// Holder returns the name of the last known holder of a duty; empty: none is known.
func (m *Members) Holder(duty string) string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.holders[duty]
}

func (m *Members) setHolder(duty, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holders[duty] = name
}

// Registered tells whether a member's registration stands.
func (m *Members) Registered(name string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	_, found := m.list[name]
	return found && !m.lapsed[name]
}

// Live returns the members sorted by name.
func (m *Members) Live() []Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	live := make([]Member, 0, len(m.list))
	for _, member := range m.list {
		live = append(live, member)
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// Owners returns the members that may take on work: workers that stay, or if
// there are none, any member that stays.
func (m *Members) Owners() []Member {
	var workers, others []Member
	for _, member := range m.Live() {
		switch {
		case member.Leaving:
		case member.Worker:
			workers = append(workers, member)
		default:
			others = append(others, member)
		}
	}
	if len(workers) > 0 {
		return workers
	}
	return others
}

func (m *Members) put(member Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list[member.Name] = member
	delete(m.lapsed, member.Name)
}

// lingerFor is how long a member whose registration lapsed in an outage of the
// store stays listed: those that live are back within two seconds. Without it
// every registration lapses at once, and nobody is left to follow the store or
// to give weight orders.
const lingerFor = 2 * time.Second

func (m *Members) linger(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lapsed, found := m.list[name]
	if !found {
		return
	}
	time.AfterFunc(lingerFor, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.list[name] == lapsed && m.lapsed[name] {
			delete(m.list, name)
		}
	})
	m.lapsed[name] = true
}

func (m *Members) remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.list, name)
}

// Registrar keeps this process registered under a lease and takes in the
// registrations of the others.
type Registrar struct {
	Store   kv.Shared
	Self    Member
	TTL     time.Duration
	Members *Members
	Log     *logrus.Logger
	// MemberGone is called when a member's registration ends, including this process's
	// own.
	MemberGone func(name string)
	// StoreRecentlyDown tells whether the store was away until a moment ago; nil: never.
	StoreRecentlyDown func() bool
	// DutyVacant is called when a duty's key goes; may be nil.
	DutyVacant func(key string)
	mu         sync.Mutex
	lease      kv.LeaseID
	leaving    bool
	proven     time.Time     // the store last confirmed the lease, counted from the call's start
	listed     bool          // the registration was seen in the list, and not its end
	again      chan struct{} // the registration must be made anew
	synced     bool          // the first list was told; only the topic uses it
}

// NewRegistrar returns a registrar that has not registered yet.
func NewRegistrar(store kv.Shared, self Member, ttl time.Duration, members *Members, log *logrus.Logger) *Registrar {
	return &Registrar{Store: store, Self: self, TTL: ttl, Members: members, Log: log, again: make(chan struct{}, 1)}
}

// Topic returns the topic that keeps the members up to date.
func (r *Registrar) Topic() *Topic {
	return &Topic{Prefix: prefixLive, Changed: r.changed, Deleted: r.deleted, Listed: r.listedAll}
}

// listedAll notes that a list was taken in. The first one gets one line: a line for
// each of hundreds of processes at each of them would hide all else.
func (r *Registrar) listedAll() {
	if r.synced {
		return
	}
	r.synced = true
	workers := 0
	live := r.Members.Live()
	for _, m := range live {
		if m.Worker {
			workers++
		}
	}
	events.MembersTaken.Log(r.Log, logrus.Fields{"members": len(live), "workers": workers})
}

func (r *Registrar) changed(record kv.Record) {
	if strings.HasPrefix(record.Key, DutyKey) {
		r.Members.setHolder(record.Key, string(record.Value))
		return
	}
	if !strings.HasPrefix(record.Key, prefixMembers) {
		return
	}
	var member Member
	if err := gob.NewDecoder(bytes.NewReader(record.Value)).Decode(&member); err != nil {
		events.EndpointBad.Log(r.Log, logrus.Fields{"key": record.Key, "error": err.Error()})
		return
	}
	r.Members.put(member)
	if member.Name == r.Self.Name {
		r.setListed(true)
	}
	if !r.synced {
		return
	}
	events.MemberListed.Log(r.Log, logrus.Fields{"member": member.Name, "leaving": member.Leaving, "revision": record.Revision})
}

func (r *Registrar) deleted(key string, revision int64) {
	if strings.HasPrefix(key, DutyKey) {
		if r.DutyVacant != nil {
			r.DutyVacant(key)
		}
		return
	}
	name := strings.TrimPrefix(key, prefixMembers)
	unsettled := r.StoreRecentlyDown != nil && r.StoreRecentlyDown()
	events.MemberGone.Log(r.Log, logrus.Fields{"member": name, "revision": revision, "lingers": unsettled})
	if unsettled {
		r.Members.linger(name)
	} else {
		r.Members.remove(name)
	}
	if name == r.Self.Name {
		r.setListed(false)
		events.MemberLapsed.Log(r.Log, logrus.Fields{"member": name})
		r.anew()
	}
	if r.MemberGone != nil {
		r.MemberGone(name)
	}
}

func (r *Registrar) anew() {
	select {
	case r.again <- struct{}{}:
	default:
	}
}

// Run holds the registration until ctx ends: it renews the lease and registers
// anew when the lease or its key was lost.
func (r *Registrar) Run(ctx context.Context) error {
	wait := time.Duration(0)
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-r.again:
			timer.Stop()
			r.forget()
		case <-timer.C:
		}
		wait = r.step(ctx)
	}
}

func (r *Registrar) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = 0
}

func (r *Registrar) step(ctx context.Context) time.Duration {
	r.mu.Lock()
	lease, leaving := r.lease, r.leaving
	r.mu.Unlock()
	renew := time.Duration(renewShare * float64(r.TTL))
	if lease == 0 {
		if r.register(ctx, leaving) != nil {
			return registerRetry
		}
		return renew
	}
	began := time.Now()
	err := r.Store.KeepLease(ctx, lease)
	if errors.Is(err, kv.ErrLeaseNotFound) {
		r.forget()
		return 0
	}
	if err == nil {
		r.prove(began)
	}
	return max(0, renew-time.Since(began)) // one that took long must not put off the next
}

func (r *Registrar) prove(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proven = at
}

// CertainlyRegistered tells whether this process's registration certainly stands: nobody
// moves its jobs before it lapses.
func (r *Registrar) CertainlyRegistered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed && time.Since(r.proven) < time.Duration(certainShare*float64(r.TTL))
}

func (r *Registrar) setListed(listed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = listed
}

func (r *Registrar) register(ctx context.Context, leaving bool) error {
	began := time.Now()
	lease, _, err := r.Store.GrantLease(ctx, r.TTL)
	if err != nil {
		return err
	}
	if err := r.write(ctx, lease, leaving); err != nil {
		return err
	}
	r.mu.Lock()
	r.lease, r.proven = lease, began
	r.mu.Unlock()
	events.MemberRegistered.Log(r.Log, logrus.Fields{"member": r.Self.Name, "lease": lease})
	return nil
}

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
		_, err = settlePut(ctx, r.Store, key, lease, err)
	}
	return err
}

// settlePut finds out whether a put whose answer was lost took effect, by the
// lease that the key has now. While the store loses every second answer, a
// process that began anew each time was unregistered for seconds, and its jobs
// were moved.
func settlePut(ctx context.Context, store kv.Shared, key string, lease kv.LeaseID, unknown error) (kv.Record, error) {
	standing, err := store.Read(ctx, key)
	if err != nil || standing.Lease != lease {
		return kv.Record{}, unknown
	}
	return standing, nil
}

// Leave tells the others that this process stops: they give it nothing new.
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

// Deregister gives the registration up.
func (r *Registrar) Deregister(ctx context.Context) error {
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	if lease == 0 {
		return nil
	}
	return r.Store.RevokeLease(ctx, lease)
}
