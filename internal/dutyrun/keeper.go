// Package dutyrun runs the duties policy of an entry: it feeds it with time, the
// live entries and the records of the key-value service, carries out its calls
// and tells changes of standing to the work that depends on them.
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
	dutyTick = 100 * time.Millisecond
	// dutyListFrom is how many records it takes for one listing to be cheaper
	// than reading each.
	dutyListFrom = 4
)

// Options sets up a Keeper.
type Options struct {
	Store      kv.Store
	Deployment string
	Self       duties.Member
	Names      func() []string        // duties that exist; asked at each tick
	Members    func() []duties.Member // live entries; this one too unless it leaves
	Log        *logrus.Logger
	Config     duties.Config
	// Offer tells the entry at an inner address that this one has released a
	// duty, and waits for who holds it then; an error if it will not take it.
	// nil: successors find out by themselves.
	Offer func(ctx context.Context, address string, offer wire.DutyOffer) (wire.Holder, error)
	// Probe asks the entry at an inner address whether it holds a duty under an
	// epoch. nil: every lease is waited out.
	Probe func(ctx context.Context, address string, asked wire.HoldsRequest) (bool, error)
}

// Keeper holds this entry's duties. It is safe for concurrent use.
type Keeper struct {
	options Options
	prefix  string
	wake    chan struct{}

	mu     sync.Mutex
	keeper *duties.Keeper
	rnd    *rand.Rand
	offers int // being made

	// tellMu keeps the order of the changes told; it is taken before mu.
	tellMu      sync.Mutex
	subscribers []subscriber
	standing    map[string]duties.Change
}

type subscriber struct {
	prefix string
	fn     func(duties.Change)
}

var (
	_ entry.DutyLeases  = (*Keeper)(nil)
	_ entry.LeaseProver = (*Keeper)(nil)
)

// New returns a keeper that holds nothing until it runs.
func New(o Options) *Keeper {
	return &Keeper{
		options:  o,
		prefix:   "duties/" + o.Deployment + "/",
		wake:     make(chan struct{}, 1),
		keeper:   duties.New(o.Config, o.Self, ulid.Make().String()),
		rnd:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		standing: map[string]duties.Change{},
	}
}

// Run keeps the duties until ctx ends. It does not release them: see Stop.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(dutyTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-k.wake:
		}
		k.carryOut(ctx, k.tick())
		k.makeOffers(ctx)
		k.makeProbes(ctx)
	}
}

