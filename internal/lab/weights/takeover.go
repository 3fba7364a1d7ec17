package weights

import (
	"fmt"
	"math/rand/v2"
	"time"

	"siskinloom.example/siskinloom/internal/lab/timeline"
	"siskinloom.example/siskinloom/internal/policy/duties"
	"siskinloom.example/siskinloom/internal/policy/weights"
)

const (
	takeoverRuns    = 500
	takeoverEntries = 3
	takeoverTick    = 100 * time.Millisecond // of the duties' runtime
	takeoverSettled = 20 * time.Second       // the holder dies within a renewal after that
	takeoverLimit   = time.Minute
	storeSlowest    = 20 * time.Millisecond // of a call to the key-value service
	duty            = weights.DutyPrefix + "fleet"
)

// takeover is one death of the holder of a weights duty: the entries' keepers
// with the record of the duty.
type takeover struct {
	clock    *timeline.Timeline
	rng      *rand.Rand
	config   duties.Config
	keepers  []*duties.Keeper
	dead     int // index; -1: none yet
	frozen   bool
	record   duties.Record
	revision int64
}

// longestTakeover returns the longest time from an owner's death, killed or
// frozen, to its successor's first step.
func longestTakeover(early bool) time.Duration {
	longest := time.Duration(0)
	for seed := range uint64(takeoverRuns) {
		longest = max(longest, runTakeover(seed, early))
	}
	return longest
}

func runTakeover(seed uint64, early bool) time.Duration {
	t := &takeover{
		clock:  timeline.New(),
		rng:    rand.New(rand.NewPCG(seed, 11)),
		config: duties.DefaultConfig(),
		dead:   -1,
		frozen: seed%2 == 0,
	}
	if early {
		t.config.EarlyTakeoverPrefixes = []string{weights.DutyPrefix}
	}
	var members []duties.Member
	for i := range takeoverEntries {
		members = append(members, duties.Member{ID: fmt.Sprintf("entry-%d", i), Address: fmt.Sprint(i), Domain: fmt.Sprint(i)})
	}
	for i, m := range members {
		k := duties.New(t.config, m, m.ID)
		k.SetNames(t.clock.Now(), []string{duty})
		k.SetMembers(t.clock.Now(), members)
		t.keepers = append(t.keepers, k)
		t.clock.After(t.upTo(takeoverTick), func() { t.tick(i) })
	}
	var died time.Time
	t.clock.After(takeoverSettled+t.upTo(t.config.RenewInterval), func() {
		t.dead = t.holder()
		died = t.clock.Now()
	})
	t.clock.Run(takeoverLimit, func() bool { return t.dead >= 0 && t.holder() >= 0 })
	return t.clock.Now().Sub(died)
}

func (t *takeover) upTo(most time.Duration) time.Duration {
	return time.Duration(t.rng.Int64N(int64(most)))
}

// holder returns the living entry that holds the duty, or -1.
func (t *takeover) holder() int {
	for i, k := range t.keepers {
		if _, holds := k.KnownHolder(t.clock.Now(), duty); holds && i != t.dead {
			return i
		}
	}
	return -1
}

func (t *takeover) tick(i int) {
	if i == t.dead {
		return
	}
	k := t.keepers[i]
	now := t.clock.Now()
	for _, a := range k.Tick(now, t.rng) {
		t.clock.After(t.upTo(storeSlowest), func() { t.call(k, a) })
	}
	for _, o := range k.Probes(now) {
		t.probe(k, o)
	}
	t.clock.After(takeoverTick, func() { t.tick(i) })
}

// call carries out a call to the key-value service.
func (t *takeover) call(k *duties.Keeper, a duties.Action) {
	swapped := a.Kind == duties.Write && a.Expected == t.revision
	if swapped {
		t.record = a.Record
		t.revision++
	}
	record, revision := t.record, t.revision
	t.clock.After(t.upTo(storeSlowest), func() {
		now := t.clock.Now()
		switch {
		case a.Kind == duties.Read:
			k.ReadDone(now, a.Duty, record, revision, true)
		case swapped:
			k.WriteDone(now, a, duties.Swapped, record, revision)
		default:
			k.WriteDone(now, a, duties.Conflict, record, revision)
		}
	})
}

// probe asks a holder: a killed one refuses the connection, a frozen one does
// not answer.
func (t *takeover) probe(k *duties.Keeper, o duties.KnownHolder) {
	took := t.upTo(2 * time.Millisecond)
	gone := t.dead >= 0 && o.Address == fmt.Sprint(t.dead)
	if gone && t.frozen {
		took = t.config.ProbeInterval
	}
	t.clock.After(took, func() { k.ProbeDone(t.clock.Now(), o, !gone) })
}
