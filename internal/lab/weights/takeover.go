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
	takeoverRuns         = 500
	takeoverEntries      = 3
	takeoverTickInterval = 100 * time.Millisecond // as in dutyrun
	takeoverSettleTime   = 20 * time.Second       // the holder fails within one renewal interval after this time
	takeoverTimeout      = time.Minute
	maxStoreDelay        = 20 * time.Millisecond // each way, of a call to the key-value service
	duty                 = weights.DutyPrefix + "fleet"
)

// takeover simulates the failure of the holder of a weights duty, with the keepers of
// all entries and the duty's record in the key-value service.
type takeover struct {
	clock    *timeline.Timeline
	rng      *rand.Rand
	config   duties.Config
	keepers  []*duties.Keeper
	crashed  int  // index of the failed entry; -1 before the failure
	frozen   bool // the failed entry hangs instead of refusing connections
	record   duties.Record
	revision int64
}

// longestTakeover returns the longest time over all seeds from the failure of the
// duty's holder, which is killed or frozen, until another entry holds the duty.
func longestTakeover(earlyTakeover bool) time.Duration {
	longest := time.Duration(0)
	for seed := range uint64(takeoverRuns) {
		longest = max(longest, runTakeover(seed, earlyTakeover))
	}
	return longest
}

func runTakeover(seed uint64, earlyTakeover bool) time.Duration {
	t := &takeover{
		clock:   timeline.New(),
		rng:     rand.New(rand.NewPCG(seed, 11)),
		config:  duties.DefaultConfig(),
		crashed: -1,
		frozen:  seed%2 == 0,
	}
	if earlyTakeover {
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
		t.clock.After(t.randomDelay(takeoverTickInterval), func() { t.tick(i) })
	}
	var crashedAt time.Time
	t.clock.After(takeoverSettleTime+t.randomDelay(t.config.RenewInterval), func() {
		t.crashed = t.holder()
		crashedAt = t.clock.Now()
	})
	t.clock.Run(takeoverTimeout, func() bool { return t.crashed >= 0 && t.holder() >= 0 })
	return t.clock.Now().Sub(crashedAt)
}

func (t *takeover) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(t.rng.Int64N(int64(limit)))
}

// holder returns the index of the live entry that holds the duty, or -1.
func (t *takeover) holder() int {
	for i, k := range t.keepers {
		if _, holds := k.KnownHolder(t.clock.Now(), duty); holds && i != t.crashed {
			return i
		}
	}
	return -1
}

func (t *takeover) tick(i int) {
	if i == t.crashed {
		return
	}
	k := t.keepers[i]
	now := t.clock.Now()
	for _, a := range k.Tick(now, t.rng) {
		t.clock.After(t.randomDelay(maxStoreDelay), func() { t.call(k, a) })
	}
	for _, o := range k.Probes(now) {
		t.probe(k, o)
	}
	t.clock.After(takeoverTickInterval, func() { t.tick(i) })
}

// call executes a call to the key-value service.
func (t *takeover) call(k *duties.Keeper, a duties.Action) {
	written := a.Kind == duties.Write && a.Expected == t.revision
	if written {
		t.record = a.Record
		t.revision++
	}
	record, revision := t.record, t.revision
	t.clock.After(t.randomDelay(maxStoreDelay), func() {
		now := t.clock.Now()
		switch {
		case a.Kind == duties.Read:
			k.ReadDone(now, a.Duty, record, revision, true)
		case written:
			k.WriteDone(now, a, duties.Swapped, record, revision)
		default:
			k.WriteDone(now, a, duties.Conflict, record, revision)
		}
	})
}

// probe probes a holder. A killed one refuses the connection; a frozen one does not
// answer, so the probe ends after the probe interval.
func (t *takeover) probe(k *duties.Keeper, o duties.KnownHolder) {
	delay := t.randomDelay(2 * time.Millisecond)
	down := t.crashed >= 0 && o.Address == fmt.Sprint(t.crashed)
	if down && t.frozen {
		delay = t.config.ProbeInterval
	}
	t.clock.After(delay, func() { k.ProbeDone(t.clock.Now(), o, !down) })
}
