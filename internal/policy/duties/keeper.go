package duties

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"siskinloom.example/siskinloom/internal/policy/rendezvous"
)

// duty is what this process knows of one duty.
type duty struct {
	name     string
	key      uint64
	rank     int // of this process among the candidates; -1: none of them
	first    bool
	owed     Member // that should hold it
	known    bool   // seen and revision were read from the service
	seen     Record
	revision int64     // of the service's record; 0: absent
	since    time.Time // this revision was first seen
	nextRead time.Time

	holding  bool      // the record is this process's own, of this epoch
	held     int64     // revision that until was counted for
	givenUp  int64     // a release of this epoch was sent; it may still arrive
	until    time.Time // own deadline; no action after it
	renewAt  time.Time
	promised time.Time // not released before; see Promise
	offered  int64     // epoch whose holder offered the duty to this process; 0: none
	reread   bool      // the offer came while a call was out
	claimAt  time.Time // when to take over a lapsed record; zero: not drawn yet
	wrongFor time.Time // since when another live entry should hold it; zero: not

	busy      bool      // a call is under way
	unsettled time.Time // first write since the last known outcome; zero: none

	told LeaseState

	early early
}

// Keeper decides for one process. It is not safe for concurrent use.
type Keeper struct {
	config   Config
	self     Member
	boot     string
	members  []Member
	hashes   []uint64
	duties   map[string]*duty
	order    []string
	changes  []Change
	offers   []Offer
	stopping bool
}

// New returns a keeper for the process self; boot is unique to the process.
func New(config Config, self Member, boot string) *Keeper {
	return &Keeper{config: config, self: self, boot: boot, duties: map[string]*duty{}}
}

// SetMembers takes in the live entries in any order that does not change by
// itself, this process included unless it leaves.
func (k *Keeper) SetMembers(now time.Time, members []Member) {
	if slices.Equal(k.members, members) {
		return
	}
	k.members = slices.Clone(members)
	k.hashes = k.hashes[:0]
	for _, m := range k.members {
		k.hashes = append(k.hashes, rendezvous.Key(m.ID))
	}
	for _, d := range k.duties {
		k.place(now, d)
	}
}

// SetNames takes in the duties that exist. One that is no longer named is
// dropped; its record stays, and with it its epoch.
func (k *Keeper) SetNames(now time.Time, names []string) {
	k.order = append(k.order[:0], names...)
	sort.Strings(k.order)
	k.drop(names)
	for _, name := range k.order {
		if k.duties[name] == nil {
			d := &duty{name: name, key: rendezvous.Key(name), nextRead: now}
			k.duties[name] = d
			k.place(now, d)
		}
	}
}

func (k *Keeper) drop(names []string) {
	for name, d := range k.duties {
		if slices.Contains(names, name) {
			continue
		}
		delete(k.duties, name)
		if d.told != NotHolder {
			k.changes = append(k.changes, Change{Duty: name, Epoch: d.seen.Epoch, LeaseState: NotHolder})
		}
	}
}

// place finds this process's rank for the duty.
func (k *Keeper) place(now time.Time, d *duty) {
	d.rank = -1
	candidates := k.candidates(d)
	for rank, m := range candidates {
		if m.ID == k.self.ID {
			d.rank = rank
		}
	}
	if len(candidates) > 0 {
		d.owed = candidates[0]
	}
	d.first = d.rank == 0
	switch {
	case d.first || len(k.members) == 0:
		d.wrongFor = time.Time{}
	case d.wrongFor.IsZero():
		d.wrongFor = now
	}
}

// rankedMembers is how many members are looked at for candidates of different
// failure domains.
const rankedMembers = 8

// candidates lists the members that stand ready for the duty, the one that
// should hold it first. The others are of further failure domains where there
// are any, so that the loss of one leaves a candidate for every duty although
// the list of members still names the dead.
func (k *Keeper) candidates(d *duty) []Member {
	ranked := rendezvous.Ranked(d.key, k.hashes, rankedMembers)
	var chosen, rest []Member
	domains := map[string]bool{}
	for _, i := range ranked {
		m := k.members[i]
		if domains[m.Domain] {
			rest = append(rest, m)
			continue
		}
		domains[m.Domain] = true
		chosen = append(chosen, m)
	}
	chosen = append(chosen, rest...)
	return chosen[:min(len(chosen), k.config.Candidates)]
}

