// Package dutyrun runs the duties policy of an entry. It passes the time, the
// live entries and the records of the key-value service to the policy, performs
// the calls that the policy decides on, and notifies subscribers of changes of
// lease state.
package dutyrun

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"siskinloom.example/siskinloom/internal/entry"
	"siskinloom.example/siskinloom/internal/events"
	"siskinloom.example/siskinloom/internal/kv"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/wire"
)

const (
	tickInterval = 100 * time.Millisecond
	// minReadsForList is the number of records from which one listing is
	// cheaper than separate reads.
	minReadsForList = 4
)

// Options configures a Keeper.
type Options struct {
	Store      kv.Store
	Deployment string
	Self       duties.Member
	Names      func() []string        // names of the existing duties; called on each tick
	Members    func() []duties.Member // live entries, including this one unless it leaves
	Log        *logrus.Logger
	Config     duties.Config
	// Offer offers a duty that this entry has released to the entry at an inner
	// address. It returns the duty's new holder once there is one, or an error if
	// the entry refuses the duty. If Offer is nil, successors notice the release
	// at their next poll.
	Offer func(ctx context.Context, address string, offer wire.DutyOffer) (wire.Holder, error)
	// Probe asks the entry at an inner address whether it holds a duty under an
	// epoch. If Probe is nil, no duty is taken over before its lease has
	// expired.
	Probe func(ctx context.Context, address string, query wire.HoldsRequest) (bool, error)
}

// Keeper acquires, renews and releases this entry's duties. It is safe for
// concurrent use.
type Keeper struct {
	options Options
	prefix  string
	wake    chan struct{}

	mu            sync.Mutex
	policy        *duties.Keeper
	rnd           *rand.Rand
	pendingOffers int

	// notifyMu keeps notifications in order; it is locked before mu.
	notifyMu    sync.Mutex
	subscribers []subscriber
	lastChanges map[string]duties.Change
}

type subscriber struct {
	prefix string
	fn     func(duties.Change)
}

var (
	_ entry.DutyLeases  = (*Keeper)(nil)
	_ entry.LeaseProver = (*Keeper)(nil)
)

// New returns a keeper that holds no duty until Run is called.
func New(o Options) *Keeper {
	return &Keeper{
		options:     o,
		prefix:      "duties/" + o.Deployment + "/",
		wake:        make(chan struct{}, 1),
		policy:      duties.New(o.Config, o.Self, ulid.Make().String()),
		rnd:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		lastChanges: map[string]duties.Change{},
	}
}

// Run acquires and renews duties until ctx is done. It doesn't release them;
// Stop does.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-k.wake:
		}
		k.execute(ctx, k.tick())
		k.startOffers(ctx)
		k.startProbes(ctx)
	}
}

// Stop hands the duties over: it releases each one, offers it to its successor,
// and returns once all are released and offered or ctx is done. Run must still
// be running.
func (k *Keeper) Stop(ctx context.Context) error {
	k.mu.Lock()
	k.policy.Stop()
	k.mu.Unlock()
	k.wakeUp()
	ticker := time.NewTicker(tickInterval / 10)
	defer ticker.Stop()
	for {
		k.mu.Lock()
		idle := k.policy.Idle() && k.pendingOffers == 0
		k.mu.Unlock()
		if idle {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "duties: not all were released")
		case <-ticker.C:
		}
	}
}

// KnownHolder returns the address and epoch of the duty's last known holder,
// and whether that is this process.
func (k *Keeper) KnownHolder(name string) (string, int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	holder, mine := k.policy.KnownHolder(time.Now(), name)
	return holder.Address, holder.Epoch, mine
}

// LeaseState returns the state of this process's lease on the duty.
func (k *Keeper) LeaseState(name string) duties.LeaseState {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.policy.LeaseState(time.Now(), name)
}

// HeldUntil returns the epoch under which this process holds the duty and the
// time at which its lease expires, or zero values if it doesn't hold the duty.
func (k *Keeper) HeldUntil(name string) (int64, time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.policy.HeldUntil(time.Now(), name)
}

// Promise reports whether this process holds the duty under epoch and no other
// process can hold it before until. If so, the duty is not released before then.
func (k *Keeper) Promise(name string, epoch int64, until time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.policy.Promise(time.Now(), name, epoch, until)
}

// OnChange subscribes fn to the lease state changes of duties with the prefix.
// It calls fn at once with the last change of each of these duties.
func (k *Keeper) OnChange(prefix string, fn func(duties.Change)) {
	k.notifyMu.Lock()
	defer k.notifyMu.Unlock()
	k.subscribers = append(k.subscribers, subscriber{prefix: prefix, fn: fn})
	for _, change := range k.lastChanges {
		if strings.HasPrefix(change.Duty, prefix) {
			fn(change)
		}
	}
}