// Stop hands the duties over: it releases each, offers it to its successor and
// returns once all are released and offered or ctx ends. Run must still be
// running.
func (k *Keeper) Stop(ctx context.Context) error {
	k.mu.Lock()
	k.keeper.Stop()
	k.mu.Unlock()
	k.again()
	ticker := time.NewTicker(dutyTick / 10)
	defer ticker.Stop()
	for {
		k.mu.Lock()
		idle := k.keeper.Idle() && k.offers == 0
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

// KnownHolder returns the duty's holder as last known.
func (k *Keeper) KnownHolder(name string) (string, int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	owner, mine := k.keeper.KnownHolder(time.Now(), name)
	return owner.Address, owner.Epoch, mine
}

// LeaseState returns how this process stands to the duty now.
func (k *Keeper) LeaseState(name string) duties.LeaseState {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keeper.LeaseState(time.Now(), name)
}

// HeldUntil returns the epoch under which this process holds the duty and the
// time until which its lease runs; zero if it does not hold it.
func (k *Keeper) HeldUntil(name string) (int64, time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keeper.HeldUntil(time.Now(), name)
}

// Promise tells whether no other process can hold the duty before until, given
// that this one holds it under epoch, and keeps it from being released before
// then.
func (k *Keeper) Promise(name string, epoch int64, until time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keeper.Promise(time.Now(), name, epoch, until)
}

// OnChange subscribes to changes of standing.
func (k *Keeper) OnChange(prefix string, fn func(duties.Change)) {
	k.tellMu.Lock()
	defer k.tellMu.Unlock()
	k.subscribers = append(k.subscribers, subscriber{prefix: prefix, fn: fn})
	for _, change := range k.standing {
		if strings.HasPrefix(change.Duty, prefix) {
			fn(change)
		}
	}
}

// Holders lists the holders known, for a heartbeat.
func (k *Keeper) Holders() []wire.Holder {
	k.mu.Lock()
	defer k.mu.Unlock()
	owners := k.keeper.KnownHolders()
	all := make([]wire.Holder, 0, len(owners))
	for _, o := range owners {
		all = append(all, wire.Holder{Duty: o.Duty, Address: o.Address, Epoch: o.Epoch})
	}
	return all
}

// Heard takes in what a peer's heartbeat tells of holders.
func (k *Keeper) Heard(holders []wire.Holder) {
	k.update(func(now time.Time) {
		for _, h := range holders {
			k.keeper.Heard(now, duties.KnownHolder{Duty: h.Duty, Address: h.Address, Epoch: h.Epoch})
		}
	})
}

func (k *Keeper) tick() []duties.Action {
	var actions []duties.Action
	k.update(func(now time.Time) {
		k.keeper.SetNames(now, k.options.Names())
		k.keeper.SetMembers(now, k.options.Members())
		actions = k.keeper.Tick(now, k.rnd)
	})
	return actions
}

// update runs step under the lock and tells the changes it brought.
func (k *Keeper) update(step func(now time.Time)) {
	k.tellMu.Lock()
	defer k.tellMu.Unlock()
	k.mu.Lock()
	step(time.Now())
	changes := k.keeper.Changes()
	k.mu.Unlock()
	for _, change := range changes {
		k.tell(change)
	}
}

func (k *Keeper) tell(change duties.Change) {
	fields := logrus.Fields{"duty": change.Duty, "epoch": change.Epoch}
	switch change.LeaseState {
	case duties.Holder:
		events.DutyTaken.Log(k.options.Log, fields)
	case duties.Lapsed:
		events.DutyLapsed.Log(k.options.Log, fields)
	default:
		events.DutyLost.Log(k.options.Log, fields)
	}
	k.standing[change.Duty] = change
	for _, s := range k.subscribers {
		if strings.HasPrefix(change.Duty, s.prefix) {
			s.fn(change)
		}
	}
}

// carryOut begins the calls and does not wait for them.
func (k *Keeper) carryOut(ctx context.Context, actions []duties.Action) {
	var reads []string
	for _, action := range actions {
		if action.Kind == duties.Read {
			reads = append(reads, action.Duty)
			continue
		}
		go k.write(ctx, action)
	}
	if len(reads) >= dutyListFrom {
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
	k.observe(name, found, err)
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
		k.observe(name, found[name], err)
	}
}

func (k *Keeper) observe(name string, found kv.Record, err error) {
	record, decodeErr := dutyRecord(found)
	k.update(func(now time.Time) {
		k.keeper.ReadDone(now, name, record, found.Revision, err == nil && decodeErr == nil)
	})
	k.again()
}

func (k *Keeper) write(ctx context.Context, action duties.Action) {
	ctx, cancel := context.WithTimeout(ctx, k.options.Config.RenewInterval)
	defer cancel()
	value, err := json.Marshal(action.Record)
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	swapped, current, err := k.options.Store.CompareAndSwap(ctx, kv.UseLease, kv.Write{
		Key:              k.prefix + action.Duty,
		ExpectedRevision: action.Expected,
		Value:            value,
	})
	record, decodeErr := dutyRecord(current)
	outcome := dutyOutcome(swapped, err)
	if decodeErr != nil {
		outcome = duties.Indeterminate
	}
	k.update(func(now time.Time) {
		k.keeper.WriteDone(now, action, outcome, record, current.Revision)
	})
	k.again()
}

// again has Run look at once at what an answer makes possible.
func (k *Keeper) again() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func dutyOutcome(swapped bool, err error) duties.Outcome {
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

func dutyRecord(r kv.Record) (duties.Record, error) {
	var record duties.Record
	if r.Revision == 0 {
		return record, nil
	}
	err := json.Unmarshal(r.Value, &record)
	return record, errors.Wrap(err, r.Key)
}
