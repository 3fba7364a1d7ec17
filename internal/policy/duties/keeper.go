package duties

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

// duty is the state of one duty as known to this process.
type duty struct {
	name           string
	key            uint64 // rendezvous key of name
	rank           int    // of this process among the candidates; -1 if it is none of them
	isPreferred    bool   // rank is 0
	preferred      Member // candidate that should hold the duty
	recordKnown    bool   // lastRecord and revision are as read from the service
	lastRecord     Record
	revision       int64     // revision of the record in the service; 0 if absent
	revisionSeenAt time.Time // when this revision was first seen
	nextRead       time.Time

	holding         bool      // the record names this process as the holder of its epoch
	leaseRevision   int64     // revision that leaseUntil was computed for
	releasedEpoch   int64     // epoch whose release was sent and may still arrive
	leaseUntil      time.Time // end of the own lease; the process doesn't act as the holder after it
	renewAt         time.Time
	noReleaseBefore time.Time // see Promise
	offeredEpoch    int64     // epoch whose holder offered the duty to this process; 0 if none did
	readAgain       bool      // an offer arrived while a call was pending
	takeOverAt      time.Time // when to take over an expired lease; zero if not chosen yet
	misplacedSince  time.Time // since when another entry is the preferred holder; zero if none is

	callPending    bool
	unsettledSince time.Time // first write since the last known outcome; zero if there is none

	reportedState LeaseState // as last reported in a Change

	probe probe
}

// Keeper is the state machine that acquires, renews and releases duties for one
// process. It returns calls to the key-value service as Actions and handles their
// results. It is not safe for concurrent use.
type Keeper struct {
	config      Config
	self        Member
	boot        string
	members     []Member
	memberKeys  []uint64 // rendezvous keys of members
	duties      map[string]*duty
	sortedNames []string // names of duties
	changes     []Change
	offers      []Offer
	stopping    bool
}

// New returns a Keeper for the process self. boot is a unique ID of the process.
func New(config Config, self Member, boot string) *Keeper {
	return &Keeper{config: config, self: self, boot: boot, duties: map[string]*duty{}}
}

// SetMembers sets the live entries, including this process unless it is leaving.
// Any order is valid, but it should be the same in each call, since another order counts
// as a change.
func (k *Keeper) SetMembers(now time.Time, members []Member) {
	if slices.Equal(k.members, members) {
		return
	}
	k.members = slices.Clone(members)
	k.memberKeys = k.memberKeys[:0]
	for _, m := range k.members {
		k.memberKeys = append(k.memberKeys, rendezvous.Key(m.ID))
	}
	for _, d := range k.duties {
		k.updateRank(now, d)
	}
}

// SetNames sets the names of the existing duties. A duty that is no longer named is
// dropped; its record and thereby its epoch remain in the service.
func (k *Keeper) SetNames(now time.Time, names []string) {
	k.sortedNames = append(k.sortedNames[:0], names...)
	sort.Strings(k.sortedNames)
	k.dropExcept(names)
	for _, name := range k.sortedNames {
		if k.duties[name] == nil {
			d := &duty{name: name, key: rendezvous.Key(name), nextRead: now}
			k.duties[name] = d
			k.updateRank(now, d)
		}
	}
}

// dropExcept drops all duties but the named ones.
func (k *Keeper) dropExcept(names []string) {
	for name, d := range k.duties {
		if slices.Contains(names, name) {
			continue
		}
		delete(k.duties, name)
		if d.reportedState != NotHolder {
			k.changes = append(k.changes, Change{Duty: name, Epoch: d.lastRecord.Epoch, LeaseState: NotHolder})
		}
	}
}

// updateRank computes the preferred holder of the duty and the rank of this process
// among the candidates.
func (k *Keeper) updateRank(now time.Time, d *duty) {
	d.rank = -1
	candidates := k.candidates(d)
	for rank, m := range candidates {
		if m.ID == k.self.ID {
			d.rank = rank
		}
	}
	if len(candidates) > 0 {
		d.preferred = candidates[0]
	}
	d.isPreferred = d.rank == 0
	switch {
	case d.isPreferred || len(k.members) == 0:
		d.misplacedSince = time.Time{}
	case d.misplacedSince.IsZero():
		d.misplacedSince = now
	}
}

// maxRankedMembers is the number of members of the highest rendezvous weight among
// which candidates of different failure domains are sought.
const maxRankedMembers = 8

// candidates returns the members that may take over the duty; the first one should
// hold it. The others are in different failure domains if possible, so that the
// loss of a failure domain leaves a live candidate for every duty even while the
// list of members still names the lost entries.
func (k *Keeper) candidates(d *duty) []Member {
	ranked := rendezvous.Ranked(d.key, k.memberKeys, maxRankedMembers)
	var chosen, sameDomain []Member
	domains := map[string]bool{}
	for _, i := range ranked {
		m := k.members[i]
		if domains[m.Domain] {
			sameDomain = append(sameDomain, m)
			continue
		}
		domains[m.Domain] = true
		chosen = append(chosen, m)
	}
	chosen = append(chosen, sameDomain...)
	return chosen[:min(len(chosen), k.config.Candidates)]
}

