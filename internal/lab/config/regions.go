package config

import (
	"time"

	"siskinloom.example/siskinloom/internal/bounds"
	"siskinloom.example/siskinloom/internal/policy/duties"
)

// A region of the letter's four, each with two failure domains, loses the others
// for minutes while operators go on with changes.
const (
	regions       = 4
	regionDomains = 2
	apartFor      = 2 * time.Minute
	apartChange   = 30 * time.Second
	settled       = 15 * time.Second // after a cut: proofs and leases have lapsed
	rejoinLimit   = time.Minute
)

// apart is what is counted while a region is cut off.
type apart struct {
	*fleet
	behind     time.Duration // the longest that an entry took work under an older revision
	twoHolders int           // moments at which a duty had two holders
	unheld     int           // moments, after settling, at which a duty had none
	cutReady   int           // entries of the region at work, after settling
	cutAll     int
	unready    int // entries of the others not at work
	all        int
	rejoin     time.Duration
	calls      float64 // reads of the configuration per second
}

func measureRegions() ([]bounds.Figure, error) {
	without := newApart(11, true).run()
	with := newApart(12, false).run()
	both := func(of func(*apart) float64) float64 { return max(of(without), of(with)) }
	return []bounds.Figure{
		{Name: "regions.ready_behind_s", Value: both(func(a *apart) float64 { return a.behind.Seconds() })},
		{Name: "regions.two_holders", Value: both(func(a *apart) float64 { return float64(a.twoHolders) })},
		{Name: "regions.unheld", Value: both(func(a *apart) float64 { return float64(a.unheld) })},
		{Name: "regions.unready_share", Value: both(func(a *apart) float64 { return share(a.unready, a.all) })},
		{Name: "regions.cut_ready_share", Value: share(without.cutReady, without.cutAll)},
		{Name: "regions.cut_ready_share_with_service", Value: share(with.cutReady, with.cutAll)},
		{Name: "regions.kv_calls_per_s", Value: both(func(a *apart) float64 { return a.calls })},
		{Name: "regions.rejoin_s", Value: both(func(a *apart) float64 { return a.rejoin.Seconds() })},
	}, nil
}

func share(n, of int) float64 {
	return float64(n) / float64(max(1, of))
}

// newApart lays out the letter's fleet in regions. With noService the first
// region loses the platform's service too.
func newApart(seed uint64, noService bool) *apart {
	a := &apart{fleet: newFleetOver(seed, letterEntries, letterAgents, regions*regionDomains)}
	a.noService = noService
	return a
}

func (a *apart) run() *apart {
	a.startAll()
	a.Run(warmUp, never)
	a.cut = true
	reads := a.conf.reads
	began, changed := a.Now(), time.Time{}
	accepted := map[int64]time.Time{}
	for a.Now().Sub(began) < apartFor {
		if a.Now().Sub(changed) >= apartChange {
			changed = a.Now()
			accepted[a.change()] = changed
		}
		a.Run(sampleEvery, never)
		a.sample(accepted, a.Now().Sub(began) > settled)
	}
	a.calls = float64(a.conf.reads-reads) / apartFor.Seconds()
	a.cut = false
	healed := a.Now()
	for a.rejoin = 0; a.rejoin < rejoinLimit && !a.serving(); a.rejoin = a.Now().Sub(healed) {
		a.Run(sampleEvery, never)
		a.sample(accepted, true)
	}
	return a
}

// change puts the next revision in the record, by an entry that may.
func (a *apart) change() int64 {
	next := a.conf.values["c"] + 1
	a.conf.take("c", a.conf.revisions["c"], next)
	for {
		by := a.entries[a.rnd.IntN(len(a.entries))]
		if by.follower.MayAccept(a.Now()) && a.reachesService(by) {
			by.apply(next)
			return next
		}
	}
}

func (a *apart) sample(accepted map[int64]time.Time, after bool) {
	now := a.Now()
	holders := map[string]int{}
	for _, n := range a.entries {
		ready := n.follower.Ready(now)
		if have, _ := n.follower.Revision(now); ready && have < a.conf.values["c"] {
			a.behind = max(a.behind, now.Sub(accepted[have+1]))
		}
		a.count(n, ready, after)
		for _, name := range a.names {
			if n.keeper.LeaseState(now, name) == duties.Holder {
				holders[name]++
			}
		}
	}
	for _, name := range a.names {
		if holders[name] > 1 {
			a.twoHolders++
		}
		if holders[name] == 0 && after {
			a.unheld++
		}
	}
}

func (a *apart) count(n *fleetNode, ready, after bool) {
	switch {
	case !n.inCutRegion():
		a.all++
		if !ready {
			a.unready++
		}
	case after && a.cut:
		a.cutAll++
		if ready {
			a.cutReady++
		}
	}
}