// KnownHolder returns the duty's holder as last known, and whether this process may
// act as the holder now.
func (k *Keeper) KnownHolder(now time.Time, name string) (KnownHolder, bool) {
	d := k.duties[name]
	if d == nil {
		return KnownHolder{Duty: name}, false
	}
	owner := KnownHolder{Duty: name, Epoch: d.seen.Epoch}
	if !d.seen.Released {
		owner.Address = d.seen.Address
	}
	return owner, k.standing(now, d) == Holder
}

// LeaseState returns how this process stands to the duty now.
func (k *Keeper) LeaseState(now time.Time, name string) LeaseState {
	if d := k.duties[name]; d != nil {
		return k.standing(now, d)
	}
	return NotHolder
}

func (k *Keeper) standing(now time.Time, d *duty) LeaseState {
	switch {
	case !d.holding:
		return NotHolder
	case now.Before(d.until):
		return Holder
	default:
		return Lapsed
	}
}

// HeldUntil returns the epoch under which this process holds the duty and the
// time until which its lease runs; zero if it does not hold it.
func (k *Keeper) HeldUntil(now time.Time, name string) (int64, time.Time) {
	d := k.duties[name]
	if d == nil || k.standing(now, d) != Holder {
		return 0, time.Time{}
	}
	return d.seen.Epoch, d.until
}

// Promise tells whether no other process can hold the duty before until, given
// that this one holds it under epoch, and keeps it from being released before
// then.
func (k *Keeper) Promise(now time.Time, name string, epoch int64, until time.Time) bool {
	held, end := k.HeldUntil(now, name)
	if held == 0 || held != epoch || until.After(end) {
		return false
	}
	if d := k.duties[name]; until.After(d.promised) {
		d.promised = until
	}
	return true
}

// KnownHolders lists the holders known, for peers that do not read the service.
func (k *Keeper) KnownHolders() []KnownHolder {
	var all []KnownHolder
	for _, name := range k.order {
		if d := k.duties[name]; d.seen.Epoch > 0 {
			all = append(all, k.ownerOf(d))
		}
	}
	return all
}

func (k *Keeper) ownerOf(d *duty) KnownHolder {
	o, _ := k.KnownHolder(time.Time{}, d.name)
	return o
}

// Heard takes in a holder told by a peer. It is a hint: it never extends a
// lease and starts no take-over by itself, but it ends this process's holding
// if it tells of a successor, and makes a candidate read at once.
func (k *Keeper) Heard(now time.Time, o KnownHolder) {
	d := k.duties[o.Duty]
	if d == nil || o.Epoch < d.seen.Epoch {
		return
	}
	released := o.Address == "" && !d.seen.Released && o.Epoch == d.seen.Epoch
	if o.Epoch == d.seen.Epoch && !released {
		return
	}
	if released && d.holding {
		return // an echo of an older holder's word cannot take away a lease
	}
	d.seen.Epoch, d.seen.Address, d.seen.Released = o.Epoch, o.Address, o.Address == ""
	if o.Address != "" {
		d.seen.Boot = ""
		d.holding = false
	}
	d.known = false
	d.nextRead = now
	k.note(now, d)
}

// Changes returns the changes of standing since the last call.
func (k *Keeper) Changes() []Change {
	all := k.changes
	k.changes = nil
	return all
}

func (k *Keeper) note(now time.Time, d *duty) {
	if s := k.standing(now, d); s != d.told {
		d.told = s
		k.changes = append(k.changes, Change{Duty: d.name, Epoch: d.seen.Epoch, LeaseState: s})
	}
}

// Stop makes the keeper release what it holds and take nothing more.
func (k *Keeper) Stop() {
	k.stopping = true
}

// Idle tells whether the keeper holds nothing and waits for no answer.
func (k *Keeper) Idle() bool {
	for _, d := range k.duties {
		if d.holding || d.busy {
			return false
		}
	}
	return true
}

// Tick returns what to do now.
func (k *Keeper) Tick(now time.Time, rnd *rand.Rand) []Action {
	var actions []Action
	takeovers := 0
	for _, name := range k.order {
		d := k.duties[name]
		k.note(now, d)
		if d.busy {
			continue
		}
		action, any := k.next(now, d, rnd, takeovers < k.config.MaxTakeoversPerTick)
		if !any {
			continue
		}
		if action.Kind == Write && !d.holding {
			takeovers++
		}
		d.busy = true
		action.Sent = now
		if action.Kind == Write && d.unsettled.IsZero() {
			d.unsettled = now
		}
		actions = append(actions, action)
	}
	return actions
}