// KnownHolder returns the last known holder of the duty and whether this process may
// act as the holder now.
func (k *Keeper) KnownHolder(now time.Time, name string) (KnownHolder, bool) {
	d := k.duties[name]
	if d == nil {
		return KnownHolder{Duty: name}, false
	}
	holder := KnownHolder{Duty: name, Epoch: d.lastRecord.Epoch}
	if !d.lastRecord.Released {
		holder.Address = d.lastRecord.Address
	}
	return holder, k.leaseState(now, d) == Holder
}

// LeaseState returns the state of this process's lease on the duty.
func (k *Keeper) LeaseState(now time.Time, name string) LeaseState {
	if d := k.duties[name]; d != nil {
		return k.leaseState(now, d)
	}
	return NotHolder
}

func (k *Keeper) leaseState(now time.Time, d *duty) LeaseState {
	switch {
	case !d.holding:
		return NotHolder
	case now.Before(d.leaseUntil):
		return Holder
	default:
		return Lapsed
	}
}

// HeldUntil returns the epoch under which this process holds the duty and the end of
// its lease. Both are zero if this process doesn't hold the duty.
func (k *Keeper) HeldUntil(now time.Time, name string) (int64, time.Time) {
	d := k.duties[name]
	if d == nil || k.leaseState(now, d) != Holder {
		return 0, time.Time{}
	}
	return d.lastRecord.Epoch, d.leaseUntil
}

// Promise reports whether this process holds the duty under epoch and no other
// process can hold it before until. If so, the duty is not released before then.
func (k *Keeper) Promise(now time.Time, name string, epoch int64, until time.Time) bool {
	held, end := k.HeldUntil(now, name)
	if held == 0 || held != epoch || until.After(end) {
		return false
	}
	if d := k.duties[name]; until.After(d.noReleaseBefore) {
		d.noReleaseBefore = until
	}
	return true
}

// KnownHolders returns the last known holder of each duty that has had one, for peers
// that don't read the service.
func (k *Keeper) KnownHolders() []KnownHolder {
	var all []KnownHolder
	for _, name := range k.sortedNames {
		if d := k.duties[name]; d.lastRecord.Epoch > 0 {
			all = append(all, k.knownHolder(d))
		}
	}
	return all
}

func (k *Keeper) knownHolder(d *duty) KnownHolder {
	holder, _ := k.KnownHolder(time.Time{}, d.name)
	return holder
}

// HolderReported records a holder reported by a peer. The report is only a hint: it
// never extends a lease and doesn't start a takeover by itself. It ends this process's
// lease if it names a successor, and makes a candidate read the record at once.
func (k *Keeper) HolderReported(now time.Time, reported KnownHolder) {
	d := k.duties[reported.Duty]
	if d == nil || reported.Epoch < d.lastRecord.Epoch {
		return
	}
	released := reported.Address == "" && !d.lastRecord.Released && reported.Epoch == d.lastRecord.Epoch
	if reported.Epoch == d.lastRecord.Epoch && !released {
		return
	}
	if released && d.holding {
		return // an outdated report of a release can't end a lease
	}
	d.lastRecord.Epoch, d.lastRecord.Address, d.lastRecord.Released = reported.Epoch, reported.Address, reported.Address == ""
	if reported.Address != "" {
		d.lastRecord.Boot = ""
		d.holding = false
	}
	d.recordKnown = false
	d.nextRead = now
	k.recordChange(now, d)
}

// Changes returns the changes of lease states since the last call.
func (k *Keeper) Changes() []Change {
	all := k.changes
	k.changes = nil
	return all
}

// recordChange appends a Change if the state of the lease differs from the last one
// reported.
func (k *Keeper) recordChange(now time.Time, d *duty) {
	if s := k.leaseState(now, d); s != d.reportedState {
		d.reportedState = s
		k.changes = append(k.changes, Change{Duty: d.name, Epoch: d.lastRecord.Epoch, LeaseState: s})
	}
}

// Stop makes the Keeper release the duties it holds and acquire no more.
func (k *Keeper) Stop() {
	k.stopping = true
}

// Idle reports whether the Keeper holds no duty and no call is pending.
func (k *Keeper) Idle() bool {
	for _, d := range k.duties {
		if d.holding || d.callPending {
			return false
		}
	}
	return true
}

// Tick returns the calls to the service that are due now.
func (k *Keeper) Tick(now time.Time, rnd *rand.Rand) []Action {
	var actions []Action
	takeovers := 0
	for _, name := range k.sortedNames {
		d := k.duties[name]
		k.recordChange(now, d)
		if d.callPending {
			continue
		}
		action, ok := k.nextAction(now, d, rnd, takeovers < k.config.MaxTakeoversPerTick)
		if !ok {
			continue
		}
		if action.Kind == Write && !d.holding {
			takeovers++
		}
		d.callPending = true
		action.Sent = now
		if action.Kind == Write && d.unsettledSince.IsZero() {
			d.unsettledSince = now
		}
		actions = append(actions, action)
	}
	return actions
}