// Holders returns the known holders, for a heartbeat.
func (k *Keeper) Holders() []wire.Holder {
	k.mu.Lock()
	defer k.mu.Unlock()
	holders := k.policy.KnownHolders()
	all := make([]wire.Holder, 0, len(holders))
	for _, h := range holders {
		all = append(all, wire.Holder{Duty: h.Duty, Address: h.Address, Epoch: h.Epoch})
	}
	return all
}

// HoldersReported merges the holders that another entry reports.
func (k *Keeper) HoldersReported(holders []wire.Holder) {
	k.update(func(now time.Time) {
		for _, h := range holders {
			k.policy.HolderReported(now, duties.KnownHolder{Duty: h.Duty, Address: h.Address, Epoch: h.Epoch})
		}
	})
}

func (k *Keeper) tick() []duties.Action {
	var actions []duties.Action
	k.update(func(now time.Time) {
		k.policy.SetNames(now, k.options.Names())
		k.policy.SetMembers(now, k.options.Members())
		actions = k.policy.Tick(now, k.rnd)
	})
	return actions
}

// update runs step with the lock held and notifies subscribers of the resulting
// changes.
func (k *Keeper) update(step func(now time.Time)) {
	k.notifyMu.Lock()
	defer k.notifyMu.Unlock()
	k.mu.Lock()
	step(time.Now())
	changes := k.policy.Changes()
	k.mu.Unlock()
	for _, change := range changes {
		k.notify(change)
	}
}

func (k *Keeper) notify(change duties.Change) {
	fields := logrus.Fields{"duty": change.Duty, "epoch": change.Epoch}
	switch change.LeaseState {
	case duties.Holder:
		events.DutyAcquired.Log(k.options.Log, fields)
	case duties.Lapsed:
		events.DutyExpired.Log(k.options.Log, fields)
	default:
		events.DutyLost.Log(k.options.Log, fields)
	}
	k.lastChanges[change.Duty] = change
	for _, s := range k.subscribers {
		if strings.HasPrefix(change.Duty, s.prefix) {
			s.fn(change)
		}
	}
}

// execute starts the policy's calls without waiting for them.
func (k *Keeper) execute(ctx context.Context, actions []duties.Action) {
	var reads []string
	for _, action := range actions {
		if action.Kind == duties.Read {
			reads = append(reads, action.Duty)
			continue
		}
		go k.write(ctx, action)
	}
	if len(reads) >= minReadsForList {
		go k.list(ctx, reads)
		return
	}
	for _, name := range reads {
		go k.read(ctx, name)
	}
}

func (k *Keeper) read(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, k.options.Config.PollInterval)
	defer cancel()
	found, err := k.options.Store.Get(ctx, kv.UseLease, k.prefix+name)
	k.recordRead(name, found, err)
}

func (k *Keeper) list(ctx context.Context, names []string) {
	ctx, cancel := context.WithTimeout(ctx, k.options.Config.PollInterval)
	defer cancel()
	all, err := k.options.Store.List(ctx, kv.UseLease, k.prefix)
	found := map[string]kv.Record{}
	for _, r := range all {
		found[strings.TrimPrefix(r.Key, k.prefix)] = r
	}
	for _, name := range names {
		k.recordRead(name, found[name], err)
	}
}

func (k *Keeper) recordRead(name string, found kv.Record, err error) {
	record, decodeErr := decodeRecord(found)
	k.update(func(now time.Time) {
		k.policy.ReadDone(now, name, record, found.Revision, err == nil && decodeErr == nil)
	})
	k.wakeUp()
}

func (k *Keeper) write(ctx context.Context, action duties.Action) {
	ctx, cancel := context.WithTimeout(ctx, k.options.Config.RenewInterval)
	defer cancel()
	value, err := json.Marshal(action.Record)
	if err != nil {
		panic(err) // encoding a struct of strings and numbers can't fail
	}
	swapped, current, err := k.options.Store.CompareAndSwap(ctx, kv.UseLease, kv.Write{
		Key:              k.prefix + action.Duty,
		ExpectedRevision: action.Expected,
		Value:            value,
	})
	record, decodeErr := decodeRecord(current)
	outcome := outcomeOf(swapped, err)
	if decodeErr != nil {
		outcome = duties.Indeterminate
	}
	k.update(func(now time.Time) {
		k.policy.WriteDone(now, action, outcome, record, current.Revision)
	})
	k.wakeUp()
}

// wakeUp makes Run tick immediately.
func (k *Keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func outcomeOf(swapped bool, err error) duties.Outcome {
	switch {
	case errors.Is(err, kv.ErrUnavailable), errors.Is(err, kv.ErrBudget):
		return duties.NotApplied
	case err != nil:
		return duties.Indeterminate
	case swapped:
		return duties.Swapped
	default:
		return duties.Conflict
	}
}

func decodeRecord(r kv.Record) (duties.Record, error) {
	var record duties.Record
	if r.Revision == 0 {
		return record, nil
	}
	err := json.Unmarshal(r.Value, &record)
	return record, errors.Wrap(err, r.Key)
}
